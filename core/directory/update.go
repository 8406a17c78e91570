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
	whole    bool
	nodes    []Node
	backends []member.Backend
	silent   []string
}

// UpdateOption sets optional fields of an update.
type UpdateOption func(*Update)

// WithSilent names those of the backend servers that are silent.
func WithSilent(ids []string) UpdateOption { return func(u *Update) { u.silent = ids } }

// WithWhole tells that the update names all that its instance knows.
func WithWhole(whole bool) UpdateOption { return func(u *Update) { u.whole = whole } }

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

// Whole reports that the update names all that its instance knows.
func (u Update) Whole() bool { return u.whole }

// Nodes returns the changed instances.
func (u Update) Nodes() []Node { return u.nodes }

// Backends returns the changed backend servers.
func (u Update) Backends() []member.Backend { return u.backends }

// Silent returns the ids of those of the servers that are silent.
func (u Update) Silent() []string { return u.silent }

// Take merges an update of another instance.
func (w *World) Take(now time.Time, u Update) {
	for _, n := range u.nodes {
		w.Hear(now, n)
	}
	for _, b := range u.backends {
		heard := now
		if slices.Contains(u.silent, b.ID()) {
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
	u := Update{epoch: w.epoch, version: w.version, whole: version == 0}
	w.nodes.Each(func(_ string, row *nodeRow) {
		if row.version > version && row.node.kind != KindEntry {
			u.nodes = append(u.nodes, row.node)
		}
	})
	w.backends.Each(func(id string, row *backendRow) {
		if row.changed > version || (judges && row.refreshed > version) {
			u.backends = append(u.backends, row.backend)
			if row.silent {
				u.silent = append(u.silent, id)
			}
		}
	})
	return u
}
