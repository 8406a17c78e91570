package disk

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"papayaquay/core/ledger"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// entryRecord returns the record of entry n in the test ledger.
func entryRecord(n int) ledger.Record {
	return ledger.NewEntryRecord("home/a", "i1#x", ledger.NewEntry(1, uint64(n), ledger.EntryCommand, fmt.Appendf(nil, "c%d", n), nil))
}

// writeEntries opens a store, appends each entry in a batch of its own, waits until
// all are durable, and closes the store.
func writeEntries(c *qt.C, folder string, entries int, options ...Option) {
	synced := make(chan uint64, entries)
	store, err := Open(folder, append(options, WithCallbacks(func(n uint64) { synced <- n }, func(error) {}))...)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		store.Run(ctx)
		close(done)
	}()
	for n := 1; n <= entries; n++ {
		store.Append(uint64(n), []ledger.Record{entryRecord(n)})
	}
	for n := uint64(0); n < uint64(entries); {
		select {
		case n = <-synced:
		case <-time.After(10 * time.Second):
			c.Fatalf("the batches were not durable after 10 s")
		}
	}
	cancel()
	<-done
	store.Close()
}

// segmentPaths returns the paths of the segment files.
func segmentPaths(c *qt.C, folder string) []string {
	paths, err := filepath.Glob(filepath.Join(folder, segmentGlob))
	c.Assert(err, qt.IsNil)
	return paths
}

// TestOpenDamagedLog checks that Open truncates a torn record at the end of the
// log and returns ErrCorrupt for a corrupt record before intact ones.
func TestOpenDamagedLog(t *testing.T) {
	const entries = 20
	for _, test := range []struct {
		name    string
		damage  func(c *qt.C, path string)
		entries int
		err     error
	}{
		{"none", func(*qt.C, string) {}, entries, nil},
		{"torn record at the end", func(c *qt.C, path string) {
			info, err := os.Stat(path)
			c.Assert(err, qt.IsNil)
			c.Assert(os.Truncate(path, info.Size()-3), qt.IsNil)
		}, entries - 1, nil},
		{"partial header at the end", func(c *qt.C, path string) {
			f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
			c.Assert(err, qt.IsNil)
			_, err = f.Write([]byte{9, 0, 0})
			c.Assert(err, qt.IsNil)
			c.Assert(f.Close(), qt.IsNil)
		}, entries, nil},
		{"flipped bit in the middle", func(c *qt.C, path string) {
			data, err := os.ReadFile(path)
			c.Assert(err, qt.IsNil)
			data[len(data)/2] ^= 4
			c.Assert(os.WriteFile(path, data, 0o600), qt.IsNil)
		}, 0, ErrCorrupt},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			folder := t.TempDir()
			writeEntries(c, folder, entries)
			test.damage(c, segmentPaths(c, folder)[0])
			store, err := Open(folder)
			c.Assert(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			if test.err != nil {
				c.Assert(RenameCorruptLog(folder), qt.IsNil)
				store, err = Open(folder)
				c.Assert(err, qt.IsNil)
				c.Assert(store.TakeLoaded(), qt.HasLen, 0)
				store.Close()
				return
			}
			c.Assert(store.TakeLoaded()[0].Entries(), qt.HasLen, test.entries)
			store.Close()
		})
	}
}

// TestRetryFailedWrites checks that failed writes and syncs are retried until all
// records are durable, and that all confirmed records are in the log afterwards. A
// short write or a failed sync leaves unknown content in the segment.
func TestRetryFailedWrites(t *testing.T) {
	for _, test := range []struct {
		name  string
		write bool
	}{{"short write", true}, {"failed sync", false}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			failing := func() bool { n := calls.Add(1); return n > 6 && n < 9 }
			write := func(f *os.File, data []byte, at int64) (int, error) {
				if test.write && failing() {
					n, _ := f.WriteAt(data[:len(data)/2], at)
					return n, errors.New("no space left")
				}
				return f.WriteAt(data, at)
			}
			sync := func(f *os.File) error {
				if !test.write && failing() {
					return errors.New("input/output error")
				}
				return f.Sync()
			}
			folder := t.TempDir()
			writeEntries(c, folder, 40, WithFileOperations(write, sync))
			store, err := Open(folder)
			c.Assert(err, qt.IsNil)
			c.Assert(store.TakeLoaded()[0].Entries(), qt.HasLen, 40)
			store.Close()
		})
	}
}

