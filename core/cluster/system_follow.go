package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
)

// following returns what this instance tells an upstream. A store instance asks
// for the founders of the jobs ledger until it heard of them or is a member; one
// that is not among them stays without a replica for long.
func (w *World) following(row *upstreamRow) PollRequest {
	founded := w.hosted() != JobsLedger || !w.self.Fresh() || len(w.founders) > 0
	return NewPollRequest(w.self, row.epoch, row.version, w.document.Number(), founded)
}

// poll asks an upstream for news and waits for them.
func (w *World) poll(now time.Time, address string, row *upstreamRow, done func(call.Reply)) {
	payload, err := w.codec.PollRequest.Encode(w.following(row))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "follow", "to", address, "error", err)
		w.upstreams.lost(now, address)
		done(call.NewReply(0, call.StatusUnsent, nil))
		return
	}
	hold, timeout := followHold, followTimeout
	if !row.known {
		hold, timeout = 0, w.upstreams.patience(address)
	}
	c := call.New(call.KindPoll, call.TargetNode, now.Add(hold+timeout), payload, call.WithAddress(address), call.WithMaxWait(hold))
	w.calls.Start(now, c, func(reply call.Reply) {
		if reply.Status() != call.StatusDone {
			w.upstreams.lost(w.now, address)
		} else {
			w.takeNews(address, reply.Payload())
		}
		w.again = true
		done(reply)
	})
}

// tellUpstreams tells each upstream at once what changed about this instance.
func (w *World) tellUpstreams(now time.Time) {
	w.upstreams.rows.Each(func(address string, row *upstreamRow) {
		payload, err := w.codec.PollRequest.Encode(w.following(row))
		if err != nil {
			event.CallEncodingFailed.Log(w.logger, "call", "follow", "to", address, "error", err)
			return
		}
		c := call.New(call.KindPoll, call.TargetNode, now.Add(followTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() == call.StatusDone {
				w.takeNews(address, reply.Payload())
			}
		})
	})
}

// takeNews merges an upstream's answer.
func (w *World) takeNews(address string, payload []byte) {
	news, err := w.codec.PollResponse.Decode(payload)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "news", "from", address, "error", err)
		return
	}
	w.directory.Merge(w.now, news.update)
	w.upstreams.heard(w.now, address, news)
	w.setDocument(news.document, "news of "+address)
	w.form(news.initialMembers)
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
	event.ConfigDocumentApplied.Log(w.logger, "config", d.Number(), "before", w.document.Number(), "source", source,
		"routes", len(config.Routes()))
	w.document, w.config, w.stale = d, config, true
}

// form founds the jobs ledger here, if this replica is among the founders.
func (w *World) form(founders []ledger.Member) {
	if len(founders) == 0 {
		return
	}
	w.founders = founders
	if w.hosted() == JobsLedger {
		w.ledgers.Bootstrap(w.now, JobsLedger, founders)
	}
}

// news answers a follower's poll. Followers that know nothing yet come in crowds,
// when they or this instance were started: they get one answer that is encoded once.
func (w *World) news(asker askerKey, f PollRequest) {
	key := wholeKey{number: f.configNumber, founded: f.hasInitialMembers, judges: f.node.Role() == directory.RoleControl}
	whole := f.version == 0 || f.epoch != w.directory.Epoch()
	if whole && w.whole.fits(key, w.now, w.directory.UrgentVersion()) {
		w.answer(asker, call.StatusDone, w.whole.payload)
		return
	}
	n := PollResponse{update: w.directory.Since(f.epoch, f.version, key.judges), staleness: w.now.Sub(w.inTouch())}
	if f.configNumber < w.document.Number() {
		n.document = w.document
	}
	if !f.hasInitialMembers && w.registry != nil {
		n.initialMembers = w.registry.state.InitialMembers()
	}
	payload, err := w.codec.PollResponse.Encode(n)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "news", "to", asker.from, "error", err)
		return
	}
	if whole {
		w.whole = wholeNews{key: key, payload: payload, made: w.now, urgent: w.directory.UrgentVersion()}
	}
	w.answer(asker, call.StatusDone, payload)
}

// inTouch returns when this control instance was last in touch with the leader of
// the control ledger: by its replica, or by those that it follows. Control
// instances follow each other, so two that are cut off together repeat each other's
// time; it does not get newer by that, and counts as old in the end.
func (w *World) inTouch() time.Time {
	at := w.ledgers.LastLeaderContact(ControlLedger)
	w.upstreams.rows.Each(func(_ string, row *upstreamRow) {
		if row.inTouch.After(at) {
			at = row.inTouch
		}
	})
	return at
}

// newsMark names the state of what may answer polls before they are due.
func (w *World) newsMark() newsMark {
	m := newsMark{urgent: w.directory.UrgentVersion(), number: w.document.Number()}
	if w.registry != nil {
		m.founders = len(w.registry.state.InitialMembers())
	}
	return m
}

// hasNews reports whether a poll must be answered at once.
func (w *World) hasNews(row *pollRow) bool {
	if row.following.version < w.directory.UrgentVersion() || row.following.configNumber < w.document.Number() {
		return true
	}
	return !row.following.hasInitialMembers && w.registry != nil && len(w.registry.state.InitialMembers()) > 0
}
