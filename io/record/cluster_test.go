package record

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/registry"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// TestClusterCodec checks that what is stored and sent comes back the same.
func TestClusterCodec(t *testing.T) {
	codec := NewClusterCodec()
	now := time.UnixMilli(1_700_000_000_000).UTC()
	item := batch.NewItem("i", "/p?x", []batch.Header{batch.NewHeader("A", "b")}, []byte{0, 255}, 7)
	order := batch.NewJobSpec("j", "r", "h", []batch.Item{item}, batch.WithTimes(now, now.Add(time.Second), now.Add(time.Minute)), batch.WithLimits(9, 3))
	members := []ledger.Member{ledger.NewMember("a#1", "a", true)}
	node := directory.NewNode("a:1", "n", "z", directory.RoleStore, 5, directory.WithRevision(2), directory.WithReplica("a#1", true), directory.WithTerm(4))
	server := member.NewBackend("b", "b:1", "z", member.ProtocolEngine, 8, 3, 4, member.WithServices("s"), member.WithLeaving(true))
	for _, test := range []struct {
		name  string
		check func(c *qt.C)
	}{
		{"submit", checkPair(codec.Batch, batch.Submit(order))},
		{"results", checkPair(codec.Batch, batch.Store([]batch.ItemOutput{
			batch.NewFinalOutput("j", batch.NewResult(0, batch.ItemDone, []byte("x")), 5), batch.NewPartialOutput("j", 0, []byte("y"), 2, 5)}))},
		{"end", checkPair(codec.Batch, batch.Cancel("j"))},
		{"retire", checkPair(codec.Batch, batch.Retire("a:1"))},
		{"document", checkPair(codec.Registry, registry.Configure(registry.NewDocument(7, []byte("{}"))))},
		{"founders", checkPair(codec.Registry, registry.SetInitialMembers(members))},
		{"departure", checkPair(codec.Registry, registry.Leave(registry.NewLeavingBackend("b", 3)))},
		{"registry", checkPair(codec.RegistryState, registry.Restore(registry.NewDocument(7, []byte("{}")), members, []registry.LeavingBackend{registry.NewLeavingBackend("b", 3)}))},
		{"poll", checkPair(codec.PollRequest, cluster.NewPollRequest(node, 1, 2, 3, true))},
		{"news", checkPair(codec.PollResponse, cluster.NewPollResponse(directory.NewUpdate(1, 2, []directory.Node{node}, []member.Backend{server},
			directory.WithStale([]string{"b"}), directory.WithFull(true)), registry.NewDocument(7, []byte("{}")), members, time.Second))},
		{"enquiry", checkPair(codec.UsageRequest, usage.NewSyncRequest(usage.NewReport(map[string]int{"b": 2}), usage.NewCursor(3, 4)))},
		{"sums", checkPair(codec.LoadUpdate, cluster.NewLoadUpdate(3, usage.NewUpdate(usage.NewCursor(3, 4), true, cluster.Loads{"b": usage.NewLoad(2, 1)})))},
		{"query", checkPair(codec.Query, cluster.NewQuery("j", 4, "i"))},
		{"page", checkPair(codec.Page, batch.NewPage(3, 2, []batch.PageResult{batch.NewPageResult("i", batch.ItemDeadLettered, []byte("x"))}))},
	} {
		t.Run(test.name, func(t *testing.T) { test.check(qt.New(t)) })
	}
}

// checkPair returns a check that a value survives encoding, compared by its
// encoded form.
func checkPair[T any](p cluster.Encoding[T], value T) func(*qt.C) {
	return func(c *qt.C) {
		data, err := p.Encode(value)
		c.Assert(err, qt.IsNil)
		decoded, err := p.Decode(data)
		c.Assert(err, qt.IsNil)
		again, err := p.Encode(decoded)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, data)
		for n := range data {
			_, _ = p.Decode(data[:n]) // must not panic
		}
	}
}

// TestBatchSnapshot checks that a snapshot brings back jobs, results and parts.
func TestBatchSnapshot(t *testing.T) {
	c := qt.New(t)
	items := []batch.Item{batch.NewItem("x", "/p", nil, []byte("1"), 5), batch.NewItem("y", "/p", nil, []byte("2"), 6)}
	s := batch.New()
	s.Apply(batch.Submit(batch.NewJobSpec("j", "r", "h", items)))
	s.Apply(batch.Store([]batch.ItemOutput{batch.NewFinalOutput("j", batch.NewResult(1, batch.ItemDone, []byte("t")), 0), batch.NewPartialOutput("j", 0, []byte("p"), 0, 3)}))
	s.Apply(batch.Retire("a:1"))
	codec := NewClusterCodec()
	data, err := codec.BatchSnapshot.Encode(cluster.NewBatchSnapshot(s.Export(), s.RetiringInstances()))
	c.Assert(err, qt.IsNil)
	export, err := codec.BatchSnapshot.Decode(data)
	c.Assert(err, qt.IsNil)
	restored := batch.Restore(export.Jobs(), export.RetiringInstances())
	j, ok := restored.Job("j")
	c.Assert(ok, qt.IsTrue)
	c.Assert(j.IsWaiting(0), qt.IsTrue)
	c.Assert(j.IsWaiting(1), qt.IsFalse)
	c.Assert(j.Partial(0).LastEvent(), qt.Equals, uint64(3))
	c.Assert(restored.QueuedTokens("r"), qt.Equals, 5)
	c.Assert(restored.IsRetiring("a:1"), qt.IsTrue)
}

// TestSnapshotMemory checks that encoding a snapshot takes little more memory than
// its result, whose size alone an instance must have free.
func TestSnapshotMemory(t *testing.T) {
	for _, test := range []struct {
		name              string
		jobs, items, body int
	}{
		{"many large items", 200, 10, 15000},
		{"many small items", 500, 20, 200},
		{"few huge items", 4, 2, 4 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := batch.New()
			for j := range test.jobs {
				var items []batch.Item
				for i := range test.items {
					items = append(items, batch.NewItem(fmt.Sprintf("%d-%d", j, i), "/p", nil, make([]byte, test.body), 5))
				}
				s.Apply(batch.Submit(batch.NewJobSpec(fmt.Sprint(j), "r", "h", items)))
			}
			export := cluster.NewBatchSnapshot(s.Export(), s.RetiringInstances())
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			data, err := encodeBatchState(export)
			runtime.ReadMemStats(&after)
			qt.Assert(t, err, qt.IsNil)
			allocated := after.TotalAlloc - before.TotalAlloc
			qt.Assert(t, allocated < 2*uint64(len(data)), qt.IsTrue, qt.Commentf("%d bytes for %d", allocated, len(data)))
		})
	}
}
