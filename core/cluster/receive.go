package cluster

import (
	"slices"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/registry"
)

// leaveTimeout bounds the wait until a leave is durable. It is shorter than the
// second that the leaving server itself waits.
const leaveTimeout = 900 * time.Millisecond

// receive handles one input.
func (w *World) receive(now time.Time, input Input) {
	switch {
	case input.packet != nil:
		w.receivePacket(now, *input.packet)
		if input.taken != nil {
			input.taken()
		}
	case input.synced != 0:
		w.ledgers.MarkDurable(input.synced)
	case input.call != nil:
		w.calls.Start(now, *input.call, input.reply)
	case input.announce != nil:
		w.announce(now, *input.announce)
	case input.leave != nil:
		w.leave(now, *input.leave, input.reply)
	case input.attempt != nil && w.jobs != nil:
		w.jobs.runner.Receive(now, *input.attempt)
	case input.itemLimit != nil:
		w.setItemLimit(now, input.itemLimit.backend, input.itemLimit.limit)
	case input.saidLeaving != nil:
		w.directory.MarkLeaving(now, input.saidLeaving.Backend(), input.saidLeaving.Incarnation())
	case input.streamRecord != nil:
		w.streams.pending = append(w.streams.pending, *input.streamRecord)
	case input.streamQuery != nil:
		w.findStream(now, *input.streamQuery, input.streamAnswer)
	case input.usage != nil:
		w.loadReporter.setReport(now, *input.usage)
	case input.crash != nil && w.quarantine != nil:
		w.quarantine.Report(now, *input.crash)
	case len(input.excluded) > 0 && w.quarantine != nil:
		for _, part := range input.excluded {
			w.quarantine.Exclude(now, part)
		}
	case len(input.cleared) > 0 && w.quarantine != nil:
		for _, part := range input.cleared {
			w.quarantine.Clear(now, part)
		}
	case len(input.sound) > 0 && w.quarantine != nil:
		for _, part := range input.sound {
			w.quarantine.MarkSound(now, part)
		}
	case input.answered != nil && w.quarantine != nil:
		w.quarantine.Refute(now, *input.answered)
	case input.seeds != nil:
		w.seeds, w.controlList, w.contactPointsVersion = input.seeds, nil, 0
	case input.reportTransfer != nil:
		w.reportTransfer = input.reportTransfer
	}
}

// receivePacket handles the messages of another instance.
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

// announce records an announcement of a backend server. A late announcement must
// not bring back a server whose leave is committed.
func (w *World) announce(now time.Time, b member.Backend) {
	if w.rejectInvalid(b) || w.rejectForeign(b) || w.rejectPartial(now, b) {
		return
	}
	if w.registry != nil && w.registry.hasLeft(registry.NewLeavingBackend(b.ID(), b.Incarnation())) {
		b = b.AsLeaving()
	}
	known := w.directory.Incarnation(b.ID(), 0)
	w.directory.Announce(now, b)
	if b.Incarnation() > known {
		event.BackendAdded.Log(w.logger, "backend", b.ID(), "address", b.Address(), "dc", b.DataCentre(), "services", b.Services(),
			"incarnation", b.Incarnation(), "before", known)
	}
}

// rejectInvalid reports whether other instances could not read an announcement, and logs it.
func (w *World) rejectInvalid(b member.Backend) bool {
	err := b.Check()
	if err != nil {
		event.AnnouncementRejected.Log(w.logger, "backend", b.ID(), "error", err)
	}
	return err != nil
}

// rejectForeign reports whether an announcement comes from another writer than the server, and
// logs it: it names no service of the configuration, and the server is not known to run one that
// it names. It must neither take the place of the server's own announcements nor hide another
// server at its address.
func (w *World) rejectForeign(b member.Backend) bool {
	switch {
	case len(b.Services()) == 0:
		return false
	case w.config == nil:
		return w.rejectContradiction(b)
	}
	known, _ := w.directory.Backend(b.ID())
	for _, service := range b.Services() {
		if _, ok := w.config.Service(service); ok || known.Runs(service) {
			return false
		}
	}
	event.AnnouncementRejected.Log(w.logger, "backend", b.ID(), "services", b.Services(), "error", "unknown service")
	return true
}

