package budget

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Room of the budgets in tests. Large holders may use 768 KiB, connections of clients 4.
const (
	testBytes = 1 << 20
	testConns = 6
	kib       = 1 << 10
)

// fixture is a budget with a clock that the test moves.
type fixture struct {
	*Budget
	mu       sync.Mutex
	clock    time.Time
	woken    chan struct{}
	released []string // names of the holders that had to give way
}

// newFixture returns a budget of testBytes and testConns.
func newFixture() *fixture {
	f := &fixture{clock: time.Unix(1000, 0), woken: make(chan struct{}, 1000)}
	f.Budget = New(testBytes, func() int { return testConns }, WithClock(f.now), WithWake(func() { f.woken <- struct{}{} }))
	return f
}

// now returns the time of the test.
func (f *fixture) now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock
}

// pass lets time pass.
func (f *fixture) pass(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock = f.clock.Add(d)
}

// connect adds a connection.
func (f *fixture) connect(t *testing.T, name string, class Class) *Hold {
	h, err := f.Connect(class, func(Resource) { f.released = append(f.released, name) })
	qt.Assert(t, err, qt.IsNil)
	return h
}

// begin adds a request that takes bytes.
func (f *fixture) begin(t *testing.T, name string, connection *Hold, bytes int64) *Hold {
	h, err := connection.Begin(0, func(Resource) { f.released = append(f.released, name) })
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, connection.Serving(), qt.IsNil)
	qt.Assert(t, h.Grow(bytes), qt.IsNil)
	return h
}

// start runs a reservation and returns its result, after it has begun to wait or has ended.
func (f *fixture) start(reserve func() error) <-chan error {
	result := make(chan error, 1)
	for len(f.woken) > 0 {
		<-f.woken
	}
	ended := make(chan struct{})
	go func() {
		result <- reserve()
		close(ended)
	}()
	select {
	case <-f.woken:
	case <-ended:
	}
	return result
}

// TestWaits checks who gets room and who gives way.
func TestWaits(t *testing.T) {
	for _, test := range []struct {
		name     string
		others   func(t *testing.T, f *fixture)
		idle     time.Duration // that passes before the wait
		class    Class
		bytes    int64
		later    []func(f *fixture) // between ticks
		err      error
		released string
	}{
		{"room", func(*testing.T, *fixture) {}, 0, Outside, 100 * kib, nil, nil, ""},
		{"larger than all room", func(*testing.T, *fixture) {}, 0, Outside, testBytes, nil, ErrTooLarge, ""},
		{"as large as half of the room for an instance", func(*testing.T, *fixture) {}, 0, Inside, 2 * testBytes, nil, nil, ""},
		{"large requests leave room for small ones", func(t *testing.T, f *fixture) {
			c := f.connect(t, "c", Outside)
			qt.Assert(t, f.begin(t, "large", c, 700*kib).Serving(), qt.IsNil)
		}, time.Second, Outside, 40 * kib, nil, nil, ""},
		{"no room for a large one beside those that are served", func(t *testing.T, f *fixture) {
			c := f.connect(t, "c", Outside)
			qt.Assert(t, f.begin(t, "large", c, 500*kib).Serving(), qt.IsNil)
		}, time.Second, Outside, 500 * kib, nil, ErrNoRoom, ""},
		{"one that makes no progress gives way", func(t *testing.T, f *fixture) {
			f.begin(t, "stalled", f.connect(t, "c", Outside), 500*kib)
		}, stallTime, Outside, 500 * kib, nil, ErrNoRoom, "stalled"},
		{"the largest that makes no progress gives way", func(t *testing.T, f *fixture) {
			f.begin(t, "smaller", f.connect(t, "c", Outside), 200*kib)
			f.begin(t, "larger", f.connect(t, "d", Outside), 400*kib)
		}, stallTime, Outside, 300 * kib, nil, ErrNoRoom, "larger"},
		{"one that makes progress keeps its room", func(t *testing.T, f *fixture) {
			h := f.begin(t, "progress", f.connect(t, "c", Outside), 500*kib)
			f.pass(stallTime)
			h.Received(progressBytes)
		}, stallTime / 10, Outside, 500 * kib, nil, ErrNoRoom, ""},
		{"few bytes are no progress", func(t *testing.T, f *fixture) {
			h := f.begin(t, "trickle", f.connect(t, "c", Outside), 500*kib)
			f.pass(stallTime)
			h.Received(progressBytes - 1)
		}, 0, Outside, 500 * kib, nil, ErrNoRoom, "trickle"},
		{"idle connections give way if that is enough", func(t *testing.T, f *fixture) {
			for n := range 2 {
				f.connect(t, fmt.Sprint("idle", n), Outside).Idle()
			}
			c := f.connect(t, "c", Outside)
			qt.Assert(t, f.begin(t, "large", c, 640*kib).Serving(), qt.IsNil)
		}, stallTime, Outside, 80 * kib, nil, ErrNoRoom, "idle0 idle1"}, // their ends are not played here
		{"idle connections do not give way in vain", func(t *testing.T, f *fixture) {
			f.connect(t, "idle", Outside).Idle()
			c := f.connect(t, "c", Outside)
			qt.Assert(t, f.begin(t, "large", c, 700*kib).Serving(), qt.IsNil)
		}, stallTime, Outside, 300 * kib, nil, ErrNoRoom, ""},
		{"room that is given back", func(t *testing.T, f *fixture) {
			c := f.connect(t, "c", Outside)
			qt.Assert(t, f.begin(t, "large", c, 500*kib).Serving(), qt.IsNil)
		}, 0, Outside, 500 * kib, []func(f *fixture){func(f *fixture) {
			f.holds.Each(func(_ uint64, h **Hold) { // as after the end of the request
				if (*h).bytes > smallBytes {
					f.used -= (*h).bytes
					(*h).bytes = 0
				}
			})
		}}, nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			h := f.connect(t, "own", test.class)
			test.others(t, f)
			f.pass(test.idle)
			h.Reading()
			result := f.start(func() error { return h.Grow(test.bytes) })
			for _, later := range append(test.later, func(*fixture) {}, func(f *fixture) { f.pass(maxWait) }) {
				later(f)
				f.Step(f.now())
			}
			qt.Check(t, errors.Is(<-result, test.err), qt.IsTrue)
			qt.Check(t, strings.Join(f.released, " "), qt.Equals, test.released)
			_, due := f.Next()
			qt.Check(t, due, qt.IsFalse) // nobody waits any more
		})
	}
}

