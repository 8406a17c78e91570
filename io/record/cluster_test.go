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
	"papayaquay/core/quarantine"
	"papayaquay/core/registry"
	"papayaquay/core/stream"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// TestClusterCodec checks that stored and sent values are the same after encoding
// and decoding.
func TestClusterCodec(t *testing.T) {
	codec := NewClusterCodec()
	now := time.UnixMilli(1_700_000_000_000).UTC()
	item := batch.NewItem("i", "/p?x", []batch.Header{batch.NewHeader("A", "b")}, []byte{0, 255}, 7)
	spec := batch.NewJobSpec("j", "r", "h", []batch.Item{item}, batch.WithTimes(now, now.Add(time.Second), now.Add(time.Minute)), batch.WithLimits(9, 3))
	members := []ledger.Member{ledger.NewMember("a#1", "a", true)}
	node := directory.NewInstance("a:1", "n", "z", directory.RoleStore, 5, directory.WithRevision(2), directory.WithReplica("a#1", true), directory.WithTerm(4))
	backend := member.NewBackend("b", "b:1", "z", member.ProtocolEngine, 8, 3, 4, member.WithServices("s"), member.WithLeaving(true))
	crashed := quarantine.NewCrash(quarantine.NewCrashID("b", 7), time.Second, []quarantine.Prompt{{"s/1", "s/2"}}, []quarantine.Part{"s/1"}).AsRefuted()
	for _, test := range []struct {
		name  string
		check func(c *qt.C)
	}{
		{"submit", checkRoundTrip(codec.Batch, batch.Submit(spec))},
		{"outputs", checkRoundTrip(codec.Batch, batch.Store([]batch.ItemOutput{
			batch.NewFinalItemOutput("j", batch.NewResult(0, batch.ItemDone, []byte("x")), 5), batch.NewPartialItemOutput("j", 0, []byte("y"), 2, 5)}))},
		{"outputs with versions", checkRoundTrip(codec.Batch, batch.Store([]batch.ItemOutput{
			batch.NewFinalItemOutput("j", batch.NewResult(0, batch.ItemDone, []byte("x")), 0).AsReplacement(),
			batch.NewPartialItemOutput("j", 0, []byte("y"), 2, 5).WithVersion("v1")}))},
		{"cancel", checkRoundTrip(codec.Batch, batch.Cancel("j"))},
		{"retire", checkRoundTrip(codec.Batch, batch.Retire("a:1"))},
		{"document", checkRoundTrip(codec.Registry, registry.Configure(registry.NewDocument(7, []byte("{}"))))},
		{"initial members", checkRoundTrip(codec.Registry, registry.SetInitialMembers(members))},
		{"leaving backend", checkRoundTrip(codec.Registry, registry.Leave(registry.NewLeavingBackend("b", 3)))},
		{"registry state", checkRoundTrip(codec.RegistryState, registry.Restore(registry.NewDocument(7, []byte("{}")), members, []registry.LeavingBackend{registry.NewLeavingBackend("b", 3)}))},
		{"poll request", checkRoundTrip(codec.PollRequest, cluster.NewPollRequest(node, 1, 2, 3, true))},
		{"poll request of an instance that fetches documents in parts", checkRoundTrip(codec.PollRequest, cluster.NewPollRequest(node, 1, 2, 3, true).WithFetchedDocuments())},
		{"document in transfer", checkRoundTrip(codec.Document, registry.NewDocument(7, []byte("{}")))},
		{"document request", checkRoundTrip(codec.DocumentRequest, cluster.NewDocumentRequest(7, 65536))},
		{"document part", checkRoundTrip(codec.DocumentPart, cluster.NewDocumentPart(7, 8, 9, 3, []byte("xyz")))},
		{"poll response", checkRoundTrip(codec.PollResponse, cluster.NewPollResponse(directory.NewUpdate(1, 2, []directory.Instance{node}, []member.Backend{backend},
			directory.WithStale([]string{"b"}), directory.WithFull(true)), registry.NewDocument(7, []byte("{}")), members, time.Second))},
		{"poll response with versions", checkRoundTrip(codec.PollResponse, cluster.NewPollResponse(directory.NewUpdate(1, 2, nil, []member.Backend{backend.WithVersion("v1")}),
			registry.NewDocument(7, nil), nil, time.Second).WithVersions())},
		{"sync request", checkRoundTrip(codec.SyncRequest, usage.NewSyncRequest(usage.NewReport(map[string]int{"b": 2}), usage.NewCursor(3, 4)))},
		{"load update", checkRoundTrip(codec.LoadUpdate, cluster.NewLoadUpdate(3, usage.NewUpdate(usage.NewCursor(3, 4), true, cluster.Loads{"b": usage.NewLoad(2, 1)})))},
		{"sync request with a limit", checkRoundTrip(codec.SyncRequest, usage.NewSyncRequest(usage.NewReport(map[string]int{"b": 2}).WithLimited(
			map[string]usage.LimitedUse{"c": usage.NewLimitedUse(usage.NewLimit(2.6, 7), time.Second, usage.NewSent(4, 6))}), usage.NewCursor(3, 4)))},
		{"load update with a limit", checkRoundTrip(codec.LoadUpdate, cluster.NewLoadUpdate(3, usage.NewUpdate(usage.NewCursor(3, 4), true,
			cluster.Loads{"b": usage.NewLoad(2, 1).WithLimit(usage.NewLimit(2.6, 7), usage.NewSent(5, 9))})))},
		{"evidence request", checkRoundTrip(codec.EvidenceRequest, quarantine.NewSyncRequest(quarantine.NewCursor(3, 4), []quarantine.Crash{crashed}))},
		{"evidence update", checkRoundTrip(codec.EvidenceUpdate, quarantine.NewUpdate(quarantine.NewCursor(3, 4), []quarantine.Crash{crashed}))},
		{"stream records", checkRoundTrip(codec.StreamRecords, []stream.Record{stream.NewRecord(7, 2, "v1"), stream.NewRecord(8, 1, "")})},
		{"stream query", checkRoundTrip(codec.StreamQuery, stream.NewQuery(7, "s"))},
		{"stream answer", checkRoundTrip(codec.StreamAnswer, stream.NewAnswer(stream.Recorded, "v1"))},
		{"query", checkRoundTrip(codec.Query, cluster.NewQuery("j", 4, "i"))},
		{"page", checkRoundTrip(codec.Page, batch.NewPage(3, 2, []batch.PageResult{batch.NewPageResult("i", batch.ItemDeadLettered, []byte("x"))}))},
	} {
		t.Run(test.name, func(t *testing.T) { test.check(qt.New(t)) })
	}
}