// rejectContradiction reports whether an announcement names another service than the server that is
// known under its id or at its address, and logs it. Without a configuration it is not known which
// of the two comes from another writer, so the first one holds. A server that is rejected so counts
// with its next announcement.
func (w *World) rejectContradiction(b member.Backend) bool {
	contradicts := false
	w.directory.EachBackend(func(known member.Backend) {
		isSamePlace := known.ID() == b.ID() || (known.Address() == b.Address() && !known.Leaving() && !known.Gone())
		contradicts = contradicts || (isSamePlace && !slices.Equal(known.Services(), b.Services()))
	})
	if contradicts {
		event.AnnouncementRejected.Log(w.logger, "backend", b.ID(), "services", b.Services(), "error", "another service is known there, and there is no configuration yet")
	}
	return contradicts
}

// leave makes it durable that a backend server leaves; the directory records it
// at once. If the server does not name its incarnation, the one in the directory
// is used. If the directory does not know the server, the present time in Unix
// milliseconds is used; it is higher than the incarnation of a server that takes
// its start time as incarnation.
func (w *World) leave(now time.Time, b member.Backend, reply func(call.Reply)) {
	if w.rejectInvalid(b) || w.rejectForeign(b) || w.rejectPartial(now, b) {
		reply(call.NewReply(0, call.StatusRejected, nil))
		return
	}
	leaving := registry.NewLeavingBackend(b.ID(), b.Incarnation())
	if b.Incarnation() == 0 {
		leaving = registry.NewLeavingBackend(b.ID(), w.directory.Incarnation(b.ID(), uint64(w.wallClock().UnixMilli())))
	} else {
		w.directory.Announce(now, b.AsLeaving())
	}
	w.directory.MarkLeaving(now, leaving.Backend(), leaving.Incarnation())
	if w.registry != nil && w.registry.hasLeft(leaving) {
		reply(call.NewReply(0, call.StatusDone, nil))
		return
	}
	payload, err := w.codec.Registry.Encode(registry.Leave(leaving))
	if err != nil {
		reply(call.NewReply(0, call.StatusUnsent, nil))
		return
	}
	w.calls.Start(now, call.New(call.KindPropose, call.TargetControl, now.Add(leaveTimeout), payload), reply)
}

// sendCalls sends the requests of calls. Requests to this instance are served
// directly.
func (w *World) sendCalls(now time.Time) {
	for _, o := range w.calls.Output() {
		if o.Address() == w.self.Address() {
			w.serve(now, o.Address(), o.Request())
			w.runAgain = true
			continue
		}
		w.outbox.addRequest(o.Address(), o.Request())
	}
}

// reply answers a call of another instance or of this one.
func (w *World) reply(requester requesterKey, status call.Status, payload []byte) {
	w.sendReply(requester, call.NewReply(requester.number, status, payload))
}

// sendReply sends a reply, or delivers it if this instance made the call.
func (w *World) sendReply(requester requesterKey, reply call.Reply) {
	if requester.from == w.self.Address() {
		w.runAgain = true
		w.calls.Receive(w.now, requester.from, reply)
		return
	}
	w.outbox.addReply(requester.from, reply)
}

// redirect answers a call with the leader of the hosted ledger, if it is known.
func (w *World) redirect(requester requesterKey) {
	w.sendReply(requester, call.NewRedirect(requester.number, w.ledgers.LeaderOf(w.hosted())))
}

// updateSelf updates this instance's own description in the directory and notifies
// its upstreams of a change.
func (w *World) updateSelf(now time.Time) {
	if w.hosted() == "" {
		return
	}
	for _, s := range w.ledgers.Statuses() {
		term := uint64(0)
		if s.Role() == ledger.RoleLeader {
			term = s.Term()
		}
		uninitialized := len(s.Members()) == 0
		if w.self.Term() == term && w.self.Uninitialized() == uninitialized && w.self.Replica() == string(s.Replica()) {
			continue
		}
		w.self = directory.NewInstance(w.self.Address(), w.self.Name(), w.self.DataCentre(), w.self.Role(),
			w.self.Incarnation(), directory.WithRevision(w.self.Revision()+1),
			directory.WithReplica(string(s.Replica()), uninitialized), directory.WithTerm(term))
		w.directory.UpdateInstance(now, w.self)
		w.notifyUpstreams(now)
	}
	w.directory.UpdateInstance(now, w.self)
}
