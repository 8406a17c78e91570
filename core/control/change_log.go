package control

import (
	"log/slog"

	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
)

// loggedBackend is the state of a backend server that was logged last.
type loggedBackend struct {
	incarnation uint64
	leaving     bool
	gone        bool
}

// changeLogWorld is the sub-world that logs changes of instances, leaders and
// backend servers.
type changeLogWorld struct {
	logger   *slog.Logger
	members  *member.World
	ledgers  *ledger.World
	backends map[string]loggedBackend
	states   map[string]member.State
	leaders  map[ledger.ID]string
}

// newChangeLogWorld returns the sub-world with nothing logged.
func newChangeLogWorld(members *member.World, ledgers *ledger.World, logger *slog.Logger) *changeLogWorld {
	return &changeLogWorld{logger: logger, members: members, ledgers: ledgers, backends: make(map[string]loggedBackend),
		states: make(map[string]member.State), leaders: make(map[ledger.ID]string)}
}

// logInstances logs the instances whose state changed.
func (w *changeLogWorld) logInstances() {
	for _, i := range w.members.Instances() {
		if w.states[i.Name()] == i.State() || i.State() == 0 {
			continue
		}
		w.states[i.Name()] = i.State()
		event.InstanceChanged.Log(w.logger, "instance", i.Name(), "dc", i.DataCentre(), "state", i.State().String())
	}
}

// logLeaders logs the hosted ledgers whose leader changed.
func (w *changeLogWorld) logLeaders() {
	for _, l := range w.ledgers.Statuses() {
		if w.leaders[l.Ledger()] == l.Leader() {
			continue
		}
		w.leaders[l.Ledger()] = l.Leader()
		event.LeaderChanged.Log(w.logger, "ledger", l.Ledger(), "leader", l.Leader(), "term", l.Term())
	}
}

// logBackend logs when a backend server is added, is leaving or is gone.
func (w *changeLogWorld) logBackend(b member.Backend) {
	state := loggedBackend{incarnation: b.Incarnation(), leaving: b.Leaving(), gone: b.Gone()}
	if w.backends[b.ID()] == state {
		return
	}
	w.backends[b.ID()] = state
	switch {
	case state.gone:
		event.BackendGone.Log(w.logger, "backend", b.ID())
	case state.leaving:
		event.BackendLeaving.Log(w.logger, "backend", b.ID())
	default:
		event.BackendAdded.Log(w.logger, "backend", b.ID(), "address", b.Address(), "dc", b.DataCentre())
	}
}
