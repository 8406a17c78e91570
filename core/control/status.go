package control

import (
	"fmt"
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// Status is what an instance knows of the system, for operators.
type Status struct {
	instance  member.Instance
	instances []member.Instance
	backends  []BackendStatus
	ledgers   []ledger.Status
	revision  uint64
	problems  []string
}

// BackendStatus is a backend server with its running work as known here.
type BackendStatus struct {
	backend member.Backend
	online  int
	batch   int
}

// Backend returns the server's row.
func (b BackendStatus) Backend() member.Backend { return b.backend }

// Online returns the online requests that this instance knows to run there.
func (b BackendStatus) Online() int { return b.online }

// Batch returns the batch items that this instance runs there.
func (b BackendStatus) Batch() int { return b.batch }

// Instance returns the answering instance.
func (s Status) Instance() member.Instance { return s.instance }

// Instances returns all known instances.
func (s Status) Instances() []member.Instance { return s.instances }

// Backends returns all known backend servers.
func (s Status) Backends() []BackendStatus { return s.backends }

// LedgerMessages returns the replicas hosted here.
func (s Status) Ledgers() []ledger.Status { return s.ledgers }

// Revision returns the configuration revision in force here.
func (s Status) Revision() uint64 { return s.revision }

// Problems returns what is wrong now, one sentence each.
func (s Status) Problems() []string { return s.problems }

// status builds the report.
func (w *World) status(now time.Time) Status {
	s := Status{
		instance: w.members.Self(), instances: w.members.Instances(),
		ledgers: w.ledgers.Statuses(), revision: w.config.view.Revision(),
	}
	running := w.items.runningItems()
	for _, b := range w.members.Backends() {
		s.backends = append(s.backends, BackendStatus{
			backend: b, online: w.demand.onlineOn(now, b.ID()), batch: len(running[b.ID()])})
	}
	s.problems = w.problems(now)
	return s
}

// problems lists what needs an operator's eye.
func (w *World) problems(now time.Time) []string {
	var problems []string
	note := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	for _, i := range w.members.Instances() {
		if i.State() == member.StateSuspect || i.State() == member.StateDead {
			note("instance %s in %s is %s", i.Name(), i.DataCentre(), i.State())
		}
	}
	for _, b := range w.members.Backends() {
		if b.Gone() {
			note("backend server %s in %s is gone", b.ID(), b.DataCentre())
		}
	}
	for _, l := range w.ledgers.Statuses() {
		if l.Leader() == "" {
			note("ledger %s has no leader", l.Ledger())
		}
		if l.Leader() == w.outbox.self && !w.ledgers.Leads(now, l.Ledger()) {
			note("ledger %s is led here without a quorum", l.Ledger())
		}
	}
	if !w.config.loaded {
		note("the configuration was not received yet")
	}
	if w.diskErr != nil {
		note("the disk refuses writes: %v", w.diskErr)
	}
	if w.tick.draining {
		note("this instance shuts down")
	}
	return problems
}