// TestRewrite checks that a rewrite drops the entries that a snapshot covers and
// keeps the other records.
func TestRewrite(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	writeEntries(c, folder, 100)
	store, err := Open(folder, WithMaxDeadBytes(1))
	c.Assert(err, qt.IsNil)
	snapshot := ledger.NewSnapshot(90, 1, nil, []byte("state"))
	store.step(time.Now(), []batch{{sequence: 1, records: []ledger.Record{ledger.NewSnapshotRecord("home/a", "i1#x", snapshot)}}})
	nonce := store.Nonce()
	store.Close()
	c.Assert(segmentPaths(c, folder), qt.HasLen, 1)
	store, err = Open(folder)
	c.Assert(err, qt.IsNil)
	defer store.Close()
	stored := store.TakeLoaded()[0]
	c.Assert(store.Nonce(), qt.Equals, nonce)
	c.Assert(stored.Snapshot().Index(), qt.Equals, uint64(90))
	c.Assert(stored.Entries(), qt.HasLen, 10)
}

// FuzzReadFrame checks that readFrame accepts any input without a panic and never
// returns a size beyond the input.
func FuzzReadFrame(f *testing.F) {
	frame, err := appendFrame(nil, toBody(entryRecord(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add(frame[:5])
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, size, err := readFrame(data); err == nil && size > len(data) {
			t.Fatalf("frame of %d bytes in %d bytes of input", size, len(data))
		}
	})
}

// TestOpenMemory checks that opening a log copies each record once and never holds the
// segment as a whole, since its dead records may exceed the instance's memory.
func TestOpenMemory(t *testing.T) {
	const (
		snapshots     = 32
		snapshotBytes = 2 << 20
		maxAllocated  = snapshots * snapshotBytes * 3 / 2
	)
	c := qt.New(t)
	folder := t.TempDir()
	store, err := Open(folder)
	c.Assert(err, qt.IsNil)
	for i := range snapshots {
		snapshot := ledger.NewSnapshot(uint64(i+1), 1, nil, make([]byte, snapshotBytes))
		store.step(time.Now(), []batch{{sequence: uint64(i + 1), records: []ledger.Record{ledger.NewSnapshotRecord("jobs", "s1#x", snapshot)}}})
	}
	store.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	store, err = Open(folder)
	c.Assert(err, qt.IsNil)
	defer store.Close()
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	c.Assert(allocated < maxAllocated, qt.IsTrue, qt.Commentf("%d bytes for %d of records", allocated, snapshots*snapshotBytes))
}

// partRecord returns the record of one part of a snapshot at an index of the test ledger.
func partRecord(index, part, parts int) ledger.Record {
	return ledger.NewSnapshotRecord("home/a", "i1#x", ledger.NewSnapshotPart(uint64(index), 1, nil, part, parts, fmt.Appendf(nil, "%d.%d", index, part)))
}

// TestSnapshotInParts checks that a snapshot takes effect with its last part, and that
// the parts of one that was given up are dropped, also when the segments are rewritten.
func TestSnapshotInParts(t *testing.T) {
	for _, test := range []struct {
		name    string
		records []ledger.Record
		index   uint64
		parts   []string
		entries int
	}{
		{"complete", []ledger.Record{partRecord(90, 0, 2), partRecord(90, 1, 2)}, 90, []string{"90.0", "90.1"}, 10},
		{"incomplete", []ledger.Record{partRecord(90, 0, 3), partRecord(90, 1, 3)}, 0, nil, 100},
		{"given up", []ledger.Record{partRecord(90, 0, 3), partRecord(95, 0, 2), partRecord(95, 1, 2)}, 95, []string{"95.0", "95.1"}, 5},
		{"next one incomplete", []ledger.Record{partRecord(90, 0, 2), partRecord(90, 1, 2), partRecord(99, 0, 2)}, 90, []string{"90.0", "90.1"}, 10},
		{"whole one follows", []ledger.Record{partRecord(90, 0, 2), partRecord(90, 1, 2), partRecord(95, 0, 1)}, 95, nil, 5},
	} {
		for _, maxDeadBytes := range []int64{1, DefaultMaxDeadBytes} {
			t.Run(fmt.Sprintf("%s, %d dead bytes", test.name, maxDeadBytes), func(t *testing.T) {
				c := qt.New(t)
				folder := t.TempDir()
				writeEntries(c, folder, 100)
				store, err := Open(folder, WithMaxDeadBytes(maxDeadBytes))
				c.Assert(err, qt.IsNil)
				for i, r := range test.records {
					store.step(time.Now(), []batch{{sequence: uint64(i + 1), records: []ledger.Record{r}}})
				}
				live := store.liveBytes
				store.Close()
				store, err = Open(folder)
				c.Assert(err, qt.IsNil)
				defer store.Close()
				c.Check(store.liveBytes, qt.Equals, live)
				stored := store.TakeLoaded()[0]
				var parts []string
				for _, part := range stored.SnapshotParts() {
					parts = append(parts, string(part))
				}
				c.Assert(stored.Snapshot().Index(), qt.Equals, test.index)
				c.Assert(parts, qt.DeepEquals, test.parts)
				c.Assert(stored.Entries(), qt.HasLen, test.entries)
			})
		}
	}
}
