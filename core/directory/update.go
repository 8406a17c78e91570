package directory

import (
	"slices"
	"time"

	"papayaquay/core/member"
)

// Update contains the rows of a directory that changed since some version.
// Versions grow within an epoch; the epoch changes when the sender restarts.
type Update struct {
	epoch    uint64
	version  uint64
	full     bool
	nodes    []Instance
	backends []member.Backend
	stale    []string
}

// UpdateOption sets optional fields of an update.
type UpdateOption func(*Update)

// WithStale sets the ids of the stale ones among the update's backend servers.
func WithStale(ids []string) UpdateOption { return func(u *Update) { u.stale = ids } }

// WithFull sets whether the update is full, that is, contains all rows of the
// sender instead of the changed ones.
func WithFull(full bool) UpdateOption { return func(u *Update) { u.full = full } }

// NewUpdate returns an update that leads to a version within an epoch.
func NewUpdate(epoch, version uint64, nodes []Instance, backends []member.Backend, options ...UpdateOption) Update {
	u := Update{epoch: epoch, version: version, nodes: nodes, backends: backends}
	for _, option := range options {
		option(&u)
	}
	return u
}

// Epoch identifies the run of the sender in which the versions are counted.
func (u Update) Epoch() uint64 { return u.epoch }

// Version returns the version that the update leads to.
func (u Update) Version() uint64 { return u.version }

// Full reports whether the update contains all rows of the sender.
func (u Update) Full() bool { return u.full }

// Instances returns the changed instances.
func (u Update) Instances() []Instance { return u.nodes }

// Backends returns the changed backend servers.
func (u Update) Backends() []member.Backend { return u.backends }

// Stale returns the ids of the stale ones among the update's backend servers.
func (u Update) Stale() []string { return u.stale }

// Merge merges an update from another instance.
func (w *World) Merge(now time.Time, u Update) {
	for _, n := range u.nodes {
		w.UpdateInstance(now, n)
	}
	for _, b := range u.backends {
		announcedAt := now
		if slices.Contains(u.stale, b.ID()) {
			announcedAt = now.Add(-staleAfter)
		}
		w.upsert(now, announcedAt, b, false)
	}
	if !w.detectsStale {
		w.mergeStale(now, u)
	}
}

// Since returns an update with the rows that changed after a version of this
// instance's epoch. The update is full if the epoch differs or the version is 0.
// detectsStale tells whether the receiver detects stale servers by itself; its
// update also contains servers that announced themselves again without a change.
// Entry instances are never part of an update.
func (w *World) Since(epoch, version uint64, detectsStale bool) Update {
	if epoch != w.epoch {
		version = 0
	}
	u := Update{epoch: w.epoch, version: w.version, full: version == 0}
	w.nodes.Each(func(_ string, row *nodeRow) {
		if row.version > version && row.node.role != RoleEntry {
			u.nodes = append(u.nodes, row.node)
		}
	})
	w.backends.Each(func(id string, row *backendRow) {
		if row.changedVersion > version || (detectsStale && row.refreshedVersion > version) {
			u.backends = append(u.backends, row.backend)
			if row.stale {
				u.stale = append(u.stale, id)
			}
		}
	})
	return u
}
