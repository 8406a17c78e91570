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
// itself. One that is not among them may have no replica for a long time, and each
// of its polls would be answered at once if it went on asking for them.
func (w *World) pollRequest(address string, row *upstreamRow) PollRequest {
	hasInitialMembers := w.hosted() != JobsLedger || !w.self.Uninitialized() || len(w.initialMembers) > 0
	known := w.document.Number()
	if row.answered {
		known = max(known, w.documents.announced[address])
	}
	return NewPollRequest(w.self, row.epoch, row.version, known, hasInitialMembers).WithFetchedDocuments()
}

// pollUpstream polls an upstream and calls done at the end of the call. The poll
// waits for an update only if the upstream has answered before.
func (w *World) pollUpstream(now time.Time, address string, row *upstreamRow, done func(call.Reply)) {
	payload, err := w.codec.PollRequest.Encode(w.pollRequest(address, row))
	if err != nil {
		w.codingFailed("follow", "to", address, err)
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
		if reply.Status() == call.StatusDone && !w.applyPollResponse(address, reply.Payload()) {
			reply = call.NewReply(0, call.StatusUnknown, nil)
		}
		if reply.Status() != call.StatusDone {
			w.upstreams.markFailed(w.now, address)
		}
		w.runAgain = true
		done(reply)
	})
}

// notifyUpstreams sends a change of this instance to each upstream at once.
func (w *World) notifyUpstreams(now time.Time) {
	w.upstreams.rows.Each(func(address string, row *upstreamRow) {
		payload, err := w.codec.PollRequest.Encode(w.pollRequest(address, row))
		if err != nil {
			w.codingFailed("follow", "to", address, err)
			return
		}
		c := call.New(call.KindPoll, call.TargetInstance, now.Add(pollTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() == call.StatusDone {
				w.applyPollResponse(address, reply.Payload())
			}
		})
	})
}

// applyPollResponse applies the answer of an upstream. It returns false if the answer can't be read: this upstream
// is of no use, and another one must be polled.
func (w *World) applyPollResponse(address string, payload []byte) bool {
	response, err := w.codec.PollResponse.Decode(payload)
	if !w.canUse("news", address, err) {
		return false
	}
	w.directory.Merge(w.now, response.update)
	w.upstreams.recordResponse(w.now, address, response)
	if number := response.document.Number(); number > 0 {
		w.documents.announce(w.now, address, number)
	}
	w.bootstrapJobsLedger(response.initialMembers)
	return true
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

// answerPoll answers the poll of another instance. Instances that poll with the same state
// share one response, which is encoded once: those without any state after a start, and
// all that wait for a new document.
func (w *World) answerPoll(requester requesterKey, request PollRequest) {
	key := responseKey{version: request.version, configNumber: request.configNumber, document: w.document.Number(), fetchesParts: request.fetchesParts,
		hasInitialMembers: request.hasInitialMembers, announcements: request.instance.Role() == directory.RoleControl}
	version := w.directory.Version()
	if request.epoch != w.directory.Epoch() || request.version == 0 {
		key.version, version = 0, w.directory.UrgentVersion()
	}
	payload := w.responses.get(key, w.now, version)
	if payload == nil {
		var err error
		if payload, err = w.codec.PollResponse.Encode(w.pollResponse(key, request)); err != nil {
			w.codingFailed("news", "to", requester.from, err)
			return
		}
		w.responses.put(key, w.now, version, payload)
	}
	w.reply(requester, call.StatusDone, payload)
}

// pollResponse returns the response to a poll.
func (w *World) pollResponse(key responseKey, request PollRequest) PollResponse {
	response := PollResponse{update: w.directory.Since(request.epoch, request.version, key.announcements), staleness: w.now.Sub(w.lastLeaderContact())}
	if request.fetchesParts {
		response = response.WithVersions()
	}
	response.document = w.announcedDocument(request)
	if !request.hasInitialMembers && w.registry != nil {
		response.initialMembers = w.registry.state.InitialMembers()
	}
	return response
}

// lastLeaderContact returns the time of the last contact with the leader of the
// control ledger, by this instance's replica or by its upstreams. Control
// instances poll each other, so two of them that are partitioned from the others
// repeat each other's time. That time doesn't advance, so its age exceeds
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
