package cluster

import (
	"papayaquay/core/batch"
	"papayaquay/core/event"
)

// maxJobGrowth is how many times the bytes of its command a job can take in memory: tiny items take most.
const maxJobGrowth = 64

// WithMaxJobBytes sets the size in bytes that the jobs and the log of their ledger may take
// together. Beyond it no more jobs are accepted. 0 means no limit.
func WithMaxJobBytes(limit int) Option { return func(w *World) { w.maxJobBytes = limit } }

// mustReject reports whether a proposed command must not enter the hosted ledger: no replica could decode it,
// or it submits a job for which there is no room.
func (w *World) mustReject(requester requesterKey, payload []byte) bool {
	var command batch.Command
	var err error
	if w.registry != nil {
		_, err = w.codec.Registry.Decode(payload)
	} else {
		command, err = w.codec.Batch.Decode(payload)
	}
	if err != nil {
		w.codingFailed("propose", "from", requester.from, err)
		return true
	}
	return w.jobs != nil && command.Kind() == batch.CommandSubmit && w.mustRejectJob(command.Spec(), len(payload))
}

// mustRejectJob reports whether there is no room for a job that was encoded in some bytes. A job that is
// accepted already needs none.
func (w *World) mustRejectJob(spec batch.JobSpec, bytes int) bool {
	state, log := w.jobs.state.Bytes(), w.ledgers.LogBytes(JobsLedger)
	if w.maxJobBytes == 0 || state+log+maxJobGrowth*bytes <= w.maxJobBytes {
		return false
	}
	id := spec.ID()
	if _, accepted := w.jobs.state.Job(id); accepted {
		return false
	}
	size := bytes + spec.Bytes() // one is part of the log, one of the state
	if state+log+size <= w.maxJobBytes {
		return false
	}
	event.JobRejected.Log(w.logger, "job", id, "bytes", size, "state", state, "log", log, "limit", w.maxJobBytes)
	return true
}
