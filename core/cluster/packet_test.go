package cluster

import (
	"testing"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/ledger"

	qt "github.com/frankban/quicktest"
)

// TestSplit checks that each large request or reply travels in a packet of its own, and nothing is lost.
func TestSplit(t *testing.T) {
	large, small := make([]byte, LargeMessageBytes), make([]byte, LargeMessageBytes-1)
	for _, test := range []struct {
		name     string
		messages int
		requests [][]byte
		replies  [][]byte
		packets  int
	}{
		{"nothing large", 1, [][]byte{small, small}, [][]byte{small}, 1},
		{"one large reply", 0, nil, [][]byte{large}, 1},
		{"large replies beside messages", 1, nil, [][]byte{large, large}, 3},
		{"large requests and replies", 0, [][]byte{large, small}, [][]byte{small, large}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := Packet{from: "a", to: "b", ledgerMessages: make([]ledger.Message, test.messages)}
			for n, payload := range test.requests {
				p.requests = append(p.requests, call.NewRequest(uint64(n), call.KindPropose, time.Second, payload))
			}
			for n, payload := range test.replies {
				p.replies = append(p.replies, call.NewReply(uint64(n), call.StatusDone, payload))
			}
			parts := p.Split()
			qt.Assert(t, parts, qt.HasLen, test.packets)
			messages, requests, replies, bytes := 0, 0, 0, 0
			for _, part := range parts {
				qt.Check(t, part.From()+part.To(), qt.Equals, "ab")
				messages, requests, replies = messages+len(part.ledgerMessages), requests+len(part.requests), replies+len(part.replies)
				bytes += part.PayloadBytes()
			}
			qt.Check(t, []int{messages, requests, replies, bytes}, qt.DeepEquals, []int{test.messages, len(test.requests), len(test.replies), p.PayloadBytes()})
		})
	}
}
