package cluster

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/table"

	"github.com/cockroachdb/errors"
)

// ErrUnreadableRecords is the error of a message of which some records could not be decoded. The
// decoded value holds the others.
var ErrUnreadableRecords = errors.New("records of a message could not be decoded")

// Bounds of the log of coding failures. An instance may send the same message again at each poll.
const (
	codingLogInterval  = time.Second // between two lines about one kind of message of one instance
	codingLogRetention = time.Minute // after which the next line says nothing of those before
)

// codingKey identifies a kind of message from or to another instance.
type codingKey struct {
	call      string
	direction string // "from" or "to"
	address   string
}

// codingRow is when the last line about a kind of message was logged.
type codingRow struct {
	loggedAt time.Time
	skipped  int // failures since then
}

// codingFailures counts and logs the messages that could not be encoded or decoded.
type codingFailures struct {
	rows    *table.Table[codingKey, codingRow]
	observe func(call, direction string)
}

// newCodingFailures returns an empty table.
func newCodingFailures() *codingFailures {
	return &codingFailures{rows: table.New[codingKey, codingRow](), observe: func(string, string) {}}
}

// WithCodingObserver sets the function that is called for each message that could not be encoded ("to") or
// decoded ("from") as a whole.
func WithCodingObserver(observe func(call, direction string)) Option {
	return func(w *World) { w.codingFailures.observe = observe }
}

// skipped counts a failure. It returns the number of failures that were not logged since the last line,
// and whether a line is due.
func (f *codingFailures) skipped(now time.Time, key codingKey) (int, bool) {
	f.rows.Each(func(old codingKey, row *codingRow) {
		if now.Sub(row.loggedAt) > codingLogRetention {
			f.rows.Remove(old)
		}
	})
	row := f.rows.Get(key)
	if row == nil {
		f.rows.Put(key, codingRow{loggedAt: now})
		return 0, true
	}
	if now.Sub(row.loggedAt) < codingLogInterval {
		row.skipped++
		return 0, false
	}
	skipped := row.skipped
	row.loggedAt, row.skipped = now, 0
	return skipped, true
}

// canUse reports whether a message that was decoded with an error can be used: at most some of its records are
// missing. It records the error.
func (w *World) canUse(call, from string, err error) bool {
	if err == nil {
		return true
	}
	w.codingFailed(call, "from", from, err)
	return errors.Is(err, ErrUnreadableRecords)
}

// codingFailed records that a message to or from another instance could not be encoded or decoded.
func (w *World) codingFailed(call, direction, address string, err error) {
	w.codingFailures.observe(call, direction)
	if skipped, due := w.codingFailures.skipped(w.now, codingKey{call, direction, address}); due {
		event.CallEncodingFailed.Log(w.logger, "call", call, direction, address, "skipped", skipped, "error", err)
	}
}
