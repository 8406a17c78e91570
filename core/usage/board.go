package usage

import "papayaquay/core/table"

// maxIdleRows bounds the servers without load that a board remembers. Beyond it
// the board begins anew and readers take it whole.
const maxIdleRows = 1024

// Cursor names a state of a board, so that a reader hears only what changed since.
type Cursor struct {
	epoch   uint64
	version uint64
}

// NewCursor returns the mark of a version within an epoch.
func NewCursor(epoch, version uint64) Cursor { return Cursor{epoch: epoch, version: version} }

// Epoch identifies the board and its run.
func (m Cursor) Epoch() uint64 { return m.epoch }

// Version counts the changes of the board.
func (m Cursor) Version() uint64 { return m.version }

// Update leads a reader from its mark to a newer state of a board.
type Update struct {
	cursor Cursor
	full   bool
	loads  map[string]Load
}

// NewUpdate returns a change. A whole one replaces all that the reader knows;
// otherwise loads holds the servers that changed, also those now without load.
func NewUpdate(mark Cursor, whole bool, loads map[string]Load) Update {
	return Update{cursor: mark, full: whole, loads: loads}
}

// Cursor names the state that the change leads to.
func (c Update) Cursor() Cursor { return c.cursor }

// Full reports that the loads replace all that was known.
func (c Update) Full() bool { return c.full }

// Loads returns the changed loads by backend server.
func (c Update) Loads() map[string]Load { return c.loads }

// Apply brings a reader's loads up to date.
func (c Update) Apply(loads map[string]Load) {
	if c.full {
		clear(loads)
	}
	for backend, load := range c.loads {
		if load == (Load{}) {
			delete(loads, backend)
			continue
		}
		loads[backend] = load
	}
}

// boardRow is what a board shows of a backend server.
type boardRow struct {
	load    Load
	version uint64 // of the last change
}

// LoadTable shows the load of each backend server to readers that come again and
// again, and tells each only what changed since it came last.
type LoadTable struct {
	epoch   uint64
	version uint64
	idle    int // rows without load
	rows    *table.Table[string, boardRow]
}

// NewLoadTable returns a board that shows nothing; epoch must differ between
// instances and runs.
func NewLoadTable(epoch uint64) *LoadTable {
	return &LoadTable{epoch: epoch, rows: table.New[string, boardRow]()}
}

// Replace replaces what the board shows. Servers that are not among the loads have
// none.
func (b *LoadTable) Replace(loads map[string]Load) {
	for backend, load := range loads {
		b.set(backend, load)
	}
	b.rows.Each(func(backend string, row *boardRow) {
		if _, ok := loads[backend]; !ok && row.load != (Load{}) {
			b.set(backend, Load{})
		}
	})
	if b.idle > maxIdleRows {
		b.restart()
	}
}

// set notes the load of a server if it changed.
func (b *LoadTable) set(backend string, load Load) {
	row := b.rows.Get(backend)
	if row == nil {
		row = b.rows.Put(backend, boardRow{})
		b.idle++
	}
	if row.load == load {
		return
	}
	if row.load == (Load{}) {
		b.idle--
	}
	if load == (Load{}) {
		b.idle++
	}
	b.version++
	row.load, row.version = load, b.version
}

// restart forgets the servers without load.
func (b *LoadTable) restart() {
	b.epoch++
	b.idle = 0
	b.rows.Each(func(backend string, row *boardRow) {
		if row.load == (Load{}) {
			b.rows.Remove(backend)
		}
	})
}

// Since returns what changed after a mark. To the mark of another board
// everything is new.
func (b *LoadTable) Since(m Cursor) Update {
	c := Update{cursor: Cursor{epoch: b.epoch, version: b.version}, full: m.epoch != b.epoch, loads: make(map[string]Load)}
	b.rows.Each(func(backend string, row *boardRow) {
		if (c.full && row.load != (Load{})) || (!c.full && row.version > m.version) {
			c.loads[backend] = row.load
		}
	})
	return c
}
