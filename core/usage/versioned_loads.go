package usage

import "papayaquay/core/table"

// maxUnloadedRows is the maximum number of rows of servers without load. If there
// are more, they are deleted and a new epoch starts, and readers get a full update.
const maxUnloadedRows = 1024

// Cursor is the position of a reader in the versions of the loads. The next
// update of the reader contains only changes after it.
type Cursor struct {
	epoch   uint64
	version uint64
}

// NewCursor returns a cursor for a version within an epoch.
func NewCursor(epoch, version uint64) Cursor { return Cursor{epoch: epoch, version: version} }

// Epoch returns the epoch in which the versions are counted.
func (c Cursor) Epoch() uint64 { return c.epoch }

// Version returns the number of changes of the loads up to the cursor.
func (c Cursor) Version() uint64 { return c.version }

// Update brings a reader from its cursor to a newer state of the loads.
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
func (u Update) Cursor() Cursor { return u.cursor }

// Full reports whether the update replaces all loads of the reader.
func (u Update) Full() bool { return u.full }

// Loads returns the changed loads by backend server.
func (u Update) Loads() map[string]Load { return u.loads }

// Apply applies the update to the loads of a reader.
func (u Update) Apply(loads map[string]Load) {
	if u.full {
		clear(loads)
	}
	for backend, load := range u.loads {
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

// VersionedLoads holds the load of each backend server with the version of its last
// change, so that a reader that polls repeatedly gets only the changes since its
// previous poll.
type VersionedLoads struct {
	epoch    uint64
	version  uint64
	unloaded int // rows without load
	rows     *table.Table[string, loadRow]
}

// NewVersionedLoads returns the loads of no servers. The epoch must differ between
// instances and between runs of an instance.
func NewVersionedLoads(epoch uint64) *VersionedLoads {
	return &VersionedLoads{epoch: epoch, rows: table.New[string, loadRow]()}
}

// Replace replaces the loads of all servers. Servers that are not in loads have no
// load.
func (l *VersionedLoads) Replace(loads map[string]Load) {
	for backend, load := range loads {
		l.set(backend, load)
	}
	l.rows.Each(func(backend string, row *loadRow) {
		if _, ok := loads[backend]; !ok && row.load != (Load{}) {
			l.set(backend, Load{})
		}
	})
	if l.unloaded > maxUnloadedRows {
		l.compact()
	}
}

// set stores the load of a server if it changed.
func (l *VersionedLoads) set(backend string, load Load) {
	row := l.rows.Get(backend)
	if row == nil {
		row = l.rows.Put(backend, loadRow{})
		l.unloaded++
	}
	if row.load == load {
		return
	}
	if row.load == (Load{}) {
		l.unloaded--
	}
	if load == (Load{}) {
		l.unloaded++
	}
	l.version++
	row.load, row.version = load, l.version
}

// compact deletes the servers without load and starts a new epoch.
func (l *VersionedLoads) compact() {
	l.epoch++
	l.unloaded = 0
	l.rows.Each(func(backend string, row *loadRow) {
		if row.load == (Load{}) {
			l.rows.Remove(backend)
		}
	})
}

// Since returns the changes after a cursor, or a full update if the cursor is from
// another epoch.
func (l *VersionedLoads) Since(cursor Cursor) Update {
	u := Update{cursor: Cursor{epoch: l.epoch, version: l.version}, full: cursor.epoch != l.epoch, loads: make(map[string]Load)}
	l.rows.Each(func(backend string, row *loadRow) {
		if (u.full && row.load != (Load{})) || (!u.full && row.version > cursor.version) {
			u.loads[backend] = row.load
		}
	})
	return u
}
