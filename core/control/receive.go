package control

import (
	"time"

	"papayaquay/core/event"
)

// receive applies one input to the tables.
func (w *World) receive(now time.Time, input Input) {
	switch {
	case input.packet != nil:
		w.receivePacket(now, *input.packet)
	case input.synced != 0:
		w.ledgers.MarkDurable(input.synced)
	case input.call != nil:
		w.calls.add(now, *input.call, input.reply, false)
	case input.backend != nil:
		w.members.Announce(now, *input.backend)
	case input.status != nil:
		input.status(w.status(now))
	case input.item != nil:
		w.items.endItem(now, *input.item)
	case input.usageChanged:
		w.loads.due.ArmBefore(now.Add(loadReportDelay))
		w.items.due.ArmBefore(now)
	case input.crashCount != nil:
		w.crashes.merge(now, *input.crashCount, true)
	case input.drain != nil:
		event.Draining.Log(w.logger)
		w.tick.draining, w.tick.snapshotStale, w.reportDrain = true, true, input.drain
	case input.leave != nil:
		w.members.Leave(now)
		w.flushOutbox()
		input.leave()
	case input.diskStatus:
		w.diskErr = input.diskErr
	case input.work != nil:
		input.work()
	}
}

// receivePacket passes the messages of another instance to the sub-worlds.
func (w *World) receivePacket(now time.Time, p Packet) {
	for _, m := range p.memberMessages {
		w.members.Receive(now, m)
	}
	for _, m := range p.ledgerMessages {
		w.ledgers.Receive(now, m)
	}
	for _, f := range p.calls {
		w.calls.receiveCall(now, p.from, f)
	}
	for _, r := range p.responses {
		w.calls.receiveResponse(now, p.from, r)
	}
	for _, pull := range p.configPulls {
		w.config.heldPulls.Put(heldPullKey{from: p.from}, heldPullRow{pull: pull, until: now.Add(maxPullWait)})
	}
	for _, update := range p.configUpdates {
		w.config.receiveUpdate(now, p.from, update)
	}
	for _, r := range p.loads {
		w.loads.receiveReport(now, p.from, r)
		w.items.due.ArmBefore(now)
	}
	if p.newItems {
		w.items.pollNextTick()
	}
	for _, c := range p.crashes {
		w.crashes.merge(now, c, false)
	}
}

// flushOutbox sends the packets of the tick, with the membership messages added.
func (w *World) flushOutbox() {
	for _, m := range w.members.Output() {
		p := w.outbox.packetTo(m.To())
		p.memberMessages = append(p.memberMessages, m)
	}
	w.outbox.flush(w.members.AddressOf, w.send)
}
