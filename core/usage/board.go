package usage

import "papayaquay/core/table"

// maxIdleRows bounds the servers without load that a board remembers. Beyond it
// the board begins anew and readers take it whole.
const maxIdleRows = 1024

// Mark names a state of a board, so that a reader hears only what changed since.
type Mark struct {
	epoch   uint64
	version uint64
}

// NewMark returns the mark of a version within an epoch.
func NewMark(epoch, version uint64) Mark { return Mark{epoch: epoch, version: version} }

// Epoch identifies the board and its run.
func (m Mark) Epoch() uint64 { return m.epoch }

// Version counts the changes of the board.
func (m Mark) Version() uint64 { return m.version }

// Change leads a reader from its mark to a newer state of a board.
type Change struct {
	mark  Mark
	whole bool
	loads map[string]Load
}

// NewChange returns a change. A whole one replaces all that the reader knows;
// otherwise loads holds the servers that changed, also those now without load.
func NewChange(mark Mark, whole bool, loads map[string]Load) Change {
	return Change{mark: mark, whole: whole, loads: loads}
}

// Mark names the state that the change leads to.
func (c Change) Mark() Mark { return c.mark }

// Whole reports that the loads replace all that was known.
func (c Change) Whole() bool { return c.whole }

// Loads returns the changed loads by backend server.
func (c Change) Loads() map[string]Load { return c.loads }

// Apply brings a reader's loads up to date.
func (c Change) Apply(loads map[string]Load) {
	if c.whole {
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

// Board shows the load of each backend server to readers that come again and
// again, and tells each only what changed since it came last.
type Board struct {
	epoch   uint64
	version uint64
	idle    int // rows without load
	rows    *table.Table[string, boardRow]
}

// NewBoard returns a board that shows nothing; epoch must differ between
// instances and runs.
func NewBoard(epoch uint64) *Board {
	return &Board{epoch: epoch, rows: table.New[string, boardRow]()}
}

// Show replaces what the board shows. Servers that are not among the loads have
// none.
func (b *Board) Show(loads map[string]Load) {
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
func (b *Board) set(backend string, load Load) {
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
func (b *Board) restart() {
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
func (b *Board) Since(m Mark) Change {
	c := Change{mark: Mark{epoch: b.epoch, version: b.version}, whole: m.epoch != b.epoch, loads: make(map[string]Load)}
	b.rows.Each(func(backend string, row *boardRow) {
		if (c.whole && row.load != (Load{})) || (!c.whole && row.version > m.version) {
			c.loads[backend] = row.load
		}
	})
	return c
}
