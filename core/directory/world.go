package directory

import (
	"time"

	"papayaquay/core/member"
	"papayaquay/core/table"
)

// Timing of what the directory forgets.
const (
	DefaultSilence = 5 * time.Second  // after which a backend server counts as silent
	nodeExpiry     = 8 * time.Second  // without a word of an instance
	backendExpiry  = 60 * time.Second // without an announcement
	refreshEvery   = 2 * time.Second  // between changes for unchanged instances
	forgetEvery    = 500 * time.Millisecond
)

// nodeRow is what is known of an instance.
type nodeRow struct {
	node    Node
	heard   time.Time
	told    time.Time
	version uint64
}

// backendRow is what is known of a backend server.
type backendRow struct {
	backend member.Backend
	heard   time.Time
	version uint64
}

// Update is a set of rows that changed at one instance. Versions count within
// an epoch, which changes when that instance restarts.
type Update struct {
	epoch    uint64
	version  uint64
	nodes    []Node
	backends []member.Backend
}

// NewUpdate returns an update.
func NewUpdate(epoch, version uint64, nodes []Node, backends []member.Backend) Update {
	return Update{epoch: epoch, version: version, nodes: nodes, backends: backends}
}

// Epoch identifies the run of the instance that counts the versions.
func (u Update) Epoch() uint64 { return u.epoch }

// Version returns the version that the update leads to.
func (u Update) Version() uint64 { return u.version }

// Nodes returns the changed instances.
func (u Update) Nodes() []Node { return u.nodes }

// Backends returns the changed backend servers.
func (u Update) Backends() []member.Backend { return u.backends }

// World is the directory of one instance. It belongs to the control thread.
type World struct {
	epoch    uint64
	version  uint64
	urgent   uint64
	set      uint64 // grows when an instance comes or goes
	forgetAt time.Time
	silence  time.Duration
	nodes    *table.Table[string, nodeRow]
	backends *table.Table[string, backendRow]
}

// New returns an empty directory; epoch must differ between runs.
func New(epoch uint64) *World {
	return &World{epoch: epoch, silence: DefaultSilence,
		nodes: table.New[string, nodeRow](), backends: table.New[string, backendRow]()}
}

// Epoch identifies the run that counts the versions.
func (w *World) Epoch() uint64 { return w.epoch }

// Version grows with every change.
func (w *World) Version() uint64 { return w.version }

// Set grows when an instance comes or goes.
func (w *World) Set() uint64 { return w.set }

// Urgent grows with every change that followers must hear of at once: new and
// leaving servers, new instances and leaders.
func (w *World) Urgent() uint64 { return w.urgent }

// Hear takes what an instance says of itself and reports whether it is news.
func (w *World) Hear(now time.Time, n Node) bool {
	row := w.nodes.Get(n.address)
	if row != nil && !n.newer(row.node) {
		if n.incarnation == row.node.incarnation {
			row.heard = now
			if now.Sub(row.told) > refreshEvery {
				w.tell(now, row)
			}
		}
		return false
	}
	if n.kind != KindEntry {
		w.urgent++
	}
	if row == nil {
		w.set++
	}
	w.tell(now, w.nodes.Put(n.address, nodeRow{node: n, heard: now}))
	return true
}

// tell makes a row part of the next update.
func (w *World) tell(now time.Time, row *nodeRow) {
	w.version++
	row.told, row.version = now, w.version
}

// Announce takes what a backend server says of itself and reports whether it
// was newer than what was known. A server of an older start at the same
// address is gone.
func (w *World) Announce(now time.Time, b member.Backend) bool {
	row := w.backends.Get(b.ID())
	merged := b
	if row != nil {
		merged = row.backend.Merge(b)
		if !merged.Changed(row.backend) && merged.Incarnation() == row.backend.Incarnation() && merged.Sequence() == row.backend.Sequence() {
			return false
		}
	}
	news := row == nil || merged.Changed(row.backend)
	w.version++
	w.backends.Put(b.ID(), backendRow{backend: merged, heard: now, version: w.version})
	if news {
		w.urgent++
		w.vacate(merged)
	}
	return true
}

