// Package cluster is the control world of an instance in a deployment with
// control, store and entry instances. It puts together the sub-worlds that
// decide: the directory, the hosted ledger with its state machine, calls to
// other instances, and the runner of batch items.
package cluster

import (
	"papayaquay/core/call"
	"papayaquay/core/ledger"
)

// Packet is everything that one tick sends to one instance.
type Packet struct {
	from           string
	to             string
	ledgerMessages []ledger.Message
	requests       []call.Request
	replies        []call.Reply
}

// NewPacket returns a packet between two peer addresses.
func NewPacket(from, to string, ledgers []ledger.Message, requests []call.Request, replies []call.Reply) Packet {
	return Packet{from: from, to: to, ledgerMessages: ledgers, requests: requests, replies: replies}
}

// From returns the peer address of the sender.
func (p Packet) From() string { return p.from }

// To returns the peer address of the receiver.
func (p Packet) To() string { return p.to }

// LedgerMessages returns the messages between replicas.
func (p Packet) LedgerMessages() []ledger.Message { return p.ledgerMessages }

// Requests returns the calls.
func (p Packet) Requests() []call.Request { return p.requests }

// Replies returns the answers to calls.
func (p Packet) Replies() []call.Reply { return p.replies }
