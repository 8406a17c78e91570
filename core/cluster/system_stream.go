package cluster

import (
	"slices"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/stream"
	"papayaquay/core/table"
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
	kept           []keptRecord    // sent within the last stream.Retention
	receivers      *table.Table[string, recordReceiver]
	observedAt     time.Time
	observedUrgent uint64 // urgent version of the directory at observedAt
}

// pendingRecord is a record that an entry instance must send.
type pendingRecord struct {
	record   stream.Record
	required bool // done is called when enough instances have it for the stream to begin
	done     func()
}

// newStreamKeeper returns a keeper without records.
func newStreamKeeper(now time.Time) *streamKeeper {
	return &streamKeeper{history: stream.NewHistory(now), records: stream.NewRecords(), receivers: table.New[string, recordReceiver]()}
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
		k.history.ContactedAt(w.lastLeaderContact())
	}
	if len(k.pending) > 0 {
		w.sendRecords(now)
	}
	w.resendRecords(now)
}

// spareCopies is the number of instances, beyond those that must have a record, to which it is
// sent: some may be down.
const spareCopies = 2

// recordTargets returns the control instances to which records are sent, those first that this
// instance is in contact with.
func (w *World) recordTargets(controls []string) []string {
	var targets, others []string
	for _, address := range w.upstreams.rotate(controls) {
		if row := w.upstreams.rows.Get(address); row != nil && row.answered {
			targets = append(targets, address)
		} else {
			others = append(others, address)
		}
	}
	targets = append(targets, others...)
	return targets[:min(len(targets), stream.Copies(len(controls))+spareCopies)]
}

// sendRecords sends the pending records to control instances. One that has them is enough for
// most streams to begin; a required record must be at stream.Copies of those that are in contact
// with the leader of the control ledger.
func (w *World) sendRecords(now time.Time) {
	k := w.streams
	pending := k.pending
	k.pending = nil
	records := make([]stream.Record, 0, len(pending))
	for _, p := range pending {
		records = append(records, p.record)
		k.kept = append(k.kept, keptRecord{record: p.record, at: now})
	}
	payload, err := w.codec.StreamRecords.Encode(records)
	if err != nil {
		w.codingFailed("stream records", "to", "", err)
		return
	}
	controls := w.controlInstances()
	copies, current := 0, 0
	for _, address := range w.recordTargets(controls) {
		c := call.New(call.KindStreamRecords, call.TargetInstance, now.Add(streamRecordTimeout), payload, call.WithAddress(address))
		w.calls.Start(now, c, func(reply call.Reply) {
			if reply.Status() != call.StatusDone {
				w.receiver(address).missed = true
				return
			}
			copies++
			if !slices.Equal(reply.Payload(), outOfContact) {
				current++
			}
			for i := range pending {
				pending[i].confirm(copies, current, stream.Copies(len(controls)))
			}
		})
	}
}

// confirm calls done once when enough instances have the record.
func (p *pendingRecord) confirm(copies, current, needed int) {
	if p.done == nil || copies == 0 || (p.required && current < needed) {
		return
	}
	p.done()
	p.done = nil
}

// outOfContact is the payload of a reply to records of a control instance without recent contact
// with the leader of the control ledger. Others may conclude without asking it.
var outOfContact = []byte{1}

// isCurrent reports whether this instance was in contact with the leader of the control ledger
// recently. Without it, it may lack versions and records that others know.
func (w *World) isCurrent(now time.Time) bool {
	return now.Sub(w.lastLeaderContact()) <= upstreamMaxStaleness
}

// serveStreamRecords keeps the records of an entry instance.
func (w *World) serveStreamRecords(now time.Time, requester requesterKey, payload []byte) {
	records, err := w.codec.StreamRecords.Decode(payload)
	if !w.canUse("stream records", requester.from, err) {
		return
	}
	for _, r := range records {
		w.streams.records.Add(now, r)
	}
	var reply []byte
	if !w.isCurrent(now) {
		reply = outOfContact
	}
	w.reply(requester, call.StatusDone, reply)
}

// serveStreamQuery answers which version began a stream.
func (w *World) serveStreamQuery(now time.Time, requester requesterKey, payload []byte) {
	query, err := w.codec.StreamQuery.Decode(payload)
	if err != nil {
		w.codingFailed("stream query", "from", requester.from, err)
		return
	}
	data, err := w.codec.StreamAnswer.Encode(w.streamAnswer(now, query))
	if err != nil {
		w.codingFailed("stream query", "to", requester.from, err)
		return
	}
	w.reply(requester, call.StatusDone, data)
}

// streamAnswer returns what this instance knows of the version that began a stream. While it is
// not current, nothing follows from the lack of a record.
func (w *World) streamAnswer(now time.Time, query stream.Query) stream.Answer {
	if r, ok := w.streams.records.Find(now, query.ID()); ok && query.Named() {
		return r.Answer()
	}
	switch {
	case !w.isCurrent(now):
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

// streamAnswered adds an answer to a search, which ends as soon as the version follows from
// enough answers.
func (w *World) streamAnswered(search *streamSearch, address string, reply call.Reply) {
	search.waiting--
	if search.done == nil {
		return
	}
	if reply.Status() == call.StatusDone {
		answer, err := w.codec.StreamAnswer.Decode(reply.Payload())
		if err != nil {
			w.codingFailed("stream query", "from", address, err)
		} else {
			search.answers = append(search.answers, answer)
		}
	}
	conclusion := stream.Conclude(search.answers, search.instances)
	isEnough := conclusion.Certainty() != stream.Unknown && len(search.answers) >= stream.AnswersNeeded(search.instances)
	if isEnough || search.waiting == 0 {
		search.done(conclusion)
		search.done = nil
	}
}
