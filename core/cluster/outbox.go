package cluster

import (
	"papayaquay/core/call"
	"papayaquay/core/ledger"
	"papayaquay/core/table"
)

// outbox collects what one tick sends to each instance.
type outbox struct {
	self    string
	packets *table.Table[string, Packet]
}

// newOutbox returns an empty outbox of the instance with the given address.
func newOutbox(self string) *outbox {
	return &outbox{self: self, packets: table.New[string, Packet]()}
}

// to returns the packet for an instance.
func (o *outbox) to(address string) *Packet {
	if p := o.packets.Get(address); p != nil {
		return p
	}
	return o.packets.Put(address, Packet{from: o.self, to: address})
}

// message adds a message between replicas.
func (o *outbox) message(m ledger.Message) {
	p := o.to(m.Target())
	p.ledgerMessages = append(p.ledgerMessages, m)
}

// request adds a call.
func (o *outbox) request(address string, r call.Request) {
	p := o.to(address)
	p.requests = append(p.requests, r)
}

// reply adds an answer.
func (o *outbox) reply(address string, r call.Reply) {
	p := o.to(address)
	p.replies = append(p.replies, r)
}

// flush sends all packets.
func (o *outbox) flush(send func(Packet)) {
	if o.packets.Len() == 0 {
		return
	}
	o.packets.Each(func(_ string, p *Packet) { send(*p) })
	o.packets = table.New[string, Packet]()
}
