package cluster

import (
	"time"

	"papayaquay/core/event"
)

// memoryLogInterval is the time between two log lines on the memory of a ledger.
const memoryLogInterval = 2 * time.Second

// WithHeapBytes sets the function that returns the size of the heap in bytes.
func WithHeapBytes(heapBytes func() uint64) Option { return func(w *World) { w.heapBytes = heapBytes } }

// logMemory logs how much memory the hosted ledger takes.
func (w *World) logMemory(now time.Time) {
	id := w.hosted()
	if id == "" || now.Before(w.memoryLogDue) {
		return
	}
	w.memoryLogDue = now.Add(memoryLogInterval)
	state := 0
	if w.jobs != nil {
		state = w.jobs.state.Bytes()
	}
	event.LedgerMemory.Log(w.logger, "ledger", id, "heap", w.heapBytes(), "log", w.ledgers.LogBytes(id),
		"entries", w.ledgers.UncompactedEntries(id), "snapshot", w.ledgers.SnapshotBytes(id), "state", state)
}
