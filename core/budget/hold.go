package budget

import (
	"time"

	"github.com/cockroachdb/errors"
)

// phase says what a holder does.
type phase int

const (
	phaseReading phase = iota // a client sends something, or should
	phaseIdle                 // an open connection without a request
	phaseServing              // all has arrived
)

// Hold is what one connection or one request holds.
type Hold struct {
	budget     *Budget
	id         uint64
	class      Class
	parent     *Hold // the connection of a request, nil for a connection
	release    func(Resource)
	connection bool // it counts as a connection
	bytes      int64
	phase      phase
	unmarked   int // bytes that arrived since marked
	marked     time.Time
	gaveWay    bool
	closed     bool
}

// Resource is what a holder must give back.
type Resource int

// Resources.
const (
	ResourceBytes Resource = iota
	ResourceConnections
)

// Released describes a holder that had to give way.
type Released struct {
	resource Resource
	bytes    int64
	idle     time.Duration
}

// Resource returns what was needed.
func (r Released) Resource() Resource { return r.resource }

// Bytes returns what the holder held.
func (r Released) Bytes() int64 { return r.bytes }

// Idle returns how long the holder had made no progress.
func (r Released) Idle() time.Duration { return r.idle }

// wait is a row of the table of those who wait for room.
type wait struct {
	hold       *Hold
	bytes      int64
	connection bool
	until      time.Time
	result     chan error
}

// Connect reserves a connection. It waits for room, or returns ErrNoRoom. release must end the
// connection if it is for ResourceConnections, and otherwise what is being read on it. It is called
// while the budget is locked, and must not block.
func (b *Budget) Connect(class Class, release func(Resource)) (*Hold, error) {
	h := b.newHold(class, nil, release)
	if err := h.reserve(wait{hold: h, bytes: ConnectionBytes, connection: true}); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// Open adds a holder of what the process sends to others. It never has to give way.
func (b *Budget) Open(class Class) *Hold {
	h := b.newHold(class, nil, func(Resource) {})
	_ = h.Serving()
	return h
}

// Begin reserves the memory of a request on a connection, with the size of its decoded header. See
// Connect.
func (h *Hold) Begin(header int64, release func(Resource)) (*Hold, error) {
	request := h.budget.newHold(h.class, h, release)
	if err := request.Grow(RequestBytes + header); err != nil {
		request.Close()
		return nil, err
	}
	return request, nil
}

// newHold adds a holder of nothing.
func (b *Budget) newHold(class Class, parent *Hold, release func(Resource)) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	h := &Hold{budget: b, id: b.lastID, class: class, parent: parent, release: release, marked: b.now()}
	b.holds.Put(h.id, h)
	return h
}

// Grow reserves more bytes. It waits for room. It returns ErrNoRoom if there is none in time, ErrTooLarge if
// there never is, and ErrGaveWay if the holder must give back what it holds. What an instance
// sends is never too large: it needs half of the room at most.
func (h *Hold) Grow(bytes int64) error {
	return h.reserve(wait{hold: h, bytes: bytes})
}

// TryGrow reserves more bytes if there is room for them now. It is for those who hold the bytes already, and
// must drop them otherwise.
func (h *Hold) TryGrow(bytes int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	w := wait{hold: h, bytes: h.charged(bytes)}
	switch {
	case h.gaveWay || h.closed:
		return ErrGaveWay
	case !b.fits(w):
		b.rejected++
		return ErrNoRoom
	}
	b.take(w)
	return nil
}

// reserve takes room or waits for it.
func (h *Hold) reserve(w wait) error {
	b := h.budget
	b.mu.Lock()
	w.bytes = h.charged(w.bytes)
	switch {
	case h.gaveWay || h.closed:
		b.mu.Unlock()
		return ErrGaveWay
	case h.bytes+w.bytes > b.bytesFor(h.class, h.bytes+w.bytes):
		b.rejected++
		b.mu.Unlock()
		return ErrTooLarge
	case b.fits(w) && !b.isQueued(w):
		b.take(w)
		b.mu.Unlock()
		return nil
	}
	w.until, w.result = b.now().Add(maxWait), make(chan error, 1)
	b.lastID++
	b.waits.Put(b.lastID, w)
	b.mu.Unlock()
	b.wake()
	return <-w.result
}

// charged returns what a reservation takes: half of the room at most for an instance.
func (h *Hold) charged(bytes int64) int64 {
	if h.class == Inside {
		return min(bytes, h.budget.bytes/insideBytesShare)
	}
	return bytes
}

// Shrink gives back the bytes of one reservation or a part of them.
func (h *Hold) Shrink(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrink(h.charged(bytes))
}

// shrink gives bytes back while the budget is locked.
func (h *Hold) shrink(bytes int64) {
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	h.budget.used -= bytes
	if h.budget.waits.Len() > 0 {
		h.budget.wake()
	}
}

// Received records that bytes arrived from the client.
func (h *Hold) Received(bytes int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.unmarked += bytes; h.unmarked >= progressBytes {
		h.mark()
	}
}

// mark records progress.
func (h *Hold) mark() { h.unmarked, h.marked = 0, h.budget.now() }

// Reading records that the client begins to send something.
func (h *Hold) Reading() { h.enter(phaseReading) }

// Idle records that the connection has no request.
func (h *Hold) Idle() { h.enter(phaseIdle) }

// Serving records that all has arrived. From now on the holder does not have to give way. It returns
// ErrGaveWay if it had to before.
func (h *Hold) Serving() error {
	if !h.enter(phaseServing) {
		return errors.WithStack(ErrGaveWay)
	}
	return nil
}

// enter changes the phase and reports whether the holder did not have to give way before.
func (h *Hold) enter(p phase) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.phase = p
	h.mark()
	return !h.gaveWay
}

// Close gives everything back. It may be called again.
func (h *Hold) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	b.holds.Remove(h.id)
	if h.connection {
		b.open--
	}
	h.shrink(h.bytes)
}
