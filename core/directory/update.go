package directory

import (
	"slices"
	"time"

	"papayaquay/core/member"
)

// Update is a set of rows that changed at one instance. Versions count within
// an epoch, which changes when that instance restarts.
type Update struct {
	epoch    uint64
	version  uint64
	full     bool
	nodes    []Node
	backends []member.Backend
	stale    []string
}

// UpdateOption sets optional fields of an update.
type UpdateOption func(*Update)

// WithStale names those of the backend servers that are silent.
func WithStale(ids []string) UpdateOption { return func(u *Update) { u.stale = ids } }

// WithFull tells that the update names all that its instance knows.
func WithFull(whole bool) UpdateOption { return func(u *Update) { u.full = whole } }

// NewUpdate returns an update.
func NewUpdate(epoch, version uint64, nodes []Node, backends []member.Backend, options ...UpdateOption) Update {
	u := Update{epoch: epoch, version: version, nodes: nodes, backends: backends}
	for _, option := range options {
		option(&u)
	}
	return u
}

// Epoch identifies the run of the instance that counts the versions.
func (u Update) Epoch() uint64 { return u.epoch }

// Version returns the version that the update leads to.
func (u Update) Version() uint64 { return u.version }

// Full reports that the update names all that its instance knows.
func (u Update) Full() bool { return u.full }

// Nodes returns the changed instances.
func (u Update) Nodes() []Node { return u.nodes }

// Backends returns the changed backend servers.
func (u Update) Backends() []member.Backend { return u.backends }

// Stale returns the ids of those of the servers that are silent.
func (u Update) Stale() []string { return u.stale }

// Merge merges an update of another instance.
func (w *World) Merge(now time.Time, u Update) {
	for _, n := range u.nodes {
		w.UpdateNode(now, n)
	}
	for _, b := range u.backends {
		heard := now
		if slices.Contains(u.stale, b.ID()) {
			heard = now.Add(-silentAfter)
		}
		w.accept(now, heard, b, false)
	}
	if !w.hears {
		w.takeSilence(now, u)
	}
}

// Since returns what changed after a version of this instance's epoch; from
// another epoch everything is new. An asker that judges silence by itself also
// gets the servers that were heard again without any change.
func (w *World) Since(epoch, version uint64, judges bool) Update {
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
		if row.changed > version || (judges && row.refreshed > version) {
			u.backends = append(u.backends, row.backend)
			if row.silent {
				u.stale = append(u.stale, id)
			}
		}
	})
	return u
}
