package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
)

// Timing of the choice of the founders of the jobs ledger.
const (
	foundingWait   = 1200 * time.Millisecond // for further store instances
	foundingRetry  = 2 * time.Second
	foundingEnough = 3 // founders that are waited for, unless foundingLate passed
	foundingLate   = 5 * time.Second
)

// registryCompactAfter is the number of applied entries before a snapshot.
const registryCompactAfter = 500

// registryHost is the sub-world of a control instance's state machine.
type registryHost struct {
	state     *registry.State
	left      map[string]uint64 // last start that ended, by server
	storeSeen time.Time         // of the first store instance
	proposed  time.Time
	encoding  bool
}

// newRegistryHost returns the sub-world in its initial state.
func newRegistryHost() *registryHost {
	return &registryHost{state: registry.New(), left: make(map[string]uint64)}
}

// departed reports whether it is committed that a start of a server, or a
// later one, ended.
func (h *registryHost) departed(d registry.LeavingBackend) bool {
	left, ok := h.left[d.Backend()]
	return ok && d.Incarnation() <= left
}

// noteDeparture notes a committed departure.
func (w *World) noteDeparture(d registry.LeavingBackend) {
	w.registry.left[d.Backend()] = max(w.registry.left[d.Backend()], d.Incarnation())
	w.directory.MarkLeaving(w.now, d.Backend(), d.Incarnation())
}

// applyRegistry applies a committed command.
func (w *World) applyRegistry(entry ledger.Entry) (call.Status, error) {
	command, err := w.codec.Registry.Decode(entry.Payload())
	if err != nil {
		return 0, err
	}
	w.registry.state.Apply(command)
	if d := command.Leaving(); d.Backend() != "" {
		w.noteDeparture(d)
	}
	w.setDocument(w.registry.state.Document(), "ledger")
	return call.StatusDone, nil
}

// restoreRegistry loads a snapshot.
func (w *World) restoreRegistry(data []byte) error {
	state, err := w.codec.RegistryState.Decode(data)
	if err != nil {
		return err
	}
	w.registry.state = state
	w.registry.left = make(map[string]uint64)
	for _, d := range state.Leaving() {
		w.noteDeparture(d)
	}
	w.setDocument(state.Document(), "snapshot")
	return nil
}

// found proposes the founders of the jobs ledger, once, when enough store
// instances follow.
func (w *World) found(now time.Time) {
	h := w.registry
	if h == nil || len(h.state.InitialMembers()) > 0 || !w.ledgers.Leads(now, ControlLedger) {
		return
	}
	var fresh []directory.Node
	for _, n := range w.directory.Nodes(directory.RoleStore) {
		if n.Fresh() && n.Replica() != "" {
			fresh = append(fresh, n)
		}
	}
	if len(fresh) == 0 {
		h.storeSeen = time.Time{}
		return
	}
	if h.storeSeen.IsZero() {
		h.storeSeen = now
	}
	wait := foundingWait
	if len(fresh) < foundingEnough {
		wait = foundingLate
	}
	if now.Sub(h.storeSeen) < wait || now.Sub(h.proposed) < foundingRetry {
		return
	}
	h.proposed = now
	members := spread(fresh, foundingEnough)
	payload, err := w.codec.Registry.Encode(registry.SetInitialMembers(members))
	if err == nil {
		_, _, err = w.ledgers.Propose(ControlLedger, payload)
	}
	event.InitialMembersProposed.Log(w.logger, "stores", len(fresh), "chosen", len(members), "error", err)
}

// spread picks members in different data centres first.
func spread(nodes []directory.Node, count int) []ledger.Member {
	var members []ledger.Member
	taken := make(map[string]bool)
	used := make(map[string]bool)
	for _, repeat := range []bool{false, true} {
		for _, n := range nodes {
			if len(members) >= count || taken[n.Address()] || (used[n.DataCentre()] && !repeat) {
				continue
			}
			taken[n.Address()], used[n.DataCentre()] = true, true
			members = append(members, ledger.NewMember(ledger.ReplicaID(n.Replica()), n.Address(), true))
		}
	}
	return members
}

// compact replaces the applied entries of the log by a snapshot, encoded off
// the control thread.
func (w *World) compact(id ledger.ID) {
	if w.registry != nil {
		h := w.registry
		if !h.encoding && w.ledgers.UncompactedEntries(id) > registryCompactAfter {
			h.encoding = true
			index := w.ledgers.Applied(id)
			state := registry.Restore(h.state.Document(), h.state.InitialMembers(), append([]registry.LeavingBackend(nil), h.state.Leaving()...))
			w.encode(id, index, func() ([]byte, error) { return w.codec.RegistryState.Encode(state) }, func() { h.encoding = false })
		}
		return
	}
	h := w.jobs
	if !h.encoding && w.ledgers.UncompactedEntries(id) > jobsCompactAfter {
		h.encoding = true
		index := w.ledgers.Applied(id)
		export := NewBatchSnapshot(h.state.Export(), h.state.RetiringInstances())
		w.encode(id, index, func() ([]byte, error) { return w.codec.BatchSnapshot.Encode(export) }, func() { h.encoding = false })
	}
}

// encode encodes a snapshot in the background and hands it to the ledger.
func (w *World) encode(id ledger.ID, index uint64, encode func() ([]byte, error), done func()) {
	w.background(func() {
		data, err := encode()
		w.post(Input{work: func() {
			done()
			if err != nil {
				event.SnapshotFailed.Log(w.logger, "ledger", id, "error", err)
				return
			}
			w.ledgers.Compact(id, index, data)
		}})
	})
}
