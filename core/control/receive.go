package control

import (
	"time"

	"papayaquay/core/event"
)

// receive puts one input into the tables.
func (w *World) receive(now time.Time, input Input) {
	switch {
	case input.packet != nil:
		w.receivePacket(now, *input.packet)
	case input.synced != 0:
		w.ledgers.Stable(input.synced)
	case input.call != nil:
		w.addCall(now, *input.call, input.reply, false)
	case input.announce != nil:
		w.members.Announce(now, *input.announce)
	case input.status != nil:
		input.status(w.status(now))
	case input.item != nil:
		w.endItem(now, *input.item)
	case input.usage:
		w.demandDue.ArmBefore(now.Add(demandPause))
		w.batchDue.ArmBefore(now)
	case input.suspect != nil:
		w.learnSuspicion(now, *input.suspect, true)
	case input.drain != nil:
		event.Draining.Log(w.logger)
		w.draining, w.drained, w.stale = true, input.drain, true
	case input.leave != nil:
		w.members.Leave(now)
		w.flushOutbox()
		input.leave()
	case input.failed:
		w.diskErr = input.failure
	case input.work != nil:
		input.work()
	}
}

// receivePacket distributes what another instance sent.
func (w *World) receivePacket(now time.Time, p Packet) {
	for _, m := range p.members {
		w.members.Receive(now, m)
	}
	for _, m := range p.ledgers {
		w.ledgers.Receive(now, m)
	}
	for _, f := range p.calls {
		w.receiveForward(now, p.from, f)
	}
	for _, b := range p.answers {
		w.receiveBackward(now, p.from, b)
	}
	for _, pull := range p.pulls {
		w.pulls.Put(pullKey{from: p.from}, pullRow{pull: pull, until: now.Add(pullHold)})
	}
	for _, push := range p.pushes {
		w.receivePush(now, p.from, push)
	}
	for _, d := range p.demands {
		w.demands.Put(demandKey{backend: d.backend, instance: p.from}, demandRow{online: d.online, at: now})
		w.batchDue.ArmBefore(now)
	}
	if p.work {
		w.pollSoon()
	}
	for _, s := range p.spread {
		w.learnSuspicion(now, s, false)
	}
}

// out returns the packet that the tick builds for an instance.
func (w *World) out(to string) *Packet {
	if p := w.outbox.Get(to); p != nil {
		return p
	}
	return w.outbox.Put(to, Packet{from: w.name, to: to})
}

// flushOutbox hands over the packets of the tick.
func (w *World) flushOutbox() {
	for _, m := range w.members.Output() {
		p := w.out(m.To())
		p.members = append(p.members, m)
	}
	w.outbox.Each(func(to string, p *Packet) {
		if p.address = w.members.AddressOf(to); p.address != "" {
			w.send(*p)
		}
		w.outbox.Remove(to)
	})
}