// vacate drops servers that held the address of a newer one before.
func (w *World) vacate(b member.Backend) {
	w.backends.Each(func(id string, row *backendRow) {
		if id == b.ID() || row.backend.Address() != b.Address() || row.backend.Gone() {
			return
		}
		older, incarnation := row, row.backend.Incarnation()
		if incarnation > b.Incarnation() {
			older = w.backends.Get(b.ID())
		}
		w.version++
		older.backend = older.backend.WithoutWork()
		older.version = w.version
	})
}

// Leave marks a server as leaving for good within an incarnation.
func (w *World) Leave(id string, incarnation uint64) {
	row := w.backends.Get(id)
	if row == nil || row.backend.Incarnation() > incarnation || row.backend.Leaving() {
		return
	}
	w.version++
	w.urgent++
	row.backend, row.version = row.backend.WithoutWork(), w.version
}

// Incarnation returns the known start of a server, or the default for one that
// is not known here.
func (w *World) Incarnation(id string, unknown uint64) uint64 {
	if row := w.backends.Get(id); row != nil {
		return row.backend.Incarnation()
	}
	return unknown
}

// Take merges an update of another instance.
func (w *World) Take(now time.Time, u Update) {
	for _, n := range u.nodes {
		w.Hear(now, n)
	}
	for _, b := range u.backends {
		w.Announce(now, b)
	}
}

// Since returns what changed after a version of this instance's epoch; from
// another epoch everything is new.
func (w *World) Since(epoch, version uint64) Update {
	if epoch != w.epoch {
		version = 0
	}
	u := Update{epoch: w.epoch, version: w.version}
	w.nodes.Each(func(_ string, row *nodeRow) {
		if row.version > version && row.node.kind != KindEntry {
			u.nodes = append(u.nodes, row.node)
		}
	})
	w.backends.Each(func(_ string, row *backendRow) {
		if row.version > version {
			u.backends = append(u.backends, row.backend)
		}
	})
	return u
}

// Run forgets what was not heard of for long.
func (w *World) Run(now time.Time) {
	if now.Before(w.forgetAt) {
		return
	}
	w.forgetAt = now.Add(forgetEvery)
	w.nodes.Each(func(address string, row *nodeRow) {
		if now.Sub(row.heard) > nodeExpiry {
			w.nodes.Remove(address)
			w.version++
			w.set++
		}
	})
	w.backends.Each(func(id string, row *backendRow) {
		if now.Sub(row.heard) > backendExpiry {
			w.backends.Remove(id)
			w.version++
		}
	})
}

// Nodes returns the known instances of a kind.
func (w *World) Nodes(kind Kind) []Node {
	var nodes []Node
	w.nodes.Each(func(_ string, row *nodeRow) {
		if row.node.kind == kind {
			nodes = append(nodes, row.node)
		}
	})
	return nodes
}

// Node returns an instance by address.
func (w *World) Node(address string) (Node, bool) {
	row := w.nodes.Get(address)
	if row == nil {
		return Node{}, false
	}
	return row.node, true
}

// Leader returns the address of the instance of a kind that leads its ledger
// in the highest term, as far as known.
func (w *World) Leader(kind Kind) string {
	leader, term := "", uint64(0)
	w.nodes.Each(func(address string, row *nodeRow) {
		if row.node.kind == kind && row.node.term > term {
			leader, term = address, row.node.term
		}
	})
	return leader
}

// Server is a backend server with what this instance knows of its silence.
type Server struct {
	backend member.Backend
	silent  bool
}

// Backend returns the server.
func (s Server) Backend() member.Backend { return s.backend }

// Silent reports that no announcement came for long.
func (s Server) Silent() bool { return s.silent }

// Servers returns the backend servers that may take new work.
func (w *World) Servers(now time.Time) []Server {
	var servers []Server
	w.backends.Each(func(_ string, row *backendRow) {
		if !row.backend.Leaving() && !row.backend.Gone() {
			servers = append(servers, Server{backend: row.backend, silent: now.Sub(row.heard) > w.silence})
		}
	})
	return servers
}
