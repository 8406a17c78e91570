package cluster

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/usage"
)

// BenchmarkTicks simulates deployments of several sizes. It reports the time per
// simulated second that one control, store and entry instance spends in ticks,
// without encoding and sending.
func BenchmarkTicks(b *testing.B) {
	for _, size := range []struct {
		entries, stores, backends int
	}{{15, 3, 18}, {60, 7, 45}, {120, 14, 90}} {
		b.Run(fmt.Sprintf("entries=%d", size.entries), func(b *testing.B) {
			s := newTestSystem(b, size.stores)
			for i := range size.entries - 2 {
				s.start(s.add(fmt.Sprintf("e%d", i+2), directory.RoleEntry, fmt.Sprintf("z%d", i%3)), true)
			}
			s.run(4 * time.Second)
			tickTime := make(map[directory.Role]time.Duration)
			sequence := uint64(0)
			runSecond := func() {
				for ms := 0; ms < 1000; ms += 5 {
					if ms%10 == 0 {
						sequence++
						s.announce("c0", fmt.Sprintf("b%d", int(sequence)%size.backends), sequence)
					}
					for i, n := range s.instances {
						if n.role == directory.RoleEntry && (ms/5+i)%16 == 0 {
							n.inbox = append(n.inbox, UsageChanged(usage.NewReport(map[string]int{"b1": ms})))
						}
						inputs := n.inbox
						n.inbox = nil
						if due, ok := n.world.Next(); len(inputs) == 0 && (!ok || due.After(s.now)) {
							continue
						}
						started := time.Now()
						n.world.Step(s.now, inputs)
						tickTime[n.role] += time.Since(started)
					}
					s.now = s.now.Add(tickStep)
				}
			}
			runSecond()
			clear(tickTime)
			b.ResetTimer()
			for range b.N {
				runSecond()
			}
			report := func(role directory.Role, count int) {
				b.ReportMetric(float64(tickTime[role].Microseconds())/float64(b.N*count), "us/s/"+role.String())
			}
			report(directory.RoleControl, 3)
			report(directory.RoleStore, size.stores)
			report(directory.RoleEntry, size.entries)
		})
	}
}
