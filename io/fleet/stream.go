package fleet

import (
	"context"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/entry"
	"papayaquay/core/event"
	"papayaquay/core/stream"
)

// maxRecordWait bounds the time for which the first part of an answer waits until its version
// is recorded. An instance without contact to control instances serves nevertheless.
const maxRecordWait = 150 * time.Millisecond

// recordStream records the version of the server of an attempt, if the decision says so, while
// the server works on the request. The channel is closed when it is recorded.
func (p *Process) recordStream(request entry.Request, d entry.Decision) <-chan struct{} {
	recorded := make(chan struct{})
	if !d.Record() {
		close(recorded)
		return recorded
	}
	record := stream.NewRecord(stream.NewID(request.ID()), d.Attempt(), d.Backend().Version())
	p.inbox.Post(cluster.RecordStream(record, func() { close(recorded) }))
	return recorded
}

// mayBegin reports whether the answer of a server may reach the caller. It waits until the
// version is recorded. A server that was started again since the choice may have another
// version.
func (p *Process) mayBegin(ctx context.Context, d entry.Decision, recorded <-chan struct{}) bool {
	timer := time.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-ctx.Done():
		return false
	case <-timer.C:
		event.StreamNotRecorded.Log(p.logger, "backend", d.Backend().ID(), "version", d.Backend().Version(), "attempt", d.Attempt())
	}
	for _, s := range p.snapshot.Load().Servers() {
		if s.Backend().ID() == d.Backend().ID() && s.Backend().Incarnation() > d.Backend().Incarnation() {
			return false
		}
	}
	return true
}
