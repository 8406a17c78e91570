package disk

import (
	"runtime"
	"testing"

	"papayaquay/core/ledger"
	"papayaquay/io/record"

	qt "github.com/frankban/quicktest"
)

// TestFrameRoundTrip checks that appendFrame and readFrame are inverse for data
// whose CBOR head has different lengths, and that appendFrame allocates little more
// memory than the frame for large data.
func TestFrameRoundTrip(t *testing.T) {
	members := record.ToMembers([]ledger.Member{ledger.NewMember("a#1", "a", true)})
	for _, test := range []struct {
		name string
		data []byte
	}{
		{"no data", nil},
		{"one byte", []byte{7}},
		{"short", make([]byte, 200)},
		{"entry", make([]byte, 150_000)},
		{"snapshot", make([]byte, 40<<20)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := body{Kind: uint8(ledger.RecordSnapshot), Ledger: "jobs", Replica: "a#1", Term: 3, Index: 2500, Data: test.data, Members: members}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			frame, err := appendFrame([]byte("before"), b)
			runtime.ReadMemStats(&after)
			c.Assert(err, qt.IsNil)
			const slackBytes = 64 << 10
			c.Assert(after.TotalAlloc-before.TotalAlloc < uint64(2*len(test.data)+slackBytes), qt.IsTrue,
				qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
			read, size, err := readFrame(frame[len("before"):])
			c.Assert(err, qt.IsNil)
			c.Assert(size, qt.Equals, len(frame)-len("before"))
			c.Assert(len(read.Data), qt.Equals, len(test.data))
			read.Data, b.Data = nil, nil
			c.Assert(read, qt.DeepEquals, b)
		})
	}
}
