// Package budget bounds what all clients together make a process hold: connections, bytes that
// are read or wait, and values decoded from them. Whoever takes something from a client reserves
// it here first. The total is one; there are no limits for a kind of call.
//
// Unlike other worlds it is used by the goroutines that read from connections, since a reservation
// cannot wait for a tick: a mutex guards the tables. The systems run in ticks, while somebody waits
// for room: they give room to those who wait, reject those who waited too long, and select the
// holders that give way because they make no progress.
package budget

import (
	"sync"
	"time"

	"papayaquay/core/table"

	"github.com/cockroachdb/errors"
)

// Errors of reservations.
var (
	// ErrNoRoom means that others hold the room. It may be there later.
	ErrNoRoom = errors.New("no room for what clients send")
	// ErrTooLarge means that the process never has so much room.
	ErrTooLarge = errors.New("larger than the room for all clients")
	// ErrGaveWay means that the holder made no progress while others waited for room.
	ErrGaveWay = errors.New("made no progress while others waited for room")
)

// Class says for whom room is reserved.
type Class int

// Classes. What the system's own instances need goes before what its clients send.
const (
	Outside Class = iota // callers, operators, backend servers
	Inside               // other instances, readiness checks and metrics
)

// Sizes and times.
const (
	// ConnectionBytes is the memory of an open connection: its buffers and its goroutine.
	ConnectionBytes = 16 << 10
	// RequestBytes is the memory of a running request without its header and its body.
	RequestBytes = 16 << 10

	smallBytes       = 64 << 10               // holders up to this size may use all room
	reserveShare     = 4                      // large holders of class Outside leave 1/reserveShare of the room free
	insideShare      = 3                      // connections of class Outside leave 1/insideShare of the connections free
	insideBytesShare = 2                      // one reservation of class Inside takes 1/insideBytesShare of the room at most
	stallTime        = 500 * time.Millisecond // without progress, after which a holder may have to give way
	progressBytes    = 4 << 10                // that must arrive to count as progress
	maxWait          = time.Second            // for room
)

// Budget holds the tables: what is held, and who waits for room. Any goroutine may use it.
type Budget struct {
	mu       sync.Mutex
	bytes    int64            // room in bytes
	conns    func() int       // room in connections
	now      func() time.Time // the clock of the ticks
	wake     func()           // starts a tick
	released func(Released)   // observes each holder that had to give way
	holds    *table.Table[uint64, *Hold]
	waits    *table.Table[uint64, wait]
	lastID   uint64
	used     int64
	open     int // connections
	rejected uint64
	gaveWay  uint64
}

// Option configures a budget in New.
type Option func(*Budget)

// WithClock sets the clock of the ticks.
func WithClock(now func() time.Time) Option { return func(b *Budget) { b.now = now } }

// WithWake sets the function that starts a tick.
func WithWake(wake func()) Option { return func(b *Budget) { b.wake = wake } }

// WithReleased sets the function that is told of each holder that had to give way.
func WithReleased(released func(Released)) Option { return func(b *Budget) { b.released = released } }

// New returns a budget of a number of bytes and of connections. The latter is asked for at each new
// connection.
func New(bytes int64, conns func() int, options ...Option) *Budget {
	b := &Budget{bytes: bytes, conns: conns, now: func() time.Time { return time.Time{} }, wake: func() {}, released: func(Released) {},
		holds: table.New[uint64, *Hold](), waits: table.New[uint64, wait]()}
	for _, option := range options {
		option(b)
	}
	return b
}

// Usage is what is held at one moment, and what happened so far.
type Usage struct {
	bytes, room int64
	conns       int
	waiting     int
	rejected    uint64
	gaveWay     uint64
}

// Bytes returns the reserved bytes.
func (u Usage) Bytes() int64 { return u.bytes }

// Room returns the bytes that can be reserved altogether.
func (u Usage) Room() int64 { return u.room }

// Connections returns the number of open connections.
func (u Usage) Connections() int { return u.conns }

// Waiting returns the number of those who wait for room.
func (u Usage) Waiting() int { return u.waiting }

// Rejected returns how often there was no room.
func (u Usage) Rejected() uint64 { return u.rejected }

// GaveWay returns how many holders had to give way.
func (u Usage) GaveWay() uint64 { return u.gaveWay }

// Usage returns what is held now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{bytes: b.used, room: b.bytes, conns: b.open, waiting: b.waits.Len(), rejected: b.rejected, gaveWay: b.gaveWay}
}

// connsFor returns the number of connections at which a class gets no more.
func (b *Budget) connsFor(c Class) int {
	all := b.conns()
	if c == Inside {
		return all
	}
	return all - all/insideShare
}

// bytesFor returns the reserved bytes at which a holder gets no more if it holds size bytes then.
func (b *Budget) bytesFor(c Class, size int64) int64 {
	if c == Inside || size <= smallBytes {
		return b.bytes
	}
	return b.bytes - b.bytes/reserveShare
}

// fits reports whether there is room for a wait now.
func (b *Budget) fits(w wait) bool {
	if w.connection && b.open >= b.connsFor(w.hold.class) {
		return false
	}
	return b.used+w.bytes <= b.bytesFor(w.hold.class, w.hold.bytes+w.bytes)
}

// take reserves what a wait is for.
func (b *Budget) take(w wait) {
	b.used += w.bytes
	w.hold.bytes += w.bytes
	if w.connection {
		b.open++
		w.hold.connection = true
	}
}
