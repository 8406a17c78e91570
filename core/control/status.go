package control

import (
	"fmt"
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// Status is a report for operators of the system's state as known to one instance.
type Status struct {
	instance  member.Instance
	instances []member.Instance
	backends  []BackendStatus
	ledgers   []ledger.Status
	revision  uint64
	problems  []string
}

// BackendStatus is a backend server with the running work that this instance knows
// of.
type BackendStatus struct {
	backend member.Backend
	online  int
	batch   int
}

// Backend returns the backend server.
func (b BackendStatus) Backend() member.Backend { return b.backend }

// OnlineRequests returns the number of online requests that run on the server, as far as
// this instance knows.
func (b BackendStatus) OnlineRequests() int { return b.online }

// BatchItems returns the number of batch items that this instance runs on the server.
func (b BackendStatus) BatchItems() int { return b.batch }

// Instance returns the instance that made the report.
func (s Status) Instance() member.Instance { return s.instance }

// Instances returns all known instances.
func (s Status) Instances() []member.Instance { return s.instances }

// Backends returns all known backend servers.
func (s Status) Backends() []BackendStatus { return s.backends }

// Ledgers returns the status of the replicas that this instance hosts.
func (s Status) Ledgers() []ledger.Status { return s.ledgers }

// Revision returns the configuration revision of this instance.
func (s Status) Revision() uint64 { return s.revision }

// Problems returns the current problems, one sentence each.
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
			backend: b, online: w.loads.onlineRequests(now, b.ID()), batch: len(running[b.ID()])})
	}
	s.problems = w.problems(now)
	return s
}

// problems lists the current problems for the operator.
func (w *World) problems(now time.Time) []string {
	var problems []string
	add := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	for _, i := range w.members.Instances() {
		if i.State() == member.StateSuspect || i.State() == member.StateDead {
			add("instance %s in %s is %s", i.Name(), i.DataCentre(), i.State())
		}
	}
	for _, b := range w.members.Backends() {
		if b.Gone() {
			add("backend server %s in %s is gone", b.ID(), b.DataCentre())
		}
	}
	for _, l := range w.ledgers.Statuses() {
		if l.Leader() == "" {
			add("ledger %s has no leader", l.Ledger())
		}
		if l.Leader() == w.outbox.self && !w.ledgers.Leads(now, l.Ledger()) {
			add("ledger %s is led here without a quorum", l.Ledger())
		}
	}
	if !w.config.loaded {
		add("the configuration was not received yet")
	}
	if w.diskErr != nil {
		add("the disk refuses writes: %v", w.diskErr)
	}
	if w.tick.draining {
		add("this instance shuts down")
	}
	return problems
}
