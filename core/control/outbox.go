package control

import "papayaquay/core/table"

// outbox collects the messages of a tick, in one packet per instance.
type outbox struct {
	self string
	rows *table.Table[string, Packet]
}

// newOutbox returns an empty outbox. self is the name of the sending instance.
func newOutbox(self string) *outbox {
	return &outbox{self: self, rows: table.New[string, Packet]()}
}

// packetTo returns the packet of this tick for an instance and creates it if
// needed.
func (o *outbox) packetTo(name string) *Packet {
	if p := o.rows.Get(name); p != nil {
		return p
	}
	return o.rows.Put(name, Packet{from: o.self, to: name})
}

// flush sends all packets and empties the outbox. Packets to instances without a
// known address are dropped.
func (o *outbox) flush(address func(name string) string, send func(Packet)) {
	o.rows.Each(func(name string, p *Packet) {
		if p.address = address(name); p.address != "" {
			send(*p)
		}
		o.rows.Remove(name)
	})
}
