package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
)

// pollRequest returns this instance's poll of an upstream. A store instance asks
// for the initial members of the jobs ledger until it knows them or is a member
// itself. A store instance that is not among them can be without a replica for a
// long time.
func (w *World) pollRequest(row *upstreamRow) PollRequest {
	hasInitialMembers := w.hosted() != JobsLedger || !w.self.Uninitialized() || len(w.initialMembers) > 0
	return NewPollRequest(w.self, row.epoch, row.version, w.document.Number(), hasInitialMembers)
}

// pollUpstream polls an upstream and calls done at the end of the call. The poll
// waits for an update only if the upstream has answered before.
func (w *World) pollUpstream(now time.Time, address string, row *upstreamRow, done func(call.Reply)) {
	payload, err := w.codec.PollRequest.Encode(w.pollRequest(row))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "follow", "to", address, "error", err)
		w.upstreams.markFailed(now, address)
		done(call.NewReply(0, call.StatusUnsent, nil))
		return
	}
	maxWait, timeout := pollMaxWait, pollTimeout
	if !row.answered {
		maxWait, timeout = 0, w.upstreams.firstTimeout(address)
	}
	c := call.New(call.KindPoll, call.TargetInstance, now.Add(maxWait+timeout), payload, call.WithAddress(address), call.WithMaxWait(maxWait))
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

// notifyUpstreams sends a change of this instance to each upstream at once.
func (w *World) notifyUpstreams(now time.Time) {
	w.upstreams.rows.Each(func(address string, row *upstreamRow) {
		payload, err := w.codec.PollRequest.Encode(w.pollRequest(row))
		if err != nil {
			event.CallEncodingFailed.Log(w.logger, "call", "follow", "to", address, "error", err)
			return
		}
		c := call.New(call.KindPoll, call.TargetInstance, now.Add(pollTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() == call.StatusDone {
				w.takePollResponse(address, reply.Payload())
			}
		})
	})
}

// takePollResponse applies the answer of an upstream.
func (w *World) takePollResponse(address string, payload []byte) {
	response, err := w.codec.PollResponse.Decode(payload)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "news", "from", address, "error", err)
		return
	}
	w.directory.Merge(w.now, response.update)
	w.upstreams.recordResponse(w.now, address, response)
	w.setDocument(response.document, "upstream "+address)
	w.bootstrapJobsLedger(response.initialMembers)
}

// setDocument puts a newer configuration in force on this instance. source is
// only for the log.
func (w *World) setDocument(d registry.Document, source string) {
	if d.Number() <= w.document.Number() {
		return
	}
	config, err := w.decode(d.Content())
	if err != nil {
		event.CommandInvalid.Log(w.logger, "config", d.Number(), "error", err)
		return
	}
	event.ConfigDocumentApplied.Log(w.logger, "config", d.Number(), "before", w.document.Number(), "source", source,
		"routes", len(config.Routes()))
	w.document, w.config, w.snapshotStale = d, config, true
}

// bootstrapJobsLedger creates the jobs ledger here if this replica is one of its
// initial members.
func (w *World) bootstrapJobsLedger(members []ledger.Member) {
	if len(members) == 0 {
		return
	}
	w.initialMembers = members
	if w.hosted() == JobsLedger {
		w.ledgers.Bootstrap(w.now, JobsLedger, members)
	}
}

// answerPoll answers the poll of another instance. Many instances without any
// state may poll at the same time, when they or this instance were started. They
// share one full response, which is encoded once.
func (w *World) answerPoll(requester requesterKey, request PollRequest) {
	key := fullResponseKey{configNumber: request.configNumber, hasInitialMembers: request.hasInitialMembers, announcements: request.node.Role() == directory.RoleControl}
	full := request.version == 0 || request.epoch != w.directory.Epoch()
	if full && w.fullResponse.isReusable(key, w.now, w.directory.UrgentVersion()) {
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
		event.CallEncodingFailed.Log(w.logger, "call", "news", "to", requester.from, "error", err)
		return
	}
	if full {
		w.fullResponse = fullResponse{key: key, payload: payload, encodedAt: w.now, urgentVersion: w.directory.UrgentVersion()}
	}
	w.reply(requester, call.StatusDone, payload)
}

// lastLeaderContact returns the time of the last contact with the leader of the
// control ledger, by this instance's replica or by its upstreams. Control
// instances poll each other, so two of them that are partitioned from the others
// repeat each other's time. That time doesn't advance, so it exceeds
// upstreamMaxStaleness in the end.
func (w *World) lastLeaderContact() time.Time {
	at := w.ledgers.LastLeaderContact(ControlLedger)
	w.upstreams.rows.Each(func(_ string, row *upstreamRow) {
		if row.leaderContact.After(at) {
			at = row.leaderContact
		}
	})
	return at
}

// updateVersion returns the version of the state whose changes answer polls
// early.
func (w *World) updateVersion() updateVersion {
	version := updateVersion{directory: w.directory.UrgentVersion(), config: w.document.Number()}
	if w.registry != nil {
		version.initialMembers = len(w.registry.state.InitialMembers())
	}
	return version
}

// hasUpdate reports whether there is something new for a waiting poll that must
// be sent early.
func (w *World) hasUpdate(row *pollRow) bool {
	if row.request.version < w.directory.UrgentVersion() || row.request.configNumber < w.document.Number() {
		return true
	}
	return !row.request.hasInitialMembers && w.registry != nil && len(w.registry.state.InitialMembers()) > 0
}
