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
		w.ledgers.MarkDurable(input.synced)
	case input.call != nil:
		w.calls.add(now, *input.call, input.reply, false)
	case input.announce != nil:
		w.members.Announce(now, *input.announce)
	case input.status != nil:
		input.status(w.status(now))
	case input.item != nil:
		w.items.endItem(now, *input.item)
	case input.usage:
		w.demand.due.ArmBefore(now.Add(demandPause))
		w.items.due.ArmBefore(now)
	case input.suspect != nil:
		w.suspicions.learn(now, *input.suspect, true)
	case input.drain != nil:
		event.Draining.Log(w.logger)
		w.tick.draining, w.tick.stale, w.drained = true, true, input.drain
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
	for _, m := range p.memberMessages {
		w.members.Receive(now, m)
	}
	for _, m := range p.ledgerMessages {
		w.ledgers.Receive(now, m)
	}
	for _, f := range p.calls {
		w.calls.receiveForward(now, p.from, f)
	}
	for _, b := range p.responses {
		w.calls.receiveBackward(now, p.from, b)
	}
	for _, pull := range p.configPulls {
		w.config.pulls.Put(pullKey{from: p.from}, pullRow{pull: pull, until: now.Add(pullHold)})
	}
	for _, push := range p.configUpdates {
		w.config.receivePush(now, p.from, push)
	}
	for _, d := range p.loadReports {
		w.demand.take(now, p.from, d)
		w.items.due.ArmBefore(now)
	}
	if p.newItems {
		w.items.pollSoon()
	}
	for _, s := range p.crashCounts {
		w.suspicions.learn(now, s, false)
	}
}

// flushOutbox hands over the packets of the tick.
func (w *World) flushOutbox() {
	for _, m := range w.members.Output() {
		p := w.outbox.to(m.To())
		p.memberMessages = append(p.memberMessages, m)
	}
	w.outbox.flush(w.members.AddressOf, w.send)
}
