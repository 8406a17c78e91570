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

// completionsAtOnce is the number of item answers in one command.
const completionsAtOnce = 100

// MeasureLedger measures one home ledger of three replicas with real syncs: commits a
// second by the number of callers, and item completions a second with online
// commits beside them.
func MeasureLedger(ctx context.Context, out io.Writer, length time.Duration) error {
	r, err := newRig(ctx, []string{"dc-a", "dc-b", "dc-c"}, 1, 1, nil)
	if err != nil {
		return err
	}
	defer r.close()
	for _, callers := range []int{1, 8, 64, 256} {
		l, count := r.commits(ctx, callers, length)
		fmt.Fprintf(out, "%3d callers: %6.0f commits/s, p50 %s, p99 %s\n", callers, float64(count)/length.Seconds(), l.Quantile(50), l.Quantile(99))
	}
	alone, _ := r.commits(ctx, 4, length)
	items := r.completeItems(ctx, length, func() {})
	var beside *Latencies
	itemsBeside := r.completeItems(ctx, length, func() { beside, _ = r.commits(ctx, 4, length) })
	fmt.Fprintf(out, "item completions: %.0f/s alone, %.0f/s beside online commits\n", float64(items)/length.Seconds(), float64(itemsBeside)/length.Seconds())
	fmt.Fprintf(out, "online commit: p50 %s alone, %s beside completions (%.2f times); p99 %s, %s\n",
		alone.Quantile(50), beside.Quantile(50), float64(beside.Quantile(50))/float64(alone.Quantile(50)), alone.Quantile(99), beside.Quantile(99))
	return nil
}

// commits stores answers from a number of callers.
func (r *rig) commits(ctx context.Context, callers int, length time.Duration) (*Latencies, int64) {
	latencies := NewLatencies()
	var count atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for c := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; time.Now().Before(end); n++ {
				begin := time.Now()
				key := home.NewKey("bench", fmt.Sprintf("dc-a/%d-%d-%d", end.UnixNano(), c, n))
				command := home.NewCommand(home.CommandPutAnswer, key, begin, home.WithAnswer(answerOf(n)))
				call := control.NewCall(control.CallApply, "home/dc-a", begin.Add(5*time.Second), control.WithCommand(command))
				if _, err := r.local.Instances()[1].Call(ctx, call); err == nil {
					latencies.Record(time.Since(begin))
					count.Add(1)
				}
			}
		}()
	}
	wait.Wait()
	return latencies, count.Load()
}

// completeItems stores item answers as fast as one runner can while beside
// runs, for the given time, and returns how many.
func (r *rig) completeItems(ctx context.Context, length time.Duration, beside func()) int64 {
	const jobItems = 50_000
	job := home.NewKey("bench", fmt.Sprintf("dc-a/job-%d", time.Now().UnixNano()))
	items := make([]home.Item, jobItems)
	for n := range items {
		items[n] = home.NewItem(fmt.Sprintf("item %d", n), 12)
	}
	apply := func(kind home.CommandKind, options ...home.CommandOption) bool {
		command := home.NewCommand(kind, job, time.Now(), options...)
		_, err := r.local.Instances()[1].Call(ctx, control.NewCall(control.CallApply, "home/dc-a", time.Now().Add(5*time.Second), control.WithCommand(command)))
		return err == nil
	}
	// No backend server runs this service, so that the items stay for this loop.
	apply(home.CommandSubmit, home.WithService("none"), home.WithItems(jobItems, 0, items))
	var done atomic.Int64
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		end := time.Now().Add(length)
		for from := 0; from < jobItems && time.Now().Before(end); from += completionsAtOnce {
			var answers []home.Completion
			for n := from; n < from+completionsAtOnce; n++ {
				answers = append(answers, home.NewCompletion(job, n, answerOf(n)))
			}
			if apply(home.CommandComplete, home.WithCompletions(answers)) {
				done.Add(completionsAtOnce)
			}
		}
	}()
	beside()
	wait.Wait()
	return done.Load()
}
