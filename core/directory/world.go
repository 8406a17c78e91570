package directory

import (
	"time"

	"papayaquay/core/table"
)

// Expiry and refresh times.
const (
	staleAfter             = 5 * time.Second  // without an announcement, before a backend server is stale
	nodeExpiry             = 8 * time.Second  // without a description from an instance, before it is removed
	backendExpiry          = 60 * time.Second // without an announcement, before a backend server is removed
	nodeRefreshInterval    = 2 * time.Second  // between updates for unchanged instances
	backendRefreshInterval = time.Second      // between updates for unchanged backend servers
	expiryInterval         = 500 * time.Millisecond
)

// nodeRow is the state of an instance.
type nodeRow struct {
	node        Instance
	seenAt      time.Time
	publishedAt time.Time
	version     uint64
}

// World is the directory of one instance. Only the control thread may use it.
type World struct {
	epoch             uint64
	version           uint64
	urgentVersion     uint64 // version of the last urgent change; see UrgentVersion
	membershipVersion uint64 // grows when an instance joins or leaves
	nextExpiry        time.Time
	detectsStale      bool // by the time of announcements; see WithAnnouncements
	nodes             *table.Table[string, nodeRow]
	backends          *table.Table[string, backendRow]
	staleSets         map[uint64]staleSet // by the epoch of the upstream
}

// Option sets an optional parameter of a directory.
type Option func(*World)

// WithAnnouncements makes the directory detect stale servers by itself, from the
// time of their last announcement. It requires that backend servers announce
// themselves to this instance, or to instances that forward announcements to it.
func WithAnnouncements() Option { return func(w *World) { w.detectsStale = true } }

// New returns an empty directory. The epoch must differ between runs of the
// instance.
func New(epoch uint64, options ...Option) *World {
	w := &World{epoch: epoch, nodes: table.New[string, nodeRow](), backends: table.New[string, backendRow](),
		staleSets: make(map[uint64]staleSet)}
	for _, option := range options {
		option(w)
	}
	return w
}

// Epoch identifies the run of this instance in which the versions are counted.
func (w *World) Epoch() uint64 { return w.epoch }

// Version returns the number of the last change. It grows with every change.
func (w *World) Version() uint64 { return w.version }

// MembershipVersion returns a number that grows when an instance joins or leaves.
func (w *World) MembershipVersion() uint64 { return w.membershipVersion }

// UrgentVersion returns the version of the last change that must be sent to other
// instances at once: new, changed or leaving servers, and new or changed control
// and store instances, for example a new leader.
func (w *World) UrgentVersion() uint64 { return w.urgentVersion }

// UpdateInstance merges the description of an instance and reports whether it was
// newer than the known one. Unchanged nodes are published again every
// nodeRefreshInterval.
func (w *World) UpdateInstance(now time.Time, n Instance) bool {
	row := w.nodes.Get(n.address)
	if row != nil && !n.newer(row.node) {
		if n.incarnation == row.node.incarnation {
			row.seenAt = now
			if now.Sub(row.publishedAt) > nodeRefreshInterval {
				w.markNodeChanged(now, row)
			}
		}
		return false
	}
	if row == nil {
		w.membershipVersion++
	}
	w.markNodeChanged(now, w.nodes.Put(n.address, nodeRow{node: n, seenAt: now}))
	if n.role != RoleEntry {
		w.urgentVersion = w.version
	}
	return true
}

// markNodeChanged adds a row to the next update.
func (w *World) markNodeChanged(now time.Time, row *nodeRow) {
	w.version++
	row.publishedAt, row.version = now, w.version
}

// Run removes instances without a recent description, and updates which backend
// servers are stale.
func (w *World) Run(now time.Time) {
	if now.Before(w.nextExpiry) {
		return
	}
	w.nextExpiry = now.Add(expiryInterval)
	w.nodes.Each(func(address string, row *nodeRow) {
		if now.Sub(row.seenAt) > nodeExpiry {
			w.nodes.Remove(address)
			w.version++
			w.membershipVersion++
		}
	})
	w.updateStale(now)
}

// Instances returns the known instances with a role.
func (w *World) Instances(role Role) []Instance {
	var nodes []Instance
	w.nodes.Each(func(_ string, row *nodeRow) {
		if row.node.role == role {
			nodes = append(nodes, row.node)
		}
	})
	return nodes
}

// Instance returns the instance with a peer address.
func (w *World) Instance(address string) (Instance, bool) {
	row := w.nodes.Get(address)
	if row == nil {
		return Instance{}, false
	}
	return row.node, true
}

// Leader returns the address of the instance with a role that leads its ledger in
// the highest known term, or the empty string if no leader is known.
func (w *World) Leader(role Role) string {
	leader, term := "", uint64(0)
	w.nodes.Each(func(address string, row *nodeRow) {
		if row.node.role == role && row.node.term > term {
			leader, term = address, row.node.term
		}
	})
	return leader
}
