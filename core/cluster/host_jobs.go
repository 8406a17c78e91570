package cluster

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/runner"
	"papayaquay/core/table"
	"papayaquay/core/usage"

	"github.com/cespare/xxhash/v2"
)

// Limits and timing of the jobs ledger.
const (
	jobsRetention      = 10 * time.Minute // after submission, if all results are there
	jobsExpireInterval = 30 * time.Second
)

// waitingPageRow is a read of a job's results that waits for new ones.
type waitingPageRow struct {
	query Query
	due   time.Time
}

// jobsHost holds the state of a store instance: the jobs, the runner of their
// items and the load totals.
type jobsHost struct {
	state        *batch.State
	runner       *runner.World
	usage        *usage.World
	loadTotals   *usage.VersionedLoads          // load totals for the instances that report here
	itemLimits   *table.Table[string, limitRow] // by backend server
	waitingPages *table.Table[requesterKey, waitingPageRow]
	nextExpiry   time.Time
	restored     []batch.Job // from the parts of a snapshot that arrived so far
	ranItems     bool        // this instance ran items in the last tick
	runTerm      uint64      // term in which this instance may run items
}

// newJobsHost returns the initial state of a store instance.
func newJobsHost(self directory.Instance, r *runner.World) *jobsHost {
	return &jobsHost{state: batch.New(), runner: r, usage: usage.New(),
		loadTotals: usage.NewVersionedLoads(xxhash.Sum64String(self.Address()) + self.Incarnation()),
		itemLimits: table.New[string, limitRow](), waitingPages: table.New[requesterKey, waitingPageRow]()}
}

// OnlineRequests returns the number of online requests that run on a backend
// server. The runner calls it.
func (w *World) OnlineRequests(backend string) int {
	if w.jobs == nil {
		return 0
	}
	return w.jobs.usage.Online(backend)
}

// runJobs runs items while this instance may run them, and proposes their output
// and the expiry of old jobs.
func (w *World) runJobs(now time.Time) {
	h := w.jobs
	if h == nil {
		return
	}
	h.usage.Run(now)
	leads := w.ledgers.Leads(now, JobsLedger)
	runs := w.runsItems(leads)
	h.runner.SetLeading(now, runs, h.state)
	if runs != h.ranItems {
		h.ranItems = runs
		h.usage.Reset()
	}
	if !runs {
		if w.loadReporter.collecting {
			w.loadReporter.setReport(now, h.usage.Total(now))
		}
		return
	}
	w.loadReporter.active = false
	h.runner.Update(w.config, w.servers.list(now, w.directory), leads)
	h.runner.Run(now)
	if outputs := h.runner.TakeOutputs(); len(outputs) > 0 {
		w.proposeBatch(batch.Store(outputs))
	}
	if now.After(h.nextExpiry) {
		if !h.nextExpiry.IsZero() {
			w.proposeBatch(batch.Expire(w.wallClock().Add(-jobsRetention)))
		}
		h.nextExpiry = now.Add(jobsExpireInterval)
	}
}

// runsItems reports whether this instance runs the items: from its first lease
// of a term until it is no longer the leader in that term. It continues when
// only the lease lapses: the output that it proposed before is still to be
// committed and would not match new attempts.
func (w *World) runsItems(leads bool) bool {
	term := w.ledgers.LeadingTerm(JobsLedger)
	if leads {
		w.jobs.runTerm = term
	}
	return term != 0 && w.jobs.runTerm == term
}

// proposeBatch proposes a command of this leader.
func (w *World) proposeBatch(c batch.Command) {
	payload, err := w.codec.Batch.Encode(c)
	if err == nil {
		_, _, err = w.ledgers.Propose(JobsLedger, payload)
	}
	if err != nil {
		event.CommandInvalid.Log(w.logger, "propose", int(c.Kind()), "error", err)
	}
}

// next returns the next deadline of the runner and the waiting reads.
func (h *jobsHost) next(now time.Time) (time.Time, bool) {
	next, ok := h.runner.Next(now)
	h.waitingPages.Each(func(_ requesterKey, row *waitingPageRow) {
		if !ok || row.due.Before(next) {
			next, ok = row.due, true
		}
	})
	return next, ok
}

// applyBatch applies a committed command to the jobs and tells the runner.
func (w *World) applyBatch(entry ledger.Entry) (call.Status, error) {
	command, err := w.codec.Batch.Decode(entry.Payload())
	if err != nil {
		return 0, err
	}
	h := w.jobs
	reply := h.state.Apply(command)
	switch command.Kind() {
	case batch.CommandSubmit:
		if j, ok := h.state.Job(command.Spec().ID()); ok {
			h.runner.Accept(w.now, j)
		}
	case batch.CommandCancel:
		h.runner.Drop(command.Subject())
	case batch.CommandStore:
		for _, output := range command.Outputs() {
			if j, ok := h.state.Job(output.Job()); ok {
				h.runner.ResultApplied(j, output)
			}
		}
	}
	w.runAgain = true
	switch reply {
	case batch.ReplyQueueFull:
		return call.StatusRejected, nil
	case batch.ReplyUnknownJob:
		return call.StatusUnknown, nil
	}
	return call.StatusDone, nil
}

// restoreBatch collects the jobs of the parts of a snapshot. With the last part they
// replace the present jobs.
func (w *World) restoreBatch(s ledger.Snapshot) error {
	h := w.jobs
	if s.Part() == 0 {
		h.restored = nil
	}
	snapshot, err := w.codec.BatchSnapshot.Decode(s.Data())
	if err != nil {
		return err
	}
	h.restored = append(h.restored, snapshot.Jobs()...)
	if s.IsLast() {
		h.state, h.restored = batch.Restore(h.restored, snapshot.RetiringInstances()), nil
	}
	return nil
}

// Retiring reports whether an instance is being emptied.
func (w *World) Retiring(instance string) bool {
	return w.jobs != nil && w.jobs.state.IsRetiring(instance)
}

// DataCentre returns the data centre of an instance, or "" if it is not known.
func (w *World) DataCentre(instance string) string {
	n, _ := w.directory.Instance(instance)
	return n.DataCentre()
}
