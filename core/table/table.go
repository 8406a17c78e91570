// Package table stores entities as rows. Rows are found by key and visited in a
// stable order. Systems run over tables once per tick.
package table

// Table maps keys to rows of one entity type. Rows keep their insertion order
// until a row is removed; the last row then takes its position. Only one thread
// may use a table.
type Table[K comparable, R any] struct {
	index map[K]int
	keys  []K
	rows  []*R
}

// New returns an empty table.
func New[K comparable, R any]() *Table[K, R] {
	return &Table[K, R]{index: make(map[K]int)}
}

// Len returns the number of rows.
func (t *Table[K, R]) Len() int { return len(t.rows) }

// Get returns the row stored under key, or nil.
func (t *Table[K, R]) Get(key K) *R {
	i, ok := t.index[key]
	if !ok {
		return nil
	}
	return t.rows[i]
}

// Put stores row under key and returns a pointer to the stored row. It replaces
// an existing row.
func (t *Table[K, R]) Put(key K, row R) *R {
	if i, ok := t.index[key]; ok {
		t.rows[i] = &row
		return t.rows[i]
	}
	t.index[key] = len(t.rows)
	t.keys = append(t.keys, key)
	t.rows = append(t.rows, &row)
	return &row
}

// Remove deletes the row under key and reports whether it existed.
func (t *Table[K, R]) Remove(key K) bool {
	i, ok := t.index[key]
	if !ok {
		return false
	}
	last := len(t.rows) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.index[t.keys[i]] = i
	t.rows[last] = nil
	t.keys, t.rows = t.keys[:last], t.rows[:last]
	delete(t.index, key)
	return true
}

// Each calls visit for every row. visit may remove the visited row; rows that
// visit adds are also visited.
func (t *Table[K, R]) Each(visit func(key K, row *R)) {
	for i := 0; i < len(t.rows); {
		key := t.keys[i]
		visit(key, t.rows[i])
		if i < len(t.keys) && t.keys[i] == key {
			i++
		}
	}
}

// Keys returns a copy of the keys in row order.
func (t *Table[K, R]) Keys() []K {
	return append([]K(nil), t.keys...)
}
