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
	backend        member.Backend
	usage          *Usage
	sameDataCentre bool
}

// NewTarget returns a target; near tells that it is in this data centre.
func NewTarget(backend member.Backend, usage *Usage, sameDataCentre bool) Target {
	return Target{backend: backend, usage: usage, sameDataCentre: sameDataCentre}
}

// Backend returns the server's row.
func (t Target) Backend() member.Backend { return t.backend }

// Usage returns the counts of running requests of this instance.
func (t Target) Usage() *Usage { return t.usage }

// SameDataCentre reports whether the server is in this data centre.
func (t Target) SameDataCentre() bool { return t.sameDataCentre }

// Snapshot is the immutable view that traffic threads work with.
type Snapshot struct {
	config        *config.View
	targets       []Target
	homes         []ledger.ID
	crashes       map[uint64]int
	draining      bool
	configLoaded  bool
	liveInstances int
	localLedger   ledger.ID
}

// SnapshotOption sets fields of a snapshot.
type SnapshotOption func(*Snapshot)

// WithCrashes sets the crash counts of fingerprints.
func WithCrashes(suspects map[uint64]int) SnapshotOption {
	return func(s *Snapshot) { s.crashes = suspects }
}

// WithDraining marks an instance that shuts down.
func WithDraining(draining bool) SnapshotOption {
	return func(s *Snapshot) { s.draining = draining }
}

// WithConfigLoaded tells that the configuration was received.
func WithConfigLoaded(loaded bool) SnapshotOption {
	return func(s *Snapshot) { s.configLoaded = loaded }
}

// WithLiveInstances sets the number of live instances.
func WithLiveInstances(entries int) SnapshotOption {
	return func(s *Snapshot) { s.liveInstances = entries }
}

// WithLocalLedger sets the ledger that keeps answers in this data centre while their
// home ledger is out of reach.
func WithLocalLedger(local ledger.ID) SnapshotOption {
	return func(s *Snapshot) { s.localLedger = local }
}

// NewSnapshot returns a snapshot of the configuration, the backend servers
// that take new work, and the configured home ledgers.
func NewSnapshot(view *config.View, targets []Target, homes []ledger.ID, options ...SnapshotOption) *Snapshot {
	s := &Snapshot{config: view, targets: targets, homes: homes, liveInstances: 1}
	for _, option := range options {
		option(s)
	}
	return s
}

// Config returns the followed configuration.
func (s *Snapshot) Config() *config.View { return s.config }

// Targets returns the backend servers that take new work.
func (s *Snapshot) Targets() []Target { return s.targets }

// Homes returns the configured home ledgers.
func (s *Snapshot) Homes() []ledger.ID { return s.homes }

// Crashes returns the crash count of a fingerprint.
func (s *Snapshot) Crashes(fingerprint uint64) int { return s.crashes[fingerprint] }

// LiveInstances returns the number of live instances, at least one.
func (s *Snapshot) LiveInstances() int { return max(s.liveInstances, 1) }

// LocalLedger returns the local ledger of this data centre, or nothing.
func (s *Snapshot) LocalLedger() ledger.ID { return s.localLedger }

// ConfigLoaded reports whether the configuration was received since the start.
func (s *Snapshot) ConfigLoaded() bool { return s.configLoaded }

// Draining reports whether the instance shuts down.
func (s *Snapshot) Draining() bool { return s.draining }