// checkRoundTrip returns a check that a value is the same after encoding and
// decoding. It compares the encoded forms, and also decodes every truncated form.
func checkRoundTrip[T any](encoding cluster.Encoding[T], value T) func(*qt.C) {
	return func(c *qt.C) {
		data, err := encoding.Encode(value)
		c.Assert(err, qt.IsNil)
		decoded, err := encoding.Decode(data)
		c.Assert(err, qt.IsNil)
		reencoded, err := encoding.Encode(decoded)
		c.Assert(err, qt.IsNil)
		c.Assert(reencoded, qt.DeepEquals, data)
		for n := range data {
			_, _ = encoding.Decode(data[:n]) // must not panic
		}
	}
}

// TestBatchSnapshot checks that a snapshot restores jobs, results, partial outputs
// and retiring instances.
func TestBatchSnapshot(t *testing.T) {
	c := qt.New(t)
	items := []batch.Item{batch.NewItem("x", "/p", nil, []byte("1"), 5), batch.NewItem("y", "/p", nil, []byte("2"), 6)}
	s := batch.New()
	s.Apply(batch.Submit(batch.NewJobSpec("j", "r", "h", items)))
	s.Apply(batch.Store([]batch.ItemOutput{batch.NewFinalItemOutput("j", batch.NewResult(1, batch.ItemDone, []byte("t")), 0), batch.NewPartialItemOutput("j", 0, []byte("p"), 0, 3).WithVersion("v1")}))
	s.Apply(batch.Retire("a:1"))
	codec := NewClusterCodec()
	data, err := codec.BatchSnapshot.Encode(cluster.NewBatchSnapshot(s.Export(), s.RetiringInstances()))
	c.Assert(err, qt.IsNil)
	snapshot, err := codec.BatchSnapshot.Decode(data)
	c.Assert(err, qt.IsNil)
	restored := batch.Restore(snapshot.Jobs(), snapshot.RetiringInstances())
	j, ok := restored.Job("j")
	c.Assert(ok, qt.IsTrue)
	c.Assert(j.IsWaiting(0), qt.IsTrue)
	c.Assert(j.IsWaiting(1), qt.IsFalse)
	c.Assert(j.PartialOutput(0).LastEvent(), qt.Equals, uint64(3))
	c.Assert(restored.WaitingTokens("r"), qt.Equals, 5)
	c.Assert(restored.IsRetiring("a:1"), qt.IsTrue)
}

// TestBatchSnapshotMemory checks that encoding a snapshot allocates less than twice
// the size of its result. An instance has free memory for one copy of the state only.
func TestBatchSnapshotMemory(t *testing.T) {
	for _, test := range []struct {
		name              string
		jobs, items, body int
	}{
		{"many large items", 200, 10, 15000},
		{"many small items", 500, 20, 200},
		{"few very large items", 4, 2, 4 << 20},
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
			snapshot := cluster.NewBatchSnapshot(s.Export(), s.RetiringInstances())
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			data, err := encodeBatchSnapshot(snapshot)
			runtime.ReadMemStats(&after)
			qt.Assert(t, err, qt.IsNil)
			allocated := after.TotalAlloc - before.TotalAlloc
			qt.Assert(t, allocated < 2*uint64(len(data)), qt.IsTrue, qt.Commentf("%d bytes allocated for a result of %d bytes", allocated, len(data)))
		})
	}
}
