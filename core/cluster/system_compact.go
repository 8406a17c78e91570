package cluster

import (
	"papayaquay/core/batch"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
)

// Sizes of logs and snapshots.
const (
	registryCompactEntries = 500  // applied entries before a snapshot of the control ledger
	jobsCompactEntries     = 2500 // applied entries before a snapshot of the jobs ledger

	snapshotPartBytes = 512 << 10 // of jobs in a part of a snapshot, unless one job is larger
)

// compactLog replaces the applied entries of the log by a snapshot when they are many or
// large.
func (w *World) compactLog(id ledger.ID) {
	entries := uint64(jobsCompactEntries)
	if w.registry != nil {
		entries = registryCompactEntries
	}
	if w.ledgers.ShouldCompact(id, entries) {
		w.ledgers.CompactInParts(id)
		w.runAgain = true
	}
}

// Export returns the state of the hosted ledger as the parts of a snapshot.
func (w *World) Export() ledger.Parts {
	if w.registry != nil {
		s := w.registry.state
		state := registry.Restore(s.Document(), s.InitialMembers(), append([]registry.LeavingBackend(nil), s.Leaving()...))
		return ledger.NewParts(1, func(int) ([]byte, error) { return logged(w, w.codec.RegistryState, state) })
	}
	groups, retiring := groupJobs(w.jobs.state.Export()), w.jobs.state.RetiringInstances()
	return ledger.NewParts(len(groups), func(part int) ([]byte, error) {
		return logged(w, w.codec.BatchSnapshot, NewBatchSnapshot(groups[part], retiring))
	})
}

// logged encodes a part of a snapshot and logs a failure.
func logged[T any](w *World, encoding Encoding[T], value T) ([]byte, error) {
	data, err := encoding.Encode(value)
	if err != nil {
		event.SnapshotFailed.Log(w.logger, "ledger", w.hosted(), "error", err)
	}
	return data, err
}

// groupJobs splits jobs into groups of about snapshotPartBytes; there is at least one group.
func groupJobs(jobs []batch.Job) [][]batch.Job {
	groups := [][]batch.Job{nil}
	size := 0
	for _, j := range jobs {
		bytes := j.Bytes()
		if last := groups[len(groups)-1]; len(last) > 0 && size+bytes > snapshotPartBytes {
			groups, size = append(groups, nil), 0
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], j)
		size += bytes
	}
	return groups
}