// TestConnections checks which connection gives way to a new one.
func TestConnections(t *testing.T) {
	const limit = testConns - testConns/insideShare // of clients
	for _, test := range []struct {
		name     string
		prepare  func(t *testing.T, f *fixture, conns []*Hold)
		class    Class
		err      error
		released string
	}{
		{"all are served", func(t *testing.T, _ *fixture, conns []*Hold) {
			for _, c := range conns {
				qt.Assert(t, c.Serving(), qt.IsNil)
			}
		}, Outside, ErrNoRoom, ""},
		{"those of instances have room of their own", func(*testing.T, *fixture, []*Hold) {}, Inside, nil, ""},
		{"one that sends nothing goes before one that is idle", func(t *testing.T, f *fixture, conns []*Hold) {
			conns[0].Idle()
			f.pass(time.Second)
			conns[1].Reading()
			qt.Assert(t, conns[2].Serving(), qt.IsNil)
			qt.Assert(t, conns[3].Serving(), qt.IsNil)
		}, Outside, nil, "1"},
		{"the one that was idle for longest", func(_ *testing.T, f *fixture, conns []*Hold) {
			for _, n := range []int{2, 0, 1, 3} {
				conns[n].Idle()
				f.pass(time.Millisecond)
			}
		}, Outside, nil, "2"},
		{"one whose request does not arrive", func(t *testing.T, f *fixture, conns []*Hold) {
			for n, c := range conns {
				h := f.begin(t, fmt.Sprint("request", n), c, kib)
				if n != 3 {
					qt.Assert(t, h.Serving(), qt.IsNil)
				}
			}
		}, Outside, nil, "3"},
		{"not one with another request that is served", func(t *testing.T, f *fixture, conns []*Hold) {
			for n, c := range conns {
				h := f.begin(t, fmt.Sprint("request", n), c, kib)
				qt.Assert(t, h.Serving(), qt.IsNil)
			}
			f.begin(t, "second", conns[3], kib)
		}, Outside, ErrNoRoom, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			var conns []*Hold
			for n := range limit {
				name := fmt.Sprint(n)
				var c *Hold
				c, err := f.Connect(Outside, func(Resource) {
					f.released = append(f.released, name)
					go c.Close()
				})
				qt.Assert(t, err, qt.IsNil)
				conns = append(conns, c)
			}
			test.prepare(t, f, conns)
			result := f.start(func() error { _, err := f.Connect(test.class, func(Resource) {}); return err })
			f.pass(stallTime)
			f.Step(f.now())
			if test.err == nil && test.class == Outside {
				<-f.woken // the connection was closed
				f.Step(f.now())
			}
			f.pass(maxWait)
			f.Step(f.now())
			qt.Check(t, errors.Is(<-result, test.err), qt.IsTrue)
			qt.Check(t, strings.Join(f.released, " "), qt.Equals, test.released)
		})
	}
}

