package cluster

import (
	"papayaquay/core/call"
	"papayaquay/core/ledger"
	"papayaquay/core/table"
)

// outbox collects the messages of one tick to each instance.
type outbox struct {
	self    string
	packets *table.Table[string, Packet]
}

// newOutbox returns an empty outbox of the instance with the given address.
func newOutbox(self string) *outbox {
	return &outbox{self: self, packets: table.New[string, Packet]()}
}

// packetTo returns the packet to an instance.
func (o *outbox) packetTo(address string) *Packet {
	if p := o.packets.Get(address); p != nil {
		return p
	}
	return o.packets.Put(address, Packet{from: o.self, to: address})
}

// addMessage adds a message between replicas.
func (o *outbox) addMessage(m ledger.Message) {
	p := o.packetTo(m.Target())
	p.ledgerMessages = append(p.ledgerMessages, m)
}

// addRequest adds a request.
func (o *outbox) addRequest(address string, r call.Request) {
	p := o.packetTo(address)
	p.requests = append(p.requests, r)
}

// addReply adds a reply.
func (o *outbox) addReply(address string, r call.Reply) {
	p := o.packetTo(address)
	p.replies = append(p.replies, r)
}

// flush sends all packets and empties the outbox.
func (o *outbox) flush(send func(Packet)) {
	if o.packets.Len() == 0 {
		return
	}
	o.packets.Each(func(_ string, p *Packet) {
		for _, part := range p.Split() {
			send(part)
		}
	})
	o.packets = table.New[string, Packet]()
}
