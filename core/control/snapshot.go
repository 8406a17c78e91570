package control

import (
	"sync/atomic"

	"papayaquay/core/config"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// Usage counts the running requests of this instance on one backend server. The
// traffic threads change the counters and the control thread reads them.
type Usage struct {
	online atomic.Int32
	batch  atomic.Int32
}

// OnlineRequests returns the counter of online requests.
func (u *Usage) Online() *atomic.Int32 { return &u.online }

// BatchItems returns the counter of batch items.
func (u *Usage) Batch() *atomic.Int32 { return &u.batch }

// Target is a backend server to which traffic threads send requests.
type Target struct {
	backend        member.Backend
	usage          *Usage
	sameDataCentre bool
}

// NewTarget returns a target. sameDataCentre reports whether the server is in the
// data centre of this instance.
func NewTarget(backend member.Backend, usage *Usage, sameDataCentre bool) Target {
	return Target{backend: backend, usage: usage, sameDataCentre: sameDataCentre}
}

// Backend returns the backend server.
func (t Target) Backend() member.Backend { return t.backend }

// Usage returns the counts of running requests of this instance.
func (t Target) Usage() *Usage { return t.usage }

// SameDataCentre reports whether the server is in the data centre of this instance.
func (t Target) SameDataCentre() bool { return t.sameDataCentre }

// Snapshot is the immutable state that the control thread publishes to the traffic
// threads.
type Snapshot struct {
	config        *config.View
	targets       []Target
	homes         []ledger.ID
	crashes       map[uint64]int
	draining      bool
	loaded        bool
	liveInstances int
	localLedger   ledger.ID
}

// SnapshotOption sets fields of a snapshot.
type SnapshotOption func(*Snapshot)

// WithCrashes sets the crash counts of fingerprints.
func WithCrashes(crashes map[uint64]int) SnapshotOption {
	return func(s *Snapshot) { s.crashes = crashes }
}

// WithDraining sets whether the instance is shutting down.
func WithDraining(draining bool) SnapshotOption {
	return func(s *Snapshot) { s.draining = draining }
}

// WithConfigLoaded sets whether the configuration was received since the start.
func WithConfigLoaded(loaded bool) SnapshotOption { return func(s *Snapshot) { s.loaded = loaded } }

// WithLiveInstances sets the number of live instances.
func WithLiveInstances(n int) SnapshotOption { return func(s *Snapshot) { s.liveInstances = n } }

// WithLocalLedger sets the ledger that stores answers in this data centre while
// their home ledger is unreachable.
func WithLocalLedger(id ledger.ID) SnapshotOption { return func(s *Snapshot) { s.localLedger = id } }

// NewSnapshot returns a snapshot of the configuration, the backend servers that
// accept new work, and the configured home ledgers. The default is one live
// instance.
func NewSnapshot(view *config.View, targets []Target, homes []ledger.ID, options ...SnapshotOption) *Snapshot {
	s := &Snapshot{config: view, targets: targets, homes: homes, liveInstances: 1}
	for _, option := range options {
		option(s)
	}
	return s
}

// Config returns the configuration.
func (s *Snapshot) Config() *config.View { return s.config }

// Targets returns the backend servers that accept new work.
func (s *Snapshot) Targets() []Target { return s.targets }

// Homes returns the configured home ledgers.
func (s *Snapshot) Homes() []ledger.ID { return s.homes }

// Crashes returns the crash count of a fingerprint.
func (s *Snapshot) Crashes(fingerprint uint64) int { return s.crashes[fingerprint] }

// LiveInstances returns the number of live instances, at least one.
func (s *Snapshot) LiveInstances() int { return max(s.liveInstances, 1) }

// LocalLedger returns the local ledger of this data centre, or the empty string.
func (s *Snapshot) LocalLedger() ledger.ID { return s.localLedger }

// ConfigLoaded reports whether the configuration was received since the start.
func (s *Snapshot) ConfigLoaded() bool { return s.loaded }

// Draining reports whether the instance is shutting down.
func (s *Snapshot) Draining() bool { return s.draining }
