package control

import "papayaquay/core/table"

// outbox collects what a tick sends, a packet for each instance.
type outbox struct {
	self string
	rows *table.Table[string, Packet]
}

// newOutbox returns an empty outbox of an instance.
func newOutbox(self string) *outbox {
	return &outbox{self: self, rows: table.New[string, Packet]()}
}

// packetTo returns the packet that the tick builds for an instance.
func (o *outbox) packetTo(name string) *Packet {
	if p := o.rows.Get(name); p != nil {
		return p
	}
	return o.rows.Put(name, Packet{from: o.self, to: name})
}

// flush sends the packets to the instances whose address is known.
func (o *outbox) flush(address func(name string) string, send func(Packet)) {
	o.rows.Each(func(name string, p *Packet) {
		if p.address = address(name); p.address != "" {
			send(*p)
		}
		o.rows.Remove(name)
	})
}
