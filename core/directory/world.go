package directory

import (
	"time"

	"papayaquay/core/table"
)

// Expiry and refresh times.
const (
	staleAfter              = 5 * time.Second  // without an announcement, before a backend server is stale
	instanceExpiry          = 8 * time.Second  // without a description from an instance, before it is removed
	backendExpiry           = 60 * time.Second // without an announcement, before a backend server is removed
	instanceRefreshInterval = 2 * time.Second  // between updates for unchanged instances
	backendRefreshInterval  = time.Second      // between updates for unchanged backend servers
	expiryInterval          = 500 * time.Millisecond
)

// instanceRow is the state of an instance.
type instanceRow struct {
	instance    Instance
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
	instances         *table.Table[string, instanceRow]
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
	w := &World{epoch: epoch, instances: table.New[string, instanceRow](), backends: table.New[string, backendRow](),
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
// newer than the known one. Unchanged descriptions are published again every
// instanceRefreshInterval.
func (w *World) UpdateInstance(now time.Time, i Instance) bool {
	row := w.instances.Get(i.address)
	if row != nil && !i.newer(row.instance) {
		if i.incarnation == row.instance.incarnation {
			row.seenAt = now
			if now.Sub(row.publishedAt) > instanceRefreshInterval {
				w.markInstanceChanged(now, row)
			}
		}
		return false
	}
	if row == nil {
		w.membershipVersion++
	}
	w.markInstanceChanged(now, w.instances.Put(i.address, instanceRow{instance: i, seenAt: now}))
	if i.role != RoleEntry {
		w.urgentVersion = w.version
	}
	return true
}

// markInstanceChanged adds a row to the next update.
func (w *World) markInstanceChanged(now time.Time, row *instanceRow) {
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
	w.instances.Each(func(address string, row *instanceRow) {
		if now.Sub(row.seenAt) > instanceExpiry {
			w.instances.Remove(address)
			w.version++
			w.membershipVersion++
		}
	})
	w.updateStale(now)
}

// Instances returns the known instances with a role.
func (w *World) Instances(role Role) []Instance {
	var instances []Instance
	w.instances.Each(func(_ string, row *instanceRow) {
		if row.instance.role == role {
			instances = append(instances, row.instance)
		}
	})
	return instances
}

// Instance returns the instance with a peer address.
func (w *World) Instance(address string) (Instance, bool) {
	row := w.instances.Get(address)
	if row == nil {
		return Instance{}, false
	}
	return row.instance, true
}

// Leader returns the address of the instance with a role that leads its ledger in
// the highest known term, or the empty string if no leader is known.
func (w *World) Leader(role Role) string {
	leader, term := "", uint64(0)
	w.instances.Each(func(address string, row *instanceRow) {
		if row.instance.role == role && row.instance.term > term {
			leader, term = address, row.instance.term
		}
	})
	return leader
}
