package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/member"
	"papayaquay/core/stream"
)

// Timing of records of streams.
const (
	streamRecordTimeout   = 400 * time.Millisecond
	streamQueryTimeout    = 400 * time.Millisecond
	versionUpdateInterval = 250 * time.Millisecond // of the history, unless servers change
)

// streamKeeper keeps which software versions begin streams. Entry instances send records to
// their upstreams, control instances keep them.
type streamKeeper struct {
	history        *stream.History
	records        *stream.Records
	pending        []pendingRecord // not sent yet
	observedAt     time.Time
	observedUrgent uint64 // urgent version of the directory at observedAt
}

// pendingRecord is a record that an entry instance must send.
type pendingRecord struct {
	record stream.Record
	done   func()
}

// newStreamKeeper returns a keeper without records.
func newStreamKeeper(now time.Time) *streamKeeper {
	return &streamKeeper{history: stream.NewHistory(now), records: stream.NewRecords()}
}

// runStreams updates the history of versions and sends new records.
func (w *World) runStreams(now time.Time) {
	k := w.streams
	if k.observedUrgent != w.directory.UrgentVersion() || now.Sub(k.observedAt) >= versionUpdateInterval {
		k.observedUrgent, k.observedAt = w.directory.UrgentVersion(), now
		w.directory.EachBackend(func(b member.Backend) {
			for _, service := range b.Services() {
				k.history.Observe(now, service, b.Version(), !b.Leaving() && !b.Gone())
			}
		})
		k.history.Run(now)
	}
	if len(k.pending) > 0 {
		w.sendRecords(now)
	}
}

// sendRecords sends the pending records to each upstream. One that has them is enough for
// the streams to begin.
func (w *World) sendRecords(now time.Time) {
	k := w.streams
	pending := k.pending
	k.pending = nil
	records := make([]stream.Record, 0, len(pending))
	for _, p := range pending {
		records = append(records, p.record)
	}
	payload, err := w.codec.StreamRecords.Encode(records)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "stream records", "error", err)
		return
	}
	recorded := false
	w.upstreams.rows.Each(func(address string, row *upstreamRow) {
		if !row.answered {
			return
		}
		c := call.New(call.KindStreamRecords, call.TargetInstance, now.Add(streamRecordTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if recorded || reply.Status() != call.StatusDone {
				return
			}
			recorded = true
			for _, p := range pending {
				p.done()
			}
		})
	})
}

// serveStreamRecords keeps the records of an entry instance.
func (w *World) serveStreamRecords(now time.Time, requester requesterKey, payload []byte) {
	records, err := w.codec.StreamRecords.Decode(payload)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "stream records", "from", requester.from, "error", err)
		return
	}
	for _, r := range records {
		w.streams.records.Add(now, r)
	}
	w.reply(requester, call.StatusDone, nil)
}

// serveStreamQuery answers which version began a stream.
func (w *World) serveStreamQuery(now time.Time, requester requesterKey, payload []byte) {
	query, err := w.codec.StreamQuery.Decode(payload)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "stream query", "from", requester.from, "error", err)
		return
	}
	data, err := w.codec.StreamAnswer.Encode(w.streamAnswer(now, query))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "stream query", "to", requester.from, "error", err)
		return
	}
	w.reply(requester, call.StatusDone, data)
}

// streamAnswer returns what this instance knows of the version that began a stream. Without
// recent contact with the leader of the control ledger it may lack versions and records, so
// nothing follows from the lack of a record.
func (w *World) streamAnswer(now time.Time, query stream.Query) stream.Answer {
	if version, ok := w.streams.records.Find(now, query.ID()); ok && query.Named() {
		return stream.NewAnswer(stream.Recorded, version)
	}
	switch {
	case now.Sub(w.lastLeaderContact()) > upstreamMaxStaleness:
		return stream.Answer{}
	case !query.Named():
		return w.streams.history.Sole(now, query.Service())
	}
	return w.streams.history.Unrecorded(now, query.Service())
}

// streamSearch collects the answers of the control instances to one query.
type streamSearch struct {
	instances int
	waiting   int
	answers   []stream.Answer
	done      func(stream.Answer)
}

// findStream asks all control instances which version began a stream. done is called once.
func (w *World) findStream(now time.Time, query stream.Query, done func(stream.Answer)) {
	payload, err := w.codec.StreamQuery.Encode(query)
	controls := w.controlInstances()
	if err != nil || len(controls) == 0 {
		done(stream.Answer{})
		return
	}
	search := &streamSearch{instances: len(controls), waiting: len(controls), done: done}
	for _, address := range controls {
		c := call.New(call.KindStreamQuery, call.TargetInstance, now.Add(streamQueryTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) { w.streamAnswered(search, address, reply) })
	}
}

// controlInstances returns the control instances, or the seeds until any is known.
func (w *World) controlInstances() []string {
	var addresses []string
	for _, n := range w.directory.Instances(directory.RoleControl) {
		addresses = append(addresses, n.Address())
	}
	if len(addresses) == 0 {
		return w.controls()
	}
	return addresses
}

// streamAnswered adds an answer to a search. A record ends the search at once.
func (w *World) streamAnswered(search *streamSearch, address string, reply call.Reply) {
	search.waiting--
	if search.done == nil {
		return
	}
	if reply.Status() == call.StatusDone {
		answer, err := w.codec.StreamAnswer.Decode(reply.Payload())
		if err != nil {
			event.CallEncodingFailed.Log(w.logger, "call", "stream query", "from", address, "error", err)
		} else {
			search.answers = append(search.answers, answer)
		}
	}
	conclusion := stream.Conclude(search.answers, search.instances)
	if conclusion.Certainty() == stream.Recorded || search.waiting == 0 {
		search.done(conclusion)
		search.done = nil
	}
}