// TestOrder checks the order in which those who wait get room.
func TestOrder(t *testing.T) {
	f := newFixture()
	full := f.connect(t, "full", Outside)
	qt.Assert(t, full.Serving(), qt.IsNil)
	qt.Assert(t, full.Grow(700*kib), qt.IsNil)
	rest := f.connect(t, "rest", Inside) // takes what large holders leave
	qt.Assert(t, rest.Serving(), qt.IsNil)
	qt.Assert(t, rest.Grow(testBytes-f.Usage().Bytes()), qt.IsNil)
	order := make(chan string, 4)
	var results []<-chan error
	for _, w := range []struct {
		name  string
		class Class
		bytes int64
	}{{"first large", Outside, 100 * kib}, {"second large", Outside, 100 * kib}, {"small", Outside, 20 * kib}, {"instance", Inside, 100 * kib}} {
		h := f.newHold(w.class, nil, func(Resource) {})
		results = append(results, f.start(func() error {
			err := h.Grow(w.bytes)
			order <- w.name
			return err
		}))
	}
	for _, want := range []string{"instance", "small", "first large", "second large"} {
		full.Shrink(100 * kib)
		if want == "first large" {
			full.Shrink(200 * kib) // for large holders there is less room
		}
		for len(order) == 0 {
			f.Step(f.now())
			time.Sleep(time.Millisecond)
		}
		qt.Assert(t, <-order, qt.Equals, want)
	}
	for _, r := range results {
		qt.Assert(t, <-r, qt.IsNil)
	}
}

// TestClose checks that an end gives everything back, also twice.
func TestClose(t *testing.T) {
	f := newFixture()
	c := f.connect(t, "c", Outside)
	h := f.begin(t, "r", c, 10*kib)
	qt.Assert(t, f.Usage().Bytes(), qt.Equals, int64(ConnectionBytes+RequestBytes+10*kib))
	h.Close()
	h.Close()
	c.Close()
	c.Close()
	qt.Assert(t, f.Usage(), qt.Equals, Usage{room: testBytes})
}

// TestLargestPacket checks that a reservation of an instance that is larger than all room is given back as
// it was taken.
func TestLargestPacket(t *testing.T) {
	f := newFixture()
	c := f.connect(t, "c", Inside)
	qt.Assert(t, c.Grow(2*testBytes), qt.IsNil)
	qt.Assert(t, f.Usage().Bytes(), qt.Equals, int64(ConnectionBytes+testBytes/insideBytesShare))
	c.Shrink(2 * testBytes)
	qt.Assert(t, f.Usage().Bytes(), qt.Equals, int64(ConnectionBytes))
}

// TestTryGrow checks that those who hold bytes already do not wait for room.
func TestTryGrow(t *testing.T) {
	f := newFixture()
	h := f.begin(t, "r", f.connect(t, "c", Outside), 0)
	qt.Assert(t, h.TryGrow(600*kib), qt.IsNil)
	qt.Assert(t, errors.Is(h.TryGrow(600*kib), ErrNoRoom), qt.IsTrue)
	h.Shrink(600 * kib)
	qt.Assert(t, h.TryGrow(600*kib), qt.IsNil)
	sent := f.Open(Inside)
	qt.Assert(t, errors.Is(sent.TryGrow(600*kib), ErrNoRoom), qt.IsTrue)
	qt.Assert(t, f.Usage().Rejected(), qt.Equals, uint64(2))
}

// TestCloseWhileWaiting checks that a holder that ends while it waits gets nothing: nobody would give it back.
func TestCloseWhileWaiting(t *testing.T) {
	f := newFixture()
	full := f.begin(t, "full", f.connect(t, "c", Outside), 700*kib)
	qt.Assert(t, full.Serving(), qt.IsNil)
	h := f.begin(t, "waits", f.connect(t, "d", Outside), 0)
	result := f.start(func() error { return h.Grow(500 * kib) })
	h.Close()
	full.Close()
	f.Step(f.now())
	qt.Check(t, errors.Is(<-result, ErrGaveWay), qt.IsTrue)
	qt.Check(t, errors.Is(h.Grow(kib), ErrGaveWay), qt.IsTrue)
	qt.Check(t, f.Usage().Bytes(), qt.Equals, int64(2*ConnectionBytes))
}

// TestLoweredLimit checks that connections that make no progress are ended when the limit is lowered.
func TestLoweredLimit(t *testing.T) {
	const before, lowered = 60, 6 // for clients: two thirds of them
	f := newFixture()
	limit := before
	f.Budget = New(10*testBytes, func() int { return limit }, WithClock(f.now), WithWake(func() { f.woken <- struct{}{} }))
	ended := make(chan struct{}, before)
	for range 30 {
		var c *Hold
		c, err := f.Connect(Outside, func(Resource) {
			go func() {
				c.Close()
				ended <- struct{}{}
			}()
		})
		qt.Assert(t, err, qt.IsNil)
	}
	limit = lowered
	f.pass(stallTime)
	result := f.start(func() error { _, err := f.Connect(Outside, func(Resource) {}); return err })
	f.Step(f.now())
	for range 30 + 1 - lowered*2/3 {
		<-ended
	}
	f.Step(f.now())
	qt.Assert(t, <-result, qt.IsNil)
	qt.Assert(t, f.Usage().Connections(), qt.Equals, lowered*2/3)
}
