package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/control"
	"papayaquay/core/home"
)

// completionsPerCommand is the number of completed items in one command.
const completionsPerCommand = 100

// MeasureLedger measures one home ledger with three replicas that sync to disk. It prints
// commits per second by the number of callers, and item completions per second alone and
// with concurrent online commits.
func MeasureLedger(ctx context.Context, out io.Writer, duration time.Duration) error {
	system, err := newBenchSystem(ctx, []string{"dc-a", "dc-b", "dc-c"}, 1, 1, nil)
	if err != nil {
		return err
	}
	defer system.close()
	for _, callers := range []int{1, 8, 64, 256} {
		latencies, count := system.measureCommits(ctx, callers, duration)
		fmt.Fprintf(out, "%3d callers: %6.0f commits/s, p50 %s, p99 %s\n", callers, float64(count)/duration.Seconds(), latencies.Quantile(50), latencies.Quantile(99))
	}
	alone, _ := system.measureCommits(ctx, 4, duration)
	items := system.completeItems(ctx, duration, func() {})
	var withItems *Latencies
	itemsWithCommits := system.completeItems(ctx, duration, func() { withItems, _ = system.measureCommits(ctx, 4, duration) })
	fmt.Fprintf(out, "item completions: %.0f/s alone, %.0f/s beside online commits\n", float64(items)/duration.Seconds(), float64(itemsWithCommits)/duration.Seconds())
	fmt.Fprintf(out, "online commit: p50 %s alone, %s beside completions (%.2f times); p99 %s, %s\n",
		alone.Quantile(50), withItems.Quantile(50), float64(withItems.Quantile(50))/float64(alone.Quantile(50)), alone.Quantile(99), withItems.Quantile(99))
	return nil
}

// measureCommits stores answers from a number of concurrent callers. It returns the
// latencies and the number of commits.
func (s *benchSystem) measureCommits(ctx context.Context, callers int, duration time.Duration) (*Latencies, int64) {
	latencies := NewLatencies()
	var count atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(duration)
	for c := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; time.Now().Before(end); n++ {
				begin := time.Now()
				key := home.NewKey("bench", fmt.Sprintf("dc-a/%d-%d-%d", end.UnixNano(), c, n))
				command := home.NewCommand(home.CommandPutAnswer, key, begin, home.WithAnswer(testAnswer(n)))
				call := control.NewCall(control.CallApply, "home/dc-a", begin.Add(5*time.Second), control.WithCommand(command))
				if _, err := s.system.Instances()[1].Call(ctx, call); err == nil {
					latencies.Record(time.Since(begin))
					count.Add(1)
				}
			}
		}()
	}
	wait.Wait()
	return latencies, count.Load()
}

// completeItems stores item answers from one goroutine, as fast as it can, for the given
// duration. It calls during at the same time and returns the number of items.
func (s *benchSystem) completeItems(ctx context.Context, duration time.Duration, during func()) int64 {
	const jobItems = 50_000
	job := home.NewKey("bench", fmt.Sprintf("dc-a/job-%d", time.Now().UnixNano()))
	items := make([]home.Item, jobItems)
	for n := range items {
		items[n] = home.NewItem(fmt.Sprintf("item %d", n), 12)
	}
	apply := func(kind home.CommandKind, options ...home.CommandOption) bool {
		command := home.NewCommand(kind, job, time.Now(), options...)
		_, err := s.system.Instances()[1].Call(ctx, control.NewCall(control.CallApply, "home/dc-a", time.Now().Add(5*time.Second), control.WithCommand(command)))
		return err == nil
	}
	// No backend server runs this service, so only the loop below completes its items.
	apply(home.CommandSubmit, home.WithService("none"), home.WithItems(jobItems, 0, items))
	var done atomic.Int64
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		end := time.Now().Add(duration)
		for from := 0; from < jobItems && time.Now().Before(end); from += completionsPerCommand {
			var answers []home.Completion
			for n := from; n < from+completionsPerCommand; n++ {
				answers = append(answers, home.NewCompletion(job, n, testAnswer(n)))
			}
			if apply(home.CommandComplete, home.WithCompletions(answers)) {
				done.Add(completionsPerCommand)
			}
		}
	}()
	during()
	wait.Wait()
	return done.Load()
}
