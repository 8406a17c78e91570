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

// mustRejectJob reports whether a proposed command submits a job for which there is no
// room. A job that is accepted already needs none.
func (w *World) mustRejectJob(payload []byte) bool {
	if w.jobs == nil || w.maxJobBytes == 0 {
		return false
	}
	state, log := w.jobs.state.Bytes(), w.ledgers.LogBytes(JobsLedger)
	if state+log+maxJobGrowth*len(payload) <= w.maxJobBytes {
		return false
	}
	command, err := w.codec.Batch.Decode(payload)
	if err != nil || command.Kind() != batch.CommandSubmit {
		return false
	}
	id := command.Spec().ID()
	if _, accepted := w.jobs.state.Job(id); accepted {
		return false
	}
	size := len(payload) + command.Spec().Bytes() // one is part of the log, one of the state
	if state+log+size <= w.maxJobBytes {
		return false
	}
	event.JobRejected.Log(w.logger, "job", id, "bytes", size, "state", state, "log", log, "limit", w.maxJobBytes)
	return true
}
