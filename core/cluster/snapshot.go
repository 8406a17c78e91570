package cluster

import (
	"maps"
	"time"

	"papayaquay/core/directory"
	"papayaquay/core/quarantine"
	"papayaquay/core/routing"
	"papayaquay/core/stream"
	"papayaquay/core/usage"
)

// Snapshot is the state of the control world for the traffic thread and the
// front ends. It never changes.
type Snapshot struct {
	config     *routing.Config
	servers    []directory.Server
	loads      Loads
	stores     []directory.Instance
	entries    int // known entry instances
	ready      bool
	staleness  time.Duration
	quarantine *quarantine.View
	versions   map[string]stream.VersionUse // by service
}

// NewSnapshot returns a snapshot; config is nil if no configuration has arrived
// yet.
func NewSnapshot(config *routing.Config, servers []directory.Server, loads Loads) *Snapshot {
	return &Snapshot{config: config, servers: servers, loads: loads, quarantine: quarantine.NewView(nil)}
}

// Config returns the configuration in force, or nil if none has arrived yet.
func (s *Snapshot) Config() *routing.Config { return s.config }

// Servers returns the backend servers that may take new work.
func (s *Snapshot) Servers() []directory.Server { return s.servers }

// HasLoads reports whether the loads of other instances are known.
func (s *Snapshot) HasLoads() bool { return s.loads != nil }

// Load returns the last known load of all other instances on a backend server.
func (s *Snapshot) Load(backend string) usage.Load { return s.loads[backend] }

// Stores returns the known store instances.
func (s *Snapshot) Stores() []directory.Instance { return s.stores }

// Entries returns the number of known entry instances, this one included.
func (s *Snapshot) Entries() int { return max(s.entries, 1) }

// WithEntries returns a copy of the snapshot with another number of entry instances.
func (s *Snapshot) WithEntries(count int) *Snapshot {
	changed := *s
	changed.entries = count
	return &changed
}

// Ready reports whether the instance can serve callers.
func (s *Snapshot) Ready() bool { return s.ready }

// Versions returns which software versions of a service's servers take requests.
func (s *Snapshot) Versions(service string) stream.VersionUse { return s.versions[service] }

// WithVersions returns a copy of the snapshot with another use of versions of a service.
func (s *Snapshot) WithVersions(service string, use stream.VersionUse) *Snapshot {
	changed := *s
	changed.versions = maps.Clone(s.versions)
	if changed.versions == nil {
		changed.versions = make(map[string]stream.VersionUse)
	}
	changed.versions[service] = use
	return &changed
}

// Staleness returns the age of the list of servers when the snapshot was published: the time
// since the last known contact of an upstream with the leader of the control ledger.
func (s *Snapshot) Staleness() time.Duration { return s.staleness }

// Quarantine returns the parts of prompts whose requests are rejected.
func (s *Snapshot) Quarantine() *quarantine.View { return s.quarantine }

// WithQuarantine returns a copy of the snapshot with other quarantined parts.
func (s *Snapshot) WithQuarantine(view *quarantine.View) *Snapshot {
	changed := *s
	changed.quarantine = view
	return &changed
}
