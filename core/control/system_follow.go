package control

import (
	"slices"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// pullState is the state of this instance's configuration pulls.
type pullState struct {
	number   uint64 // number of the newest pull
	upstream string
	failures int // consecutive pulls without an update
}

// heldPullKey is the instance that sent a pull.
type heldPullKey struct {
	from string
}

// heldPullRow is a pull that is held until there is a newer revision.
type heldPullRow struct {
	pull  ConfigPull
	until time.Time
}

// configWorld is the sub-world that keeps the local copy of the configuration up
// to date and answers the pulls of other instances.
type configWorld struct {
	self       string
	dataCentre string
	members    *member.World
	hosts      *hostWorld
	calls      *callWorld
	tick       *tickState
	packetTo   func(to string) *Packet

	view      *config.View
	pulling   pullState
	heldPulls *table.Table[heldPullKey, heldPullRow]
	loaded    bool // the configuration was received since the start
	due       *timer.Subscription
}

// newConfigWorld returns the sub-world with an empty configuration.
func newConfigWorld(members *member.World, hosts *hostWorld, tick *tickState, packetTo func(to string) *Packet) *configWorld {
	return &configWorld{self: members.Self().Name(), dataCentre: members.Self().DataCentre(), members: members,
		hosts: hosts, calls: hosts.calls, tick: tick, packetTo: packetTo,
		view: config.NewView(0, nil), heldPulls: table.New[heldPullKey, heldPullRow]()}
}

// subscribe registers the timer for pulls.
func (w *configWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("pull", w.pull)
	w.due.Arm(now)
}

// updateFromLedger updates the view from the configuration ledger if this instance
// hosts it.
func (w *configWorld) updateFromLedger() {
	if w.hosts.configState == nil {
		return
	}
	if !w.loaded && w.hosts.ledgers.CaughtUp(ConfigLedger) {
		w.loaded, w.tick.snapshotStale = true, true
	}
	if w.hosts.configState.Revision() <= w.view.Revision() {
		return
	}
	changed, ok := w.hosts.configState.ChangedSince(w.view.Revision())
	if !ok {
		changed = w.hosts.configState.Objects()
	}
	w.advance(w.hosts.configState.Revision(), changed)
}

// advance updates the view to a newer revision.
func (w *configWorld) advance(revision uint64, changed []config.Object) {
	next := w.view.Advance(revision, changed)
	if next != w.view {
		w.view, w.tick.snapshotStale = next, true
	}
}

// pull requests a newer configuration from the upstream. If the previous pull got
// no update in time, it selects the next upstream.
func (w *configWorld) pull(now time.Time) {
	if w.hosts.configState != nil {
		return
	}
	if w.pulling.upstream != "" {
		w.pulling.failures++
	}
	w.pulling.number++
	w.pulling.upstream = w.pickUpstream()
	w.due.Arm(now.Add(pullTimeout))
	if w.pulling.upstream != "" {
		p := w.packetTo(w.pulling.upstream)
		p.configPulls = append(p.configPulls, NewConfigPull(w.pulling.number, w.view.Revision()))
	}
}

// pickUpstream returns the instance to pull from, or the empty string. One instance
// of the data centre, the relay, pulls from the hosts of the configuration ledger.
// The other instances pull from the relay, or from the hosts while the relay does
// not respond. Hosts in the same data centre come first.
func (w *configWorld) pickUpstream() string {
	var sources []string
	if relay := w.relay(); relay != w.self {
		sources = append(sources, relay)
	}
	hosts := slices.Clone(w.calls.replicasOf(ConfigLedger))
	distance := func(name string) int {
		if i, ok := w.members.Get(name); ok && i.DataCentre() == w.dataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(hosts, func(a, b string) int { return distance(a) - distance(b) })
	for _, host := range hosts {
		if w.calls.reachable(host) && host != w.self {
			sources = append(sources, host)
		}
	}
	if len(sources) == 0 {
		return ""
	}
	return sources[w.pulling.failures%len(sources)]
}

// relay returns the alive instance of the data centre whose name sorts first.
func (w *configWorld) relay() string {
	relay := w.self
	for _, i := range w.members.Instances() {
		if i.DataCentre() == w.dataCentre && i.State() == member.StateAlive && i.Name() < relay {
			relay = i.Name()
		}
	}
	return relay
}

// receiveUpdate applies an update that is full or answers the newest pull. If it
// answers the newest pull, the next pull is sent.
func (w *configWorld) receiveUpdate(now time.Time, from string, update ConfigUpdate) {
	if update.full || update.number == w.pulling.number {
		w.advance(update.revision, update.objects)
		w.tick.snapshotStale = w.tick.snapshotStale || !w.loaded
		w.loaded = true
	}
	if update.number == w.pulling.number && from == w.pulling.upstream {
		w.pulling.failures, w.pulling.upstream = 0, ""
		w.due.Arm(now)
		w.tick.runAgain = true
	}
}

// answerPulls answers the pulls for which there is a newer revision and those that
// were held for maxPullWait. It answers none before the configuration is loaded.
func (w *configWorld) answerPulls(now time.Time) {
	w.heldPulls.Each(func(key heldPullKey, row *heldPullRow) {
		if !w.loaded || w.view.Revision() <= row.pull.revision && now.Before(row.until) {
			w.calls.due.ArmBefore(row.until)
			return
		}
		w.heldPulls.Remove(key)
		p := w.packetTo(key.from)
		p.configUpdates = append(p.configUpdates, w.updateFor(row.pull))
	})
}

// updateFor returns the update that answers a pull.
func (w *configWorld) updateFor(pull ConfigPull) ConfigUpdate {
	revision := w.view.Revision()
	var changed []config.Object
	for _, o := range w.view.Objects() {
		if o.Revision() > pull.revision {
			changed = append(changed, o)
		}
	}
	return NewConfigUpdate(pull.number, revision, pull.revision == 0, changed)
}
