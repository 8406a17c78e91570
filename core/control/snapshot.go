package control

import (
	"sync/atomic"

	"papayaquay/core/config"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// Usage counts the running requests of this instance on one backend server.
// Traffic threads change it; the control thread reads it.
type Usage struct {
	online atomic.Int32
	batch  atomic.Int32
}

// Online returns the counter of online requests.
func (u *Usage) Online() *atomic.Int32 { return &u.online }

// Batch returns the counter of batch items.
func (u *Usage) Batch() *atomic.Int32 { return &u.batch }

// Target is a backend server as the traffic threads see it.
type Target struct {
	backend member.Backend
	usage   *Usage
	near    bool
}

// NewTarget returns a target; near tells that it is in this data centre.
func NewTarget(backend member.Backend, usage *Usage, near bool) Target {
	return Target{backend: backend, usage: usage, near: near}
}

// Backend returns the server's row.
func (t Target) Backend() member.Backend { return t.backend }

// Usage returns the counts of running requests of this instance.
func (t Target) Usage() *Usage { return t.usage }

// Near reports whether the server is in this data centre.
func (t Target) Near() bool { return t.near }

// Snapshot is the immutable view that traffic threads work with.
type Snapshot struct {
	view     *config.View
	targets  []Target
	homes    []ledger.ID
	suspects map[uint64]int
	draining bool
	loaded   bool
	entries  int
	local    ledger.ID
}

// SnapshotOption sets fields of a snapshot.
type SnapshotOption func(*Snapshot)

// WithSuspects sets the crash counts of fingerprints.
func WithSuspects(suspects map[uint64]int) SnapshotOption {
	return func(s *Snapshot) { s.suspects = suspects }
}

// WithDraining marks an instance that shuts down.
func WithDraining(draining bool) SnapshotOption {
	return func(s *Snapshot) { s.draining = draining }
}

// WithLoaded tells that the configuration was received.
func WithLoaded(loaded bool) SnapshotOption { return func(s *Snapshot) { s.loaded = loaded } }

// WithEntries sets the number of live instances.
func WithEntries(entries int) SnapshotOption { return func(s *Snapshot) { s.entries = entries } }

// WithLocal sets the ledger that keeps answers in this data centre while their
// home ledger is out of reach.
func WithLocal(local ledger.ID) SnapshotOption { return func(s *Snapshot) { s.local = local } }

// NewSnapshot returns a snapshot of the configuration, the backend servers
// that take new work, and the configured home ledgers.
func NewSnapshot(view *config.View, targets []Target, homes []ledger.ID, options ...SnapshotOption) *Snapshot {
	s := &Snapshot{view: view, targets: targets, homes: homes, entries: 1}
	for _, option := range options {
		option(s)
	}
	return s
}

// View returns the followed configuration.
func (s *Snapshot) View() *config.View { return s.view }

// Targets returns the backend servers that take new work.
func (s *Snapshot) Targets() []Target { return s.targets }

// Homes returns the configured home ledgers.
func (s *Snapshot) Homes() []ledger.ID { return s.homes }

// Crashes returns the crash count of a fingerprint.
func (s *Snapshot) Crashes(fingerprint uint64) int { return s.suspects[fingerprint] }

// Entries returns the number of live instances, at least one.
func (s *Snapshot) Entries() int { return max(s.entries, 1) }

// Local returns the local ledger of this data centre, or nothing.
func (s *Snapshot) Local() ledger.ID { return s.local }

// Loaded reports whether the configuration was received since the start.
func (s *Snapshot) Loaded() bool { return s.loaded }

// Draining reports whether the instance shuts down.
func (s *Snapshot) Draining() bool { return s.draining }
