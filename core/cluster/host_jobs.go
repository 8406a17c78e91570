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
	jobsCompactAfter = 2500 // applied entries before a snapshot
	jobsRetention    = 10 * time.Minute
	jobsExpireEvery  = 30 * time.Second
)

// waiterRow is a read of results that waits for news.
type waiterRow struct {
	query Query
	due   time.Time
}

// jobsHost is the sub-world of a store instance's state machine.
type jobsHost struct {
	state    *batch.State
	runner   *runner.World
	usage    *usage.World
	board    *usage.LoadTable // of the sums, for those that report here
	waiters  *table.Table[askerKey, waiterRow]
	expireAt time.Time
	encoding bool
	led      bool   // ran items in the last tick
	term     uint64 // term in which this instance may run items
}

// newJobsHost returns the sub-world of an instance in its initial state.
func newJobsHost(self directory.Node, r *runner.World) *jobsHost {
	return &jobsHost{state: batch.New(), runner: r, usage: usage.New(),
		board:   usage.NewLoadTable(xxhash.Sum64String(self.Address()) + self.Incarnation()),
		waiters: table.New[askerKey, waiterRow]()}
}

// OnlineRequests returns the online requests on a server, for the runner.
func (w *World) OnlineRequests(backend string) int {
	if w.jobs == nil {
		return 0
	}
	return w.jobs.usage.Online(backend)
}

// runJobs runs items while this instance leads the jobs ledger.
func (w *World) runJobs(now time.Time) {
	h := w.jobs
	if h == nil {
		return
	}
	h.usage.Run(now)
	leads := w.ledgers.Leads(now, JobsLedger)
	runs := w.runsItems(leads)
	h.runner.SetLeading(now, runs, h.state)
	if runs != h.led {
		h.led = runs
		h.usage.Reset()
	}
	if !runs {
		if w.share.collect {
			w.share.set(h.usage.Total())
		}
		return
	}
	w.share.active = false
	h.runner.Update(w.config, w.servers.list(now, w.directory), leads)
	h.runner.Run(now)
	if finishes := h.runner.TakeOutputs(); len(finishes) > 0 {
		w.proposeBatch(batch.Store(finishes))
	}
	if now.After(h.expireAt) {
		if !h.expireAt.IsZero() {
			w.proposeBatch(batch.Expire(w.wall().Add(-jobsRetention)))
		}
		h.expireAt = now.Add(jobsExpireEvery)
	}
}

// runsItems reports whether this instance runs the items: from the first lease
// of a term on, as long as it is the leader of that term. A lapse of the lease
// alone must not start them anew, since output proposed before is still to be
// committed.
func (w *World) runsItems(leads bool) bool {
	term := w.ledgers.LeadingTerm(JobsLedger)
	if leads {
		w.jobs.term = term
	}
	return term != 0 && w.jobs.term == term
}

// proposeBatch proposes a command of this leader's own.
func (w *World) proposeBatch(c batch.Command) {
	payload, err := w.codec.Batch.Encode(c)
	if err == nil {
		_, _, err = w.ledgers.Propose(JobsLedger, payload)
	}
	if err != nil {
		event.CommandInvalid.Log(w.logger, "propose", int(c.Kind()), "error", err)
	}
}

// next returns the next deadline.
func (h *jobsHost) next(now time.Time) (time.Time, bool) {
	next, ok := h.runner.Next(now)
	h.waiters.Each(func(_ askerKey, row *waiterRow) {
		if !ok || row.due.Before(next) {
			next, ok = row.due, true
		}
	})
	return next, ok
}

// applyBatch applies a committed command.
func (w *World) applyBatch(entry ledger.Entry) (call.Status, error) {
	command, err := w.codec.Batch.Decode(entry.Payload())
	if err != nil {
		return 0, err
	}
	h := w.jobs
	answer := h.state.Apply(command)
	switch command.Kind() {
	case batch.CommandSubmit:
		if j, ok := h.state.Job(command.Spec().ID()); ok {
			h.runner.Accept(w.now, j)
		}
	case batch.CommandCancel:
		h.runner.Drop(command.Subject())
	case batch.CommandStore:
		for _, f := range command.Outputs() {
			if j, ok := h.state.Job(f.Job()); ok {
				h.runner.ResultApplied(j, f)
			}
		}
	}
	w.again = true
	switch answer {
	case batch.ReplyQueueFull:
		return call.StatusRejected, nil
	case batch.ReplyUnknownJob:
		return call.StatusUnknown, nil
	}
	return call.StatusDone, nil
}

// restoreBatch loads a snapshot.
func (w *World) restoreBatch(data []byte) error {
	export, err := w.codec.BatchSnapshot.Decode(data)
	if err != nil {
		return err
	}
	w.jobs.state = batch.Restore(export.Jobs(), export.RetiringInstances())
	return nil
}

// Retiring reports whether an instance is to be emptied.
func (w *World) Retiring(instance string) bool {
	return w.jobs != nil && w.jobs.state.IsRetiring(instance)
}

// DataCentre returns the data centre of an instance, as far as known.
func (w *World) DataCentre(instance string) string {
	n, _ := w.directory.Node(instance)
	return n.DataCentre()
}
