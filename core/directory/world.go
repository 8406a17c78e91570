package directory

import (
	"time"

	"papayaquay/core/table"
)

// Timing of what the directory forgets.
const (
	silentAfter   = 5 * time.Second  // without an announcement of a backend server
	nodeExpiry    = 8 * time.Second  // without a word of an instance
	backendExpiry = 60 * time.Second // of silence of a backend server
	refreshEvery  = 2 * time.Second  // between changes for unchanged instances
	serverRefresh = time.Second      // between refreshes of unchanged servers
	forgetEvery   = 500 * time.Millisecond
)

// nodeRow is what is known of an instance.
type nodeRow struct {
	node    Node
	heard   time.Time
	told    time.Time
	version uint64
}

// World is the directory of one instance. It belongs to the control thread.
type World struct {
	epoch             uint64
	version           uint64
	urgentVersion     uint64 // version of the last change that cannot wait
	membershipVersion uint64 // grows when an instance comes or goes
	forgetAt          time.Time
	hears             bool // backend servers announce themselves here
	nodes             *table.Table[string, nodeRow]
	backends          *table.Table[string, backendRow]
	silences          map[uint64]silence // by the epoch of the instance that tells
}

// Option changes a directory at construction.
type Option func(*World)

// WithAnnouncements makes the directory judge by itself which servers are
// silent: backend servers announce themselves here, or at instances that pass
// every announcement on to this one.
func WithAnnouncements() Option { return func(w *World) { w.hears = true } }

// New returns an empty directory; epoch must differ between runs.
func New(epoch uint64, options ...Option) *World {
	w := &World{epoch: epoch, nodes: table.New[string, nodeRow](), backends: table.New[string, backendRow](),
		silences: make(map[uint64]silence)}
	for _, option := range options {
		option(w)
	}
	return w
}

// Epoch identifies the run that counts the versions.
func (w *World) Epoch() uint64 { return w.epoch }

// Version grows with every change.
func (w *World) Version() uint64 { return w.version }

// MembershipVersion grows when an instance comes or goes.
func (w *World) MembershipVersion() uint64 { return w.membershipVersion }

// UrgentVersion returns the version of the last change that followers must hear of at
// once: new and leaving servers, new instances and leaders.
func (w *World) UrgentVersion() uint64 { return w.urgentVersion }

// UpdateNode takes what an instance says of itself and reports whether it is news.
func (w *World) UpdateNode(now time.Time, n Node) bool {
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
	if row == nil {
		w.membershipVersion++
	}
	w.tell(now, w.nodes.Put(n.address, nodeRow{node: n, heard: now}))
	if n.role != RoleEntry {
		w.urgentVersion = w.version
	}
	return true
}

// tell makes a row part of the next update.
func (w *World) tell(now time.Time, row *nodeRow) {
	w.version++
	row.told, row.version = now, w.version
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
			w.membershipVersion++
		}
	})
	w.watch(now)
}

// Nodes returns the known instances of a kind.
func (w *World) Nodes(kind Role) []Node {
	var nodes []Node
	w.nodes.Each(func(_ string, row *nodeRow) {
		if row.node.role == kind {
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
func (w *World) Leader(kind Role) string {
	leader, term := "", uint64(0)
	w.nodes.Each(func(address string, row *nodeRow) {
		if row.node.role == kind && row.node.term > term {
			leader, term = address, row.node.term
		}
	})
	return leader
}
