package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
)

// request returns what this instance tells an upstream. A store instance asks
// for the founders of the jobs ledger until it heard of them or is a member; one
// that is not among them stays without a replica for long.
func (w *World) pollRequest(row *upstreamRow) PollRequest {
	founded := w.hosted() != JobsLedger || !w.self.Fresh() || len(w.initialMembers) > 0
	return NewPollRequest(w.self, row.epoch, row.version, w.document.Number(), founded)
}

// pollUpstream asks an upstream for news and waits for them.
func (w *World) pollUpstream(now time.Time, address string, row *upstreamRow, done func(call.Reply)) {
	payload, err := w.codec.PollRequest.Encode(w.pollRequest(row))
	if err != nil {
		event.EncodeFailed.Log(w.logger, "call", "follow", "to", address, "error", err)
		w.upstreams.markFailed(now, address)
		done(call.NewReply(0, call.StatusUnsent, nil))
		return
	}
	maxWait, timeout := pollMaxWait, pollTimeout
	if !row.answered {
		maxWait, timeout = 0, w.upstreams.firstTimeout(address)
	}
	c := call.New(call.KindPoll, call.TargetNode, now.Add(maxWait+timeout), payload, call.WithAddress(address), call.WithMaxWait(maxWait))
	w.calls.Start(now, c, func(reply call.Reply) {
		if reply.Status() != call.StatusDone {
			w.upstreams.markFailed(w.now, address)
		} else {
			w.takePollResponse(address, reply.Payload())
		}
		w.runAgain = true
		done(reply)
	})
}

// notifyUpstreams tells each upstream at once what changed about this instance.
func (w *World) notifyUpstreams(now time.Time) {
	w.upstreams.rows.Each(func(address string, row *upstreamRow) {
		payload, err := w.codec.PollRequest.Encode(w.pollRequest(row))
		if err != nil {
			event.EncodeFailed.Log(w.logger, "call", "follow", "to", address, "error", err)
			return
		}
		c := call.New(call.KindPoll, call.TargetNode, now.Add(pollTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() == call.StatusDone {
				w.takePollResponse(address, reply.Payload())
			}
		})
	})
}

// takePollResponse merges an upstream's answer.
func (w *World) takePollResponse(address string, payload []byte) {
	response, err := w.codec.PollResponse.Decode(payload)
	if err != nil {
		event.EncodeFailed.Log(w.logger, "call", "news", "from", address, "error", err)
		return
	}
	w.directory.Take(w.now, response.update)
	w.upstreams.recordResponse(w.now, address, response)
	w.setDocument(response.document, "news of "+address)
	w.formJobsLedger(response.initialMembers)
}

// setDocument brings a newer configuration into force on this instance.
func (w *World) setDocument(d registry.Document, source string) {
	if d.Number() <= w.document.Number() {
		return
	}
	config, err := w.decode(d.Content())
	if err != nil {
		event.CommandInvalid.Log(w.logger, "config", d.Number(), "error", err)
		return
	}
	event.ConfigDecided.Log(w.logger, "config", d.Number(), "before", w.document.Number(), "source", source,
		"routes", len(config.Routes()))
	w.document, w.config, w.snapshotStale = d, config, true
}

// formJobsLedger founds the jobs ledger here, if this replica is among the founders.
func (w *World) formJobsLedger(members []ledger.Member) {
	if len(members) == 0 {
		return
	}
	w.initialMembers = members
	if w.hosted() == JobsLedger {
		w.ledgers.Form(w.now, JobsLedger, members)
	}
}

// answerPoll answers a follower's poll. Followers that know nothing yet come in crowds,
// when they or this instance were started: they get one answer that is encoded once.
func (w *World) answerPoll(requester requesterKey, request PollRequest) {
	key := fullResponseKey{configNumber: request.configNumber, hasInitialMembers: request.hasInitialMembers, announcements: request.node.Kind() == directory.KindControl}
	full := request.version == 0 || request.epoch != w.directory.Epoch()
	if full && w.fullResponse.isReusable(key, w.now, w.directory.Urgent()) {
		w.reply(requester, call.StatusDone, w.fullResponse.payload)
		return
	}
	response := PollResponse{update: w.directory.Since(request.epoch, request.version, key.announcements), staleness: w.now.Sub(w.lastLeaderContact())}
	if request.configNumber < w.document.Number() {
		response.document = w.document
	}
	if !request.hasInitialMembers && w.registry != nil {
		response.initialMembers = w.registry.state.InitialMembers()
	}
	payload, err := w.codec.PollResponse.Encode(response)
	if err != nil {
		event.EncodeFailed.Log(w.logger, "call", "news", "to", requester.from, "error", err)
		return
	}
	if full {
		w.fullResponse = fullResponse{key: key, payload: payload, encodedAt: w.now, urgentVersion: w.directory.Urgent()}
	}
	w.reply(requester, call.StatusDone, payload)
}

// leaderContact returns when this control instance was last in touch with the leader of
// the control ledger: by its replica, or by those that it follows. Control
// instances follow each other, so two that are cut off together repeat each other's
// time; it does not get newer by that, and counts as old in the end.
func (w *World) lastLeaderContact() time.Time {
	at := w.ledgers.InTouch(ControlLedger)
	w.upstreams.rows.Each(func(_ string, row *upstreamRow) {
		if row.leaderContact.After(at) {
			at = row.leaderContact
		}
	})
	return at
}

// updateVersion names the state of what may answer polls before they are due.
func (w *World) updateVersion() updateVersion {
	m := updateVersion{directory: w.directory.Urgent(), config: w.document.Number()}
	if w.registry != nil {
		m.initialMembers = len(w.registry.state.InitialMembers())
	}
	return m
}

// hasUpdate reports whether a poll must be answered at once.
func (w *World) hasUpdate(row *pollRow) bool {
	if row.request.version < w.directory.Urgent() || row.request.configNumber < w.document.Number() {
		return true
	}
	return !row.request.hasInitialMembers && w.registry != nil && len(w.registry.state.InitialMembers()) > 0
}
