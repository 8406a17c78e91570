package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaquay/io/standin"
)

// ticksPerSecond is the number of clock ticks per second in which /proc counts
// processor time.
const ticksPerSecond = 100

// measurementTime is the duration of each measurement.
const measurementTime = 8 * time.Second

// processUsage returns the processor time and the resident and anonymous memory,
// in kB, of an instance's process.
func (sys *system) processUsage(name string) (cpu time.Duration, resident, anonymous int) {
	pid := sys.processes[name].Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	kernel, _ := strconv.Atoi(fields[12])
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &resident)
		_, _ = fmt.Sscanf(line, "RssAnon: %d kB", &anonymous)
	}
	return time.Duration(user+kernel) * time.Second / ticksPerSecond, resident, anonymous
}

// logUsage runs work and logs the processor time and the memory that the named
// instances used.
func (sys *system) logUsage(b *testing.B, names []string, work func()) {
	before := make(map[string]time.Duration)
	for _, name := range names {
		before[name], _, _ = sys.processUsage(name)
	}
	startTime := time.Now()
	work()
	elapsed := time.Since(startTime)
	for _, name := range names {
		cpu, resident, anonymous := sys.processUsage(name)
		b.Logf("%s: %.2f%% of a core, %d kB resident, %d kB anonymous", name, float64(cpu-before[name])/float64(elapsed)*100, resident, anonymous)
	}
}

// BenchmarkIdleCost measures the processor time and memory of idle instances for
// several sizes of the system.
func BenchmarkIdleCost(b *testing.B) {
	for _, perCentre := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("instances=%d", 3*perCentre), func(b *testing.B) {
			sys := startSystem(b, systemOptions{centres: threeCentres, perCentre: perCentre, engines: 20})
			time.Sleep(3 * time.Second)
			names := []string{"ch-west-a-1", "ch-west-b-1"}
			if perCentre > 1 {
				names = append(names, "ch-west-a-2", "ch-west-b-2")
			}
			sys.logUsage(b, names, func() { time.Sleep(measurementTime) })
		})
	}
}

// BenchmarkRequestCost measures the processor time and memory of an entry without
// replicas, and of one with replicas, for several request rates and lengths of
// answers.
func BenchmarkRequestCost(b *testing.B) {
	sys := startSystem(b, systemOptions{centres: threeCentres, perCentre: 2, engines: 20, engineOptions: []standin.EngineOption{standin.WithSpeed(5*time.Millisecond, 0)}})
	for _, load := range []struct{ rate, tokens int }{{25, 16}, {50, 16}, {100, 16}, {25, 64}, {25, 128}} {
		rate, tokens := load.rate, load.tokens
		b.Run(fmt.Sprintf("rate=%d,tokens=%d", rate, tokens), func(b *testing.B) {
			sys.logUsage(b, []string{"ch-west-a-2", "ch-west-a-1"}, func() {
				var wait sync.WaitGroup
				for n := range int(measurementTime.Seconds() * float64(rate)) {
					wait.Add(1)
					go func() {
						defer wait.Done()
						r := ask(sys.ctx, sys.instance("ch-west-a-2").URL(), newAskRequest(fmt.Sprintf("ch-west-a/%d-%d-%d", rate, tokens, n), fmt.Sprint(n), tokens))
						if r.err != nil {
							b.Error(r.err)
						}
					}()
					time.Sleep(time.Second / time.Duration(rate))
				}
				wait.Wait()
			})
		})
	}
}

// BenchmarkChangeCost measures how long configuration changes take to reach all
// instances and what they cost, for several rates of changes.
func BenchmarkChangeCost(b *testing.B) {
	sys := startSystem(b, systemOptions{centres: threeCentres, perCentre: 5, engines: 3})
	revision := uint64(0)
	for _, rate := range []int{1, 5, 20} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			var slowest, sum time.Duration
			count := 0
			sys.logUsage(b, []string{"ch-west-a-1", "ch-west-b-1", "ch-west-b-2", "ch-west-c-5"}, func() {
				for end := time.Now().Add(measurementTime); time.Now().Before(end); count++ {
					startTime := time.Now()
					revision = sys.changeModel(sys.layout.URLs()[7], fmt.Sprintf("cost-%d-%d", rate, count), fmt.Sprint(count), revision).GetRevision()
					if err := standin.AwaitRevision(sys.ctx, sys.layout.URLs(), revision); err != nil {
						b.Fatal(err)
					}
					elapsed := time.Since(startTime)
					slowest, sum = max(slowest, elapsed), sum+elapsed
					time.Sleep(max(time.Second/time.Duration(rate)-elapsed, 0))
				}
			})
			b.Logf("%d changes, in force at 15 instances after %s on average, %s at most", count, sum/time.Duration(count), slowest)
		})
	}
}
