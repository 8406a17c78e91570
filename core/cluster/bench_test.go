package cluster

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/usage"
)

// BenchmarkSystem runs a simulated second of deployments of several sizes and
// reports the time that one control, store and entry instance spends in ticks.
// Encoding and sending are not part of it.
func BenchmarkSystem(b *testing.B) {
	for _, size := range []struct {
		entries, stores, backends int
	}{{15, 3, 18}, {60, 7, 45}, {120, 14, 90}} {
		b.Run(fmt.Sprintf("entries=%d", size.entries), func(b *testing.B) {
			s := newTestSystem(b, size.stores)
			for i := range size.entries - 2 {
				s.boot(s.add(fmt.Sprintf("e%d", i+2), directory.RoleEntry, fmt.Sprintf("z%d", i%3)), true)
			}
			s.run(4 * time.Second)
			spent := make(map[directory.Role]time.Duration)
			sequence := uint64(0)
			second := func() {
				for ms := 0; ms < 1000; ms += 5 {
					if ms%10 == 0 {
						sequence++
						s.announce("c0", fmt.Sprintf("b%d", int(sequence)%size.backends), sequence)
					}
					for i, n := range s.nodes {
						if n.kind == directory.RoleEntry && (ms/5+i)%16 == 0 {
							n.inbox = append(n.inbox, UsageChanged(usage.NewReport(map[string]int{"b1": ms})))
						}
						inputs := n.inbox
						n.inbox = nil
						if due, ok := n.world.Next(); len(inputs) == 0 && (!ok || due.After(s.now)) {
							continue
						}
						began := time.Now()
						n.world.Step(s.now, inputs)
						spent[n.kind] += time.Since(began)
					}
					s.now = s.now.Add(tickStep)
				}
			}
			second()
			clear(spent)
			b.ResetTimer()
			for range b.N {
				second()
			}
			report := func(kind directory.Role, count int) {
				b.ReportMetric(float64(spent[kind].Microseconds())/float64(b.N*count), "us/s/"+kind.String())
			}
			report(directory.RoleControl, 3)
			report(directory.RoleStore, size.stores)
			report(directory.RoleEntry, size.entries)
		})
	}
}
