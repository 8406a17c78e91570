package control

import (
	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/outcome"

	"github.com/cockroachdb/errors"
)

// What callers submit must leave room for others.
const (
	largeSubmitBytes = 64 << 10 // above it a submit counts as large
	smallShare       = 4        // large submits leave one part in so many of the room to small ones
)

// WithMaxHomeBytes sets the memory in bytes that the jobs and answers of the hosted home ledgers may take, together with
// their logs. Beyond it nothing more is stored for callers. 0 means no limit.
func WithMaxHomeBytes(limit int) Option { return func(w *World) { w.settings.maxHomeBytes = limit } }

// homeBytes returns the memory that the hosted home ledgers take with their logs.
func (w *hostWorld) homeBytes() int {
	size := 0
	for _, id := range w.homeStates.Keys() {
		size += w.homeStates.Get(id).state.Bytes() + w.ledgers.LogBytes(id)
	}
	return size
}

// checkRoom returns outcome.ErrRetryLater if there is no room for what a submit command adds to the state and, encoded
// as payload, to the log, and outcome.ErrInvalid if there never is. What is stored already needs none.
func (w *hostWorld) checkRoom(command home.Command, state *home.State, payload []byte) error {
	growth := state.Growth(command)
	if w.maxHomeBytes == 0 || growth == 0 {
		return nil
	}
	limit := w.maxHomeBytes
	if len(payload) > largeSubmitBytes {
		limit -= limit / smallShare
	}
	size, held := growth+len(payload), w.homeBytes()
	if held+size <= limit {
		return nil
	}
	event.JobRejected.Log(w.logger, "job", command.Key().String(), "bytes", size, "state", held, "limit", limit)
	if size > limit {
		return errors.Wrapf(outcome.ErrInvalid, "%d bytes to store, of %d that all may take", size, limit)
	}
	return outcome.ErrRetryLater
}
