package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
)

// Timing and size of the choice of the initial members of the jobs ledger.
const (
	initialMembersWait    = 1200 * time.Millisecond // time for further store instances to join
	initialMembersRetry   = 2 * time.Second
	initialMembersCount   = 3 // instances to wait for, until initialMembersMaxWait has passed
	initialMembersMaxWait = 5 * time.Second
)

// registryHost holds the state of a control instance: the applied state of the
// control ledger and the choice of the initial members of the jobs ledger.
type registryHost struct {
	state           *registry.State
	leftIncarnation map[string]uint64 // last incarnation that left, by backend server
	firstStoreAt    time.Time         // when the first store instance was seen
	proposedAt      time.Time
}

// newRegistryHost returns the initial state.
func newRegistryHost() *registryHost {
	return &registryHost{state: registry.New(), leftIncarnation: make(map[string]uint64)}
}

// hasLeft reports whether it is committed that this incarnation of a server, or
// a later one, left.
func (h *registryHost) hasLeft(b registry.LeavingBackend) bool {
	left, ok := h.leftIncarnation[b.Backend()]
	return ok && b.Incarnation() <= left
}

// recordLeave records a committed leave in leftIncarnation and in the directory.
func (w *World) recordLeave(b registry.LeavingBackend) {
	w.registry.leftIncarnation[b.Backend()] = max(w.registry.leftIncarnation[b.Backend()], b.Incarnation())
	w.directory.MarkLeaving(w.now, b.Backend(), b.Incarnation())
}

// applyRegistry applies a committed command.
func (w *World) applyRegistry(entry ledger.Entry) (call.Status, error) {
	command, err := w.codec.Registry.Decode(entry.Payload())
	if err != nil {
		return 0, err
	}
	w.registry.state.Apply(command)
	if b := command.Leaving(); b.Backend() != "" {
		w.recordLeave(b)
	}
	w.setDocument(w.registry.state.Document(), "ledger")
	return call.StatusDone, nil
}

// restoreRegistry replaces the state by the content of a snapshot.
func (w *World) restoreRegistry(data []byte) error {
	state, err := w.codec.RegistryState.Decode(data)
	if err != nil {
		return err
	}
	w.registry.state = state
	w.registry.leftIncarnation = make(map[string]uint64)
	for _, b := range state.Leaving() {
		w.recordLeave(b)
	}
	w.setDocument(state.Document(), "snapshot")
	return nil
}

// proposeInitialMembers proposes the initial members of the jobs ledger when
// enough store instances are known, or the wait for them is over. It does
// nothing once the initial members are committed.
func (w *World) proposeInitialMembers(now time.Time) {
	h := w.registry
	if h == nil || len(h.state.InitialMembers()) > 0 || !w.ledgers.Leads(now, ControlLedger) {
		return
	}
	var candidates []directory.Instance
	for _, n := range w.directory.Instances(directory.RoleStore) {
		if n.Uninitialized() && n.Replica() != "" {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) == 0 {
		h.firstStoreAt = time.Time{}
		return
	}
	if h.firstStoreAt.IsZero() {
		h.firstStoreAt = now
	}
	wait := initialMembersWait
	if len(candidates) < initialMembersCount {
		wait = initialMembersMaxWait
	}
	if now.Sub(h.firstStoreAt) < wait || now.Sub(h.proposedAt) < initialMembersRetry {
		return
	}
	h.proposedAt = now
	members := chooseMembers(candidates, initialMembersCount)
	payload, err := w.codec.Registry.Encode(registry.SetInitialMembers(members))
	if err == nil {
		_, _, err = w.ledgers.Propose(ControlLedger, payload)
	}
	event.InitialMembersProposed.Log(w.logger, "stores", len(candidates), "chosen", len(members), "error", err)
}

// chooseMembers chooses up to count instances, first one from each data centre.
func chooseMembers(instances []directory.Instance, count int) []ledger.Member {
	var members []ledger.Member
	chosen := make(map[string]bool)
	usedDataCentre := make(map[string]bool)
	for _, repeat := range []bool{false, true} {
		for _, n := range instances {
			if len(members) >= count || chosen[n.Address()] || (usedDataCentre[n.DataCentre()] && !repeat) {
				continue
			}
			chosen[n.Address()], usedDataCentre[n.DataCentre()] = true, true
			members = append(members, ledger.NewMember(ledger.ReplicaID(n.Replica()), n.Address(), true))
		}
	}
	return members
}
