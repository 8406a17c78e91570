package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/registry"
)

// departTimeout bounds the wait for a departure to be durable; the server
// itself waits a second.
const departTimeout = 900 * time.Millisecond

// receive takes one input into the tables.
func (w *World) receive(now time.Time, input Input) {
	switch {
	case input.packet != nil:
		w.receivePacket(now, *input.packet)
	case input.synced != 0:
		w.ledgers.MarkDurable(input.synced)
	case input.call != nil:
		w.calls.Start(now, *input.call, input.reply)
	case input.announce != nil:
		w.announce(now, *input.announce)
	case input.depart != nil:
		w.depart(now, *input.depart, input.reply)
	case input.outcome != nil && w.jobs != nil:
		w.jobs.runner.Receive(now, *input.outcome)
	case input.report != nil:
		w.share.set(*input.report)
	case input.seeds != nil:
		w.seeds, w.upstream, w.contacts = input.seeds, nil, 0
	case input.leave != nil:
		w.leaving = input.leave
	case input.work != nil:
		input.work()
	}
}

// receivePacket takes what another instance sent.
func (w *World) receivePacket(now time.Time, p Packet) {
	for _, m := range p.ledgerMessages {
		w.ledgers.Receive(now, m)
	}
	for _, r := range p.requests {
		w.serve(now, p.from, r)
	}
	for _, r := range p.replies {
		w.calls.Receive(now, p.from, r)
	}
}

// announce takes a backend server's announcement. One that arrives late must
// not bring back a server whose leaving is committed.
func (w *World) announce(now time.Time, b member.Backend) {
	if w.registry != nil && w.registry.departed(registry.NewLeavingBackend(b.ID(), b.Incarnation())) {
		b = b.AsLeaving()
	}
	w.directory.Announce(now, b)
}

// depart makes it durable that a server leaves. The directory says so at once.
// A server that does not name its start means the one known here, or else any
// start until now.
func (w *World) depart(now time.Time, b member.Backend, reply func(call.Reply)) {
	d := registry.NewLeavingBackend(b.ID(), b.Incarnation())
	if b.Incarnation() == 0 {
		d = registry.NewLeavingBackend(b.ID(), w.directory.Incarnation(b.ID(), uint64(w.wall().UnixMilli())))
	} else {
		w.directory.Announce(now, b.AsLeaving())
	}
	w.directory.MarkLeaving(now, d.Backend(), d.Incarnation())
	if w.registry != nil && w.registry.departed(d) {
		reply(call.NewReply(0, call.StatusDone, nil))
		return
	}
	payload, err := w.codec.Registry.Encode(registry.Leave(d))
	if err != nil {
		reply(call.NewReply(0, call.StatusUnsent, nil))
		return
	}
	w.calls.Start(now, call.New(call.KindPropose, call.TargetControl, now.Add(departTimeout), payload), reply)
}

// sendCalls sends the requests of calls; those to this instance are served
// directly.
func (w *World) sendCalls(now time.Time) {
	for _, o := range w.calls.Output() {
		if o.Address() == w.self.Address() {
			w.serve(now, o.Address(), o.Request())
			w.again = true
			continue
		}
		w.outbox.request(o.Address(), o.Request())
	}
}

// answer replies to a call of another instance or of this one.
func (w *World) answer(asker askerKey, status call.Status, payload []byte) {
	w.respond(asker, call.NewReply(asker.number, status, payload))
}

// respond sends a reply.
func (w *World) respond(asker askerKey, reply call.Reply) {
	if asker.from == w.self.Address() {
		w.again = true
		w.calls.Receive(w.now, asker.from, reply)
		return
	}
	w.outbox.reply(asker.from, reply)
}

// redirect tells a caller who leads the ledger, if that is known.
func (w *World) redirect(asker askerKey) {
	w.respond(asker, call.NewRedirect(asker.number, w.ledgers.LeaderOf(w.hosted())))
}

// describe updates what this instance says of itself.
func (w *World) describe(now time.Time) {
	if w.hosted() == "" {
		return
	}
	for _, s := range w.ledgers.Statuses() {
		term := uint64(0)
		if s.Role() == ledger.RoleLeader {
			term = s.Term()
		}
		fresh := len(s.Members()) == 0
		if w.self.Term() == term && w.self.Fresh() == fresh && w.self.Replica() == string(s.Replica()) {
			continue
		}
		w.self = directory.NewNode(w.self.Address(), w.self.Name(), w.self.DataCentre(), w.self.Role(),
			w.self.Incarnation(), directory.WithRevision(w.self.Revision()+1),
			directory.WithReplica(string(s.Replica()), fresh), directory.WithTerm(term))
		w.directory.UpdateNode(now, w.self)
		w.tellUpstreams(now)
	}
	w.directory.UpdateNode(now, w.self)
}
