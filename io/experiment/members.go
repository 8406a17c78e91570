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

// Sizes and times of the simulated membership.
const (
	simulatedCentres    = 19
	backendsPerInstance = 6 // 10,000 backend servers over 1,700 instances
	simulationStep      = 50 * time.Millisecond
	warmUpTime          = 60 * time.Second
	measuredTime        = 20 * time.Second
	announceInterval    = time.Second
)

// MeasureMembership simulates the membership protocol for several numbers of instances. It
// prints the messages, bytes, processor time and heap of one instance.
func MeasureMembership(out io.Writer, sizes []int) error {
	fmt.Fprintln(out, "instances  servers  messages/s  bytes/s  processor  heap an instance")
	for _, size := range sizes {
		s := newMembershipSimulation(size)
		s.advance(warmUpTime)
		s.messages, s.bytes = 0, 0
		begin := time.Now()
		s.advance(measuredTime)
		processorTime := time.Since(begin) - s.encodingTime
		var heap runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&heap)
		seconds := measuredTime.Seconds() * float64(size)
		fmt.Fprintf(out, "%9d  %7d  %10.1f  %7.0f  %8.3f%%  %7d kB\n", size, size*backendsPerInstance,
			float64(s.messages)/seconds, float64(s.bytes)/seconds, processorTime.Seconds()/seconds*100, heap.HeapAlloc/uint64(size)/1024)
		runtime.KeepAlive(s)
	}
	return nil
}

// membershipSimulation is one simulated system.
type membershipSimulation struct {
	now          time.Time
	worlds       []*member.World
	indexByName  map[string]int
	messages     int
	bytes        int
	encodingTime time.Duration
	sequence     uint64
}

// newMembershipSimulation returns a system of size instances. The first three are the seeds
// of the others.
func newMembershipSimulation(size int) *membershipSimulation {
	s := &membershipSimulation{now: time.Unix(1000, 0), indexByName: make(map[string]int)}
	var seeds []member.Instance
	for n := range size {
		name := fmt.Sprintf("i%04d", n)
		self := member.NewInstance(name, "10.0.0.1:7000", fmt.Sprintf("dc%d", n%simulatedCentres), 1, member.StateAlive)
		if n < 3 {
			seeds = append(seeds, self)
		}
		s.indexByName[name] = n
		s.worlds = append(s.worlds, member.New(s.now, self, member.WithSeed(uint64(n)), member.WithSeeds(seeds...)))
	}
	return s
}

// advance advances simulated time by duration and runs all instances at each step.
func (s *membershipSimulation) advance(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(simulationStep)
		if s.now.UnixMilli()%announceInterval.Milliseconds() == 0 {
			s.announce()
		}
		for _, w := range s.worlds {
			w.Run(s.now)
		}
		s.deliver()
	}
}

// announce makes every backend server announce itself to its instance.
func (s *membershipSimulation) announce() {
	s.sequence++
	for n, w := range s.worlds {
		for b := range backendsPerInstance {
			w.Announce(s.now, member.NewBackend(fmt.Sprintf("w%04d-%d", n, b), "http://10.0.0.2:8000", w.Self().DataCentre(),
				member.ProtocolEngine, 8, 1, s.sequence, member.WithServices(serviceName), member.WithLoad(member.NewLoad(4, 0))))
		}
	}
}

// deliver delivers messages until none is left, and counts them and their encoded bytes.
func (s *membershipSimulation) deliver() {
	for delivered := true; delivered; {
		delivered = false
		for _, w := range s.worlds {
			for _, m := range w.Output() {
				delivered = true
				begin := time.Now()
				data, err := peer.Encode(control.NewPacket(m.From(), m.To(), control.WithMemberMessages([]member.Message{m})))
				s.encodingTime += time.Since(begin)
				if err == nil {
					s.bytes += len(data)
				}
				s.messages++
				s.worlds[s.indexByName[m.To()]].Receive(s.now, m)
			}
		}
	}
}
