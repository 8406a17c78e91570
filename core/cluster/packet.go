// Package cluster is the control world of an instance in a deployment of
// control, store and entry instances. It combines the parts that decide: the
// directory, the hosted ledger with its state machine, calls to other instances,
// and the runner of batch items.
package cluster

import (
	"papayaquay/core/call"
	"papayaquay/core/ledger"
)

// Packet holds all messages of one tick to one instance.
type Packet struct {
	from           string
	to             string
	ledgerMessages []ledger.Message
	requests       []call.Request
	replies        []call.Reply
}

// NewPacket returns a packet between two peer addresses.
func NewPacket(from, to string, ledgerMessages []ledger.Message, requests []call.Request, replies []call.Reply) Packet {
	return Packet{from: from, to: to, ledgerMessages: ledgerMessages, requests: requests, replies: replies}
}

// LargeMessageBytes is the size from which a request or a reply travels in a packet of its own.
const LargeMessageBytes = 64 << 10

// Split returns the packet as several, each with one large request or reply at most. So what an instance
// holds at a time to send or to read them does not grow with their number.
func (p Packet) Split() []Packet {
	small := Packet{from: p.from, to: p.to, ledgerMessages: p.ledgerMessages}
	var large []Packet
	for _, r := range p.requests {
		if len(r.Payload()) >= LargeMessageBytes {
			large = append(large, Packet{from: p.from, to: p.to, requests: []call.Request{r}})
			continue
		}
		small.requests = append(small.requests, r)
	}
	for _, r := range p.replies {
		if len(r.Payload()) >= LargeMessageBytes {
			large = append(large, Packet{from: p.from, to: p.to, replies: []call.Reply{r}})
			continue
		}
		small.replies = append(small.replies, r)
	}
	if len(small.ledgerMessages)+len(small.requests)+len(small.replies) == 0 {
		return large
	}
	return append([]Packet{small}, large...)
}

// PayloadBytes returns the size of the payloads of requests and replies.
func (p Packet) PayloadBytes() int {
	size := 0
	for _, r := range p.requests {
		size += len(r.Payload())
	}
	for _, r := range p.replies {
		size += len(r.Payload())
	}
	return size
}

// From returns the peer address of the sender.
func (p Packet) From() string { return p.from }

// To returns the peer address of the receiver.
func (p Packet) To() string { return p.to }

// LedgerMessages returns the messages between replicas.
func (p Packet) LedgerMessages() []ledger.Message { return p.ledgerMessages }

// Requests returns the requests to the receiver.
func (p Packet) Requests() []call.Request { return p.requests }

// Replies returns the replies to the receiver's requests.
func (p Packet) Replies() []call.Reply { return p.replies }
