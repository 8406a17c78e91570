package fleet

import (
	"context"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/entry"
	"papayaquay/core/event"
	"papayaquay/core/quarantine"
	"papayaquay/core/stream"
)

// maxRecordWait bounds the time for which a request, or the first part of its answer, waits until
// the version is recorded.
const maxRecordWait = 150 * time.Millisecond

// recordStream records the version of the server of an attempt, if the decision says so. The
// channel is closed when it is recorded.
func (p *Process) recordStream(request entry.Request, d entry.Decision) <-chan struct{} {
	recorded := make(chan struct{})
	if !d.Record() {
		close(recorded)
		return recorded
	}
	record := stream.NewRecord(stream.NewID(request.ID()), d.Attempt(), d.Backend().Version())
	p.inbox.Post(cluster.RecordStream(record, d.RecordFirst(), func() { close(recorded) }))
	return recorded
}

// awaitRecord waits until the version is recorded, for maxRecordWait at most, and reports
// whether it is.
func (p *Process) awaitRecord(ctx context.Context, request entry.Request, d entry.Decision, recorded <-chan struct{}) bool {
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-recorded:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		event.StreamNotRecorded.Log(p.logger, "request", request.ID(), "backend", d.Backend().ID(), "version", d.Backend().Version(),
			"attempt", d.Attempt(), "required", d.RecordFirst())
		return false
	}
}

// mayBegin reports whether the answer of a server may reach the caller. It waits until the
// version is recorded; an instance without contact to control instances serves
// nevertheless, unless the record was required before the request was sent. A server that crashed or
// was started again since the choice may have another version.
// crashedBefore tells whether it was believed to have crashed when the request was sent.
func (p *Process) mayBegin(ctx context.Context, request entry.Request, d entry.Decision, recorded <-chan struct{}, crashedBefore bool) bool {
	if !p.awaitRecord(ctx, request, d, recorded) && ctx.Err() != nil {
		return false
	}
	snapshot := p.snapshot.Load()
	if snapshot.Quarantine().Crashed(crashID(d)) && !crashedBefore {
		event.AnswerWithheld.Log(p.logger, "request", request.ID(), "backend", d.Backend().ID(), "attempt", d.Attempt(),
			"chosen", d.Backend().Incarnation(), "crashed", true)
		return false
	}
	for _, s := range snapshot.Servers() {
		if s.Backend().ID() == d.Backend().ID() && s.Backend().Incarnation() > d.Backend().Incarnation() {
			event.AnswerWithheld.Log(p.logger, "request", request.ID(), "backend", d.Backend().ID(), "attempt", d.Attempt(),
				"chosen", d.Backend().Incarnation(), "known", s.Backend().Incarnation())
			return false
		}
	}
	return true
}

// crashID returns the id of a crash of the server of an attempt.
func crashID(d entry.Decision) quarantine.CrashID {
	return quarantine.NewCrashID(d.Backend().ID(), d.Backend().Incarnation())
}
