package member

import (
	"time"

	"papayaquay/core/table"
)

// EndedTime is the time after the end of a server's process in which announcements that it had
// sent before may arrive, and it does not count as stale.
const EndedTime = 8 * time.Second

// endedRow is a server whose process has ended.
type endedRow struct {
	incarnation uint64
	until       time.Time // from when its announcements show that it is there
}

// Ended holds the servers whose processes have ended, as far as is known: they refused connections.
// A process that is started again at the same address and id may run another software version,
// which it announces some time later. Only one thread may use it.
type Ended struct {
	rows *table.Table[string, endedRow] // by server
}

// NewEnded returns an empty table.
func NewEnded() *Ended { return &Ended{rows: table.New[string, endedRow]()} }

// Record records that an incarnation of a server has ended.
func (e *Ended) Record(now time.Time, backend string, incarnation uint64) {
	e.rows.Put(backend, endedRow{incarnation: incarnation, until: now.Add(EndedTime)})
}

// Has reports whether the process that a server announced has ended: work that depends on its
// version must wait for the announcement of the next one.
func (e *Ended) Has(now time.Time, b Backend) bool {
	row := e.rows.Get(b.ID())
	if row == nil {
		return false
	}
	if b.Incarnation() > row.incarnation || !now.Before(row.until) {
		e.rows.Remove(b.ID())
		return false
	}
	return true
}
