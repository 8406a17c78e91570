package cluster

import (
	"papayaquay/core/directory"
	"papayaquay/core/routing"
	"papayaquay/core/usage"
)

// Snapshot is what the traffic thread and the front ends see of the control
// world. It never changes.
type Snapshot struct {
	config  *routing.Config
	servers []directory.Server
	loads   Loads
	stores  []directory.Node
	ready   bool
}

// NewSnapshot returns a snapshot; config is nil until one was received.
func NewSnapshot(config *routing.Config, servers []directory.Server, loads Loads) *Snapshot {
	return &Snapshot{config: config, servers: servers, loads: loads}
}

// Config returns the configuration in force, nil before one was received.
func (s *Snapshot) Config() *routing.Config { return s.config }

// Servers returns the backend servers that may take new work.
func (s *Snapshot) Servers() []directory.Server { return s.servers }

// HasLoads reports whether the loads of other instances are known.
func (s *Snapshot) HasLoads() bool { return s.loads != nil }

// Load returns what all instances run on a backend server, as last heard.
func (s *Snapshot) Load(backend string) usage.Load { return s.loads[backend] }

// Stores returns the known store instances.
func (s *Snapshot) Stores() []directory.Node { return s.stores }

// Ready reports whether the instance can serve callers.
func (s *Snapshot) Ready() bool { return s.ready }
