package experiment

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/member"
	"papayaquay/io/peer"
)

// Shape of the simulated membership.
const (
	memberCentres   = 19
	backendsPerNode = 6 // 10,000 workers over 1,700 nodes
	memberStep      = 50 * time.Millisecond
	memberWarm      = 60 * time.Second
	memberMeasure   = 20 * time.Second
	announceEvery   = time.Second
)

// MeasureMembership runs the membership worlds of several system sizes in simulated time
// and prints what one instance sends, computes and holds.
func MeasureMembership(out io.Writer, sizes []int) error {
	fmt.Fprintln(out, "instances  servers  messages/s  bytes/s  processor  heap an instance")
	for _, size := range sizes {
		s := newMemberRun(size)
		s.run(memberWarm)
		s.messages, s.bytes = 0, 0
		begin := time.Now()
		s.run(memberMeasure)
		took := time.Since(begin) - s.encoding
		var heap runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&heap)
		seconds := memberMeasure.Seconds() * float64(size)
		fmt.Fprintf(out, "%9d  %7d  %10.1f  %7.0f  %8.3f%%  %7d kB\n", size, size*backendsPerNode,
			float64(s.messages)/seconds, float64(s.bytes)/seconds, took.Seconds()/seconds*100, heap.HeapAlloc/uint64(size)/1024)
		runtime.KeepAlive(s)
	}
	return nil
}

// memberRun is one simulated system.
type memberRun struct {
	now      time.Time
	worlds   []*member.World
	index    map[string]int
	messages int
	bytes    int
	encoding time.Duration
	sequence uint64
}

// newMemberRun returns a system whose instances know three seeds.
func newMemberRun(size int) *memberRun {
	s := &memberRun{now: time.Unix(1000, 0), index: make(map[string]int)}
	var seeds []member.Instance
	for n := range size {
		name := fmt.Sprintf("i%04d", n)
		self := member.NewInstance(name, "10.0.0.1:7000", fmt.Sprintf("dc%d", n%memberCentres), 1, member.StateAlive)
		if n < 3 {
			seeds = append(seeds, self)
		}
		s.index[name] = n
		s.worlds = append(s.worlds, member.New(s.now, self, member.WithSeed(uint64(n)), member.WithSeeds(seeds...)))
	}
	return s
}

// run advances simulated time.
func (s *memberRun) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(memberStep)
		if s.now.UnixMilli()%announceEvery.Milliseconds() == 0 {
			s.announce()
		}
		for _, w := range s.worlds {
			w.Run(s.now)
		}
		s.deliver()
	}
}

// announce lets every backend server announce itself to its instance.
func (s *memberRun) announce() {
	s.sequence++
	for n, w := range s.worlds {
		for b := range backendsPerNode {
			w.Announce(s.now, member.NewBackend(fmt.Sprintf("w%04d-%d", n, b), "http://10.0.0.2:8000", w.Self().DataCentre(),
				member.ProtocolEngine, 8, 1, s.sequence, member.WithServices(service), member.WithLoad(member.NewLoad(4, 0))))
		}
	}
}

// deliver hands all messages over and counts them.
func (s *memberRun) deliver() {
	for busy := true; busy; {
		busy = false
		for _, w := range s.worlds {
			for _, m := range w.Output() {
				busy = true
				begin := time.Now()
				data, err := peer.Encode(control.NewPacket(m.From(), m.To(), control.WithMemberMessages([]member.Message{m})))
				s.encoding += time.Since(begin)
				if err == nil {
					s.bytes += len(data)
				}
				s.messages++
				s.worlds[s.index[m.To()]].Receive(s.now, m)
			}
		}
	}
}
