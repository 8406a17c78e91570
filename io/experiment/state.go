package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/io/disk"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
)

// jobSize is the number of items of a measured job.
const jobSize = 1000

// heapInUse returns the heap after a collection.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// MeasureState prints the memory, snapshot size and times of home state by size, and
// the start-up time of a disk by the number of changes.
func MeasureState(ctx context.Context, out io.Writer) error {
	for _, items := range []int{10_000, 100_000, 400_000} {
		before := heapInUse()
		s := home.New()
		begin := time.Now()
		fillJobs(s, items)
		took := time.Since(begin)
		heap := heapInUse() - before
		begin = time.Now()
		records := s.Export()
		export := time.Since(begin)
		data, err := record.EncodeHome(records)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%6d items done: %4.0f bytes of heap, %4.0f bytes of snapshot each; %.2f us to apply; export %s, encode %s\n",
			items, float64(heap)/float64(items), float64(len(data))/float64(items), float64(took.Microseconds())/float64(items),
			export.Round(time.Millisecond), (time.Since(begin) - export).Round(time.Millisecond))
		runtime.KeepAlive(s)
	}
	for _, changes := range []int{1000, 10_000, 50_000} {
		if err := restart(ctx, out, changes); err != nil {
			return err
		}
	}
	return nil
}

// fillJobs submits and completes items.
func fillJobs(s *home.State, items int) {
	now := time.Now()
	for from := 0; from < items; from += jobSize {
		key := home.NewKey("bench", fmt.Sprintf("job-%d", from))
		var list []home.Item
		var answers []home.Completion
		for n := range jobSize {
			list = append(list, home.NewItem(fmt.Sprintf("item %d of the lot with its dossier text", n), 12))
			answers = append(answers, home.NewCompletion(key, n, answerOf(n)))
		}
		s.Apply(home.NewCommand(home.CommandSubmit, key, now, home.WithService(service), home.WithItems(jobSize, 0, list)))
		s.Apply(home.NewCommand(home.CommandComplete, key, now, home.WithCompletions(answers)))
	}
}

// restart writes configuration changes to a disk, without and with a snapshot,
// and measures the time to read and apply them.
func restart(ctx context.Context, out io.Writer, changes int) error {
	folder, err := os.MkdirTemp("", "papayaquay-bench-")
	if err != nil {
		return errors.Wrap(err, "create folder")
	}
	defer os.RemoveAll(folder)
	if err := writeChanges(ctx, folder, changes); err != nil {
		return err
	}
	begin := time.Now()
	store, err := disk.Open(folder)
	if err != nil {
		return err
	}
	defer store.Close()
	state := config.New()
	for _, e := range store.TakeLoaded()[0].Entries() {
		change, err := record.DecodeChange(e.Payload())
		if err != nil {
			return err
		}
		state.Apply(change)
	}
	fmt.Fprintf(out, "start after %d changes without a snapshot: %s\n", state.Revision(), time.Since(begin).Round(time.Millisecond))
	return nil
}

// writeChanges writes a log of configuration changes.
func writeChanges(ctx context.Context, folder string, changes int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	synced := make(chan uint64, 1)
	store, err := disk.Open(folder, disk.WithCallbacks(func(n uint64) { synced <- n }, func(error) {}))
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		store.Run(ctx)
		close(done)
	}()
	var records []ledger.Record
	for n := range changes {
		change := config.NewChange(fmt.Sprintf("op-%d", n), "bench", config.NewRef(config.KindModel, fmt.Sprintf("m%d", n%100)),
			config.NewSpec(config.WithVersion(fmt.Sprint(n))), uint64(max(n-99, 0)), time.Now())
		data, err := record.EncodeChange(change)
		if err != nil {
			return err
		}
		records = append(records, ledger.NewEntryRecord("config", "bench#1", ledger.NewEntry(1, uint64(n+1), ledger.EntryCommand, data, nil)))
	}
	store.Append(1, records)
	<-synced
	cancel()
	<-done
	store.Close()
	return nil
}
