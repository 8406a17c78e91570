package usage

import "papayaquay/core/table"

// maxUnloadedRows is the maximum number of servers without load in a load table.
// If there are more, the table deletes them and starts a new epoch, and readers
// get a full update.
const maxUnloadedRows = 1024

// Cursor is the position of a reader in the versions of a load table. The next
// update of the reader contains only changes after it.
type Cursor struct {
	epoch   uint64
	version uint64
}

// NewCursor returns a cursor for a version within an epoch.
func NewCursor(epoch, version uint64) Cursor { return Cursor{epoch: epoch, version: version} }

// Epoch returns the epoch in which the versions of the table are counted.
func (m Cursor) Epoch() uint64 { return m.epoch }

// Version returns the number of changes of the table up to the cursor.
func (m Cursor) Version() uint64 { return m.version }

// Update brings a reader from its cursor to a newer state of a load table.
type Update struct {
	cursor Cursor
	full   bool
	loads  map[string]Load
}

// NewUpdate returns an update that leads to cursor. The loads of a full update
// replace all loads of the reader. The loads of an incremental update are those of
// the changed servers, including servers that have no load now.
func NewUpdate(cursor Cursor, full bool, loads map[string]Load) Update {
	return Update{cursor: cursor, full: full, loads: loads}
}

// Cursor returns the position of the reader after the update.
func (c Update) Cursor() Cursor { return c.cursor }

// Full reports whether the update replaces all loads of the reader.
func (c Update) Full() bool { return c.full }

// Loads returns the changed loads by backend server.
func (c Update) Loads() map[string]Load { return c.loads }

// Apply applies the update to the loads of a reader.
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

// loadRow is the load of a backend server.
type loadRow struct {
	load    Load
	version uint64 // of the last change
}

// LoadTable holds the load of each backend server with the version of its last
// change, so that a reader that polls repeatedly gets only the changes since its
// previous poll.
type LoadTable struct {
	epoch    uint64
	version  uint64
	unloaded int // rows without load
	rows     *table.Table[string, loadRow]
}

// NewLoadTable returns an empty table. The epoch must differ between instances
// and between runs of an instance.
func NewLoadTable(epoch uint64) *LoadTable {
	return &LoadTable{epoch: epoch, rows: table.New[string, loadRow]()}
}

// Replace replaces the loads of all servers. Servers that are not in loads have no
// load.
func (b *LoadTable) Replace(loads map[string]Load) {
	for backend, load := range loads {
		b.set(backend, load)
	}
	b.rows.Each(func(backend string, row *loadRow) {
		if _, ok := loads[backend]; !ok && row.load != (Load{}) {
			b.set(backend, Load{})
		}
	})
	if b.unloaded > maxUnloadedRows {
		b.compact()
	}
}

// set stores the load of a server if it changed.
func (b *LoadTable) set(backend string, load Load) {
	row := b.rows.Get(backend)
	if row == nil {
		row = b.rows.Put(backend, loadRow{})
		b.unloaded++
	}
	if row.load == load {
		return
	}
	if row.load == (Load{}) {
		b.unloaded--
	}
	if load == (Load{}) {
		b.unloaded++
	}
	b.version++
	row.load, row.version = load, b.version
}

// compact deletes the servers without load and starts a new epoch.
func (b *LoadTable) compact() {
	b.epoch++
	b.unloaded = 0
	b.rows.Each(func(backend string, row *loadRow) {
		if row.load == (Load{}) {
			b.rows.Remove(backend)
		}
	})
}

// Since returns the changes after a cursor, or a full update if the cursor is from
// another epoch.
func (b *LoadTable) Since(m Cursor) Update {
	c := Update{cursor: Cursor{epoch: b.epoch, version: b.version}, full: m.epoch != b.epoch, loads: make(map[string]Load)}
	b.rows.Each(func(backend string, row *loadRow) {
		if (c.full && row.load != (Load{})) || (!c.full && row.version > m.version) {
			c.loads[backend] = row.load
		}
	})
	return c
}
