package peer

import (
	"bytes"
	"io"
	"runtime"
	"testing"

	"papayaquay/core/call"
	"papayaquay/core/cluster"

	qt "github.com/frankban/quicktest"
)

// TestClusterPacketRoundTrip checks that a decoded packet has the encoded replies, whether
// the payload of the last one is a part of its own or not.
func TestClusterPacketRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name  string
		sizes []int // of the payloads of the replies
		parts int
	}{
		{"no reply", nil, 1},
		{"empty payload", []int{0}, 1},
		{"small payload", []int{100}, 1},
		{"large payload", []int{minSharedPayloadBytes}, 2},
		{"large payload last", []int{minSharedPayloadBytes, 5, 300 << 10}, 2},
		{"large payload first", []int{minSharedPayloadBytes, 5}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var replies []call.Reply
			for i, size := range test.sizes {
				replies = append(replies, call.NewReply(uint64(i+1), call.StatusDone, bytes.Repeat([]byte{byte(i + 7)}, size)))
			}
			requests := []call.Request{call.NewRequest(9, call.KindDocument, 0, []byte("x"))}
			parts, err := EncodeCluster(cluster.NewPacket("a:1", "b:1", nil, requests, replies))
			c.Assert(err, qt.IsNil)
			c.Assert(parts, qt.HasLen, test.parts)
			p, err := DecodeCluster(bytes.Join(parts, nil))
			c.Assert(err, qt.IsNil)
			c.Assert(p.Requests(), qt.HasLen, 1)
			c.Assert(p.Replies(), qt.HasLen, len(replies))
			for i, reply := range p.Replies() {
				c.Assert(reply.Number(), qt.Equals, replies[i].Number())
				c.Assert(bytes.Equal(reply.Payload(), replies[i].Payload()), qt.IsTrue)
			}
		})
	}
}

// TestSendingLargeReplyMemory checks that packets with the same large payload do not copy it.
// A control instance that sent a document to hundreds of instances exceeded its memory.
func TestSendingLargeReplyMemory(t *testing.T) {
	const (
		payloadBytes = 300 << 10
		instances    = 236
		maxBytes     = 4 << 20
	)
	c := qt.New(t)
	payload := make([]byte, payloadBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range instances {
		parts, err := EncodeCluster(cluster.NewPacket("a:1", "b:1", nil, nil, []call.Reply{call.NewReply(1, call.StatusDone, payload)}))
		c.Assert(err, qt.IsNil)
		c.Assert(writePacket(io.Discard, parts), qt.IsNil)
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	c.Assert(allocated < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
}
