package member

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cluster is a simulated cluster of several instances.
type cluster struct {
	now     time.Time
	worlds  map[string]*World
	names   []string
	offline map[string]bool // instances that send and receive no messages
}

// newCluster starts instances that alternate between two data centres.
func newCluster(size int) *cluster {
	s := &cluster{now: time.Unix(1000, 0), worlds: make(map[string]*World), offline: make(map[string]bool)}
	seed := NewInstance("i0", "10.0.0.1:1", "a", 0, 0)
	for n := range size {
		name := fmt.Sprintf("i%d", n)
		self := NewInstance(name, "10.0.0.1:1", []string{"a", "b"}[n%2], 1, StateAlive)
		s.names = append(s.names, name)
		s.worlds[name] = New(s.now, self, WithSeed(uint64(n)), WithSeeds(seed))
	}
	return s
}

// run advances time and delivers messages.
func (s *cluster) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, name := range s.names {
			s.worlds[name].Run(s.now)
		}
		for range 4 {
			for _, name := range s.names {
				for _, m := range s.worlds[name].Output() {
					if !s.offline[name] && !s.offline[m.To()] {
						s.worlds[m.To()].Receive(s.now, m)
					}
				}
			}
		}
	}
}

// states returns how many of the other instances see an instance in each state.
func (s *cluster) states(subject string) map[State]int {
	states := make(map[State]int)
	for _, name := range s.names {
		if name == subject || s.offline[name] {
			continue
		}
		if i, ok := s.worlds[name].Get(subject); ok {
			states[i.State()]++
		}
	}
	return states
}

// announcement returns an announcement of a backend server in data centre a.
func announcement(sequence uint64, options ...BackendOption) Backend {
	return NewBackend("w", "http://10.0.0.9:1", "a", ProtocolEngine, 4, 1, sequence, options...)
}

// TestInstanceStatesSpread checks the state in which other instances see one
// that is lost, returns or leaves.
func TestInstanceStatesSpread(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(s *cluster)
		want State
	}{
		{"no fault", func(*cluster) {}, StateAlive},
		{"lost", func(s *cluster) { s.offline["i3"] = true }, StateDead},
		{"lost for 1.2 s", func(s *cluster) {
			s.offline["i3"] = true
			s.run(1200 * time.Millisecond)
			s.offline["i3"] = false
		}, StateAlive},
		{"returned after 30 s", func(s *cluster) {
			s.offline["i3"] = true
			s.run(30 * time.Second)
			s.offline["i3"] = false
			s.run(40 * time.Second)
		}, StateAlive},
		{"left", func(s *cluster) { s.worlds["i3"].Leave(s.now); s.run(100 * time.Millisecond); s.offline["i3"] = true }, StateLeft},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newCluster(9)
			s.run(5 * time.Second)
			test.act(s)
			s.run(15 * time.Second)
			c.Assert(s.states("i3"), qt.DeepEquals, map[State]int{test.want: 8})
		})
	}
}

// TestBackendStatesSpread checks that all instances learn the state of a backend
// server.
func TestBackendStatesSpread(t *testing.T) {
	for _, test := range []struct {
		name          string
		act           func(s *cluster, announce func(n int, b Backend))
		leaving, gone bool
	}{
		{"announced to different instances", func(_ *cluster, announce func(int, Backend)) {
			for n := range 10 {
				announce(n, announcement(uint64(n+2)))
			}
		}, false, false},
		{"silent", func(s *cluster, _ func(int, Backend)) { s.run(12 * time.Second) }, false, true},
		{"leaving server stays leaving", func(_ *cluster, announce func(int, Backend)) {
			announce(1, announcement(3, WithLeaving(true)))
			announce(2, announcement(2))
			announce(3, announcement(4))
		}, true, false},
		{"monitor lost", func(s *cluster, announce func(int, Backend)) {
			monitor := s.worlds["i0"].monitorOf("w")
			s.offline[monitor] = true
			for n := range 12 {
				if name := s.names[n%9]; name != monitor {
					announce(n%9, announcement(uint64(n+2)))
				}
			}
		}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newCluster(9)
			s.run(5 * time.Second)
			announce := func(n int, b Backend) {
				s.worlds[s.names[n%9]].Announce(s.now, b)
				s.run(time.Second)
			}
			announce(0, announcement(1))
			test.act(s, announce)
			for _, name := range s.names {
				if s.offline[name] {
					continue
				}
				backends := s.worlds[name].Backends()
				c.Assert(backends, qt.HasLen, 1)
				c.Assert(backends[0].Leaving(), qt.Equals, test.leaving, qt.Commentf(name))
				c.Assert(backends[0].Gone(), qt.Equals, test.gone, qt.Commentf(name))
			}
		})
	}
}
