package control

import (
	"slices"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// followRow is this instance's place in the spreading of the configuration.
type followRow struct {
	number   uint64 // number of the newest pull
	upstream string
	failures int // pulls in a row without an answer
}

// pullKey names the instance that pulls.
type pullKey struct {
	from string
}

// pullRow is a pull held until there is something newer.
type pullRow struct {
	pull  ConfigPull
	until time.Time
}

// configWorld is the sub-world that follows the configuration and passes it on.
type configWorld struct {
	self       string
	dataCentre string
	members    *member.World
	hosts      *hostWorld
	calls      *callWorld
	tick       *tickState
	out        func(to string) *Packet

	view   *config.View
	follow followRow
	pulls  *table.Table[pullKey, pullRow]
	loaded bool // the configuration was received since the start
	due    *timer.Subscription
}

// newConfigWorld returns the sub-world with an empty configuration.
func newConfigWorld(members *member.World, hosts *hostWorld, tick *tickState, out func(to string) *Packet) *configWorld {
	return &configWorld{self: members.Self().Name(), dataCentre: members.Self().DataCentre(), members: members,
		hosts: hosts, calls: hosts.calls, tick: tick, out: out,
		view: config.NewView(0, nil), pulls: table.New[pullKey, pullRow]()}
}

// subscribe registers what acts on deadlines.
func (w *configWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("pull", w.pull)
	w.due.Arm(now)
}

// followHosted advances the view of an instance that hosts the configuration
// ledger.
func (w *configWorld) followHosted() {
	if w.hosts.config == nil {
		return
	}
	if !w.loaded && w.hosts.ledgers.CaughtUp(ConfigLedger) {
		w.loaded, w.tick.stale = true, true
	}
	if w.hosts.config.Revision() <= w.view.Revision() {
		return
	}
	changed, ok := w.hosts.config.ChangedSince(w.view.Revision())
	if !ok {
		changed = w.hosts.config.Objects()
	}
	w.advance(w.hosts.config.Revision(), changed)
}

// advance takes a newer revision into force.
func (w *configWorld) advance(revision uint64, changed []config.Object) {
	next := w.view.Advance(revision, changed)
	if next != w.view {
		w.view, w.tick.stale = next, true
	}
}

// pull asks the upstream for newer configuration. A pull without an answer in
// time moves on to the next upstream.
func (w *configWorld) pull(now time.Time) {
	if w.hosts.config != nil {
		return
	}
	if w.follow.upstream != "" {
		w.follow.failures++
	}
	w.follow.number++
	w.follow.upstream = w.pickUpstream()
	w.due.Arm(now.Add(pullTimeout))
	if w.follow.upstream != "" {
		p := w.out(w.follow.upstream)
		p.configPulls = append(p.configPulls, NewConfigPull(w.follow.number, w.view.Revision()))
	}
}

// pickUpstream returns the instance to pull from. One instance of the data
// centre, the relay, pulls from the hosts of the configuration ledger; the
// others pull from the relay, or from the hosts while the relay is silent.
func (w *configWorld) pickUpstream() string {
	var sources []string
	if relay := w.relay(); relay != w.self {
		sources = append(sources, relay)
	}
	hosts := slices.Clone(w.calls.replicasOf(ConfigLedger))
	near := func(name string) int {
		if i, ok := w.members.Get(name); ok && i.DataCentre() == w.dataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(hosts, func(a, b string) int { return near(a) - near(b) })
	for _, host := range hosts {
		if w.calls.reachable(host) && host != w.self {
			sources = append(sources, host)
		}
	}
	if len(sources) == 0 {
		return ""
	}
	return sources[w.follow.failures%len(sources)]
}

// relay returns the first live instance of the data centre by name.
func (w *configWorld) relay() string {
	relay := w.self
	for _, i := range w.members.Instances() {
		if i.DataCentre() == w.dataCentre && i.State() == member.StateAlive && i.Name() < relay {
			relay = i.Name()
		}
	}
	return relay
}

// receivePush takes the answer to the newest pull and pulls again.
func (w *configWorld) receivePush(now time.Time, from string, push ConfigUpdate) {
	if push.full || push.number == w.follow.number {
		w.advance(push.revision, push.objects)
		w.tick.stale = w.tick.stale || !w.loaded
		w.loaded = true
	}
	if push.number == w.follow.number && from == w.follow.upstream {
		w.follow.failures, w.follow.upstream = 0, ""
		w.due.Arm(now)
		w.tick.again = true
	}
}

// servePulls answers pulls that have something newer or were held long enough.
func (w *configWorld) servePulls(now time.Time) {
	w.pulls.Each(func(key pullKey, row *pullRow) {
		if !w.loaded || w.view.Revision() <= row.pull.revision && now.Before(row.until) {
			w.calls.due.ArmBefore(row.until)
			return
		}
		w.pulls.Remove(key)
		p := w.out(key.from)
		p.configUpdates = append(p.configUpdates, w.pushSince(row.pull))
	})
}

// pushSince builds the answer to a pull.
func (w *configWorld) pushSince(pull ConfigPull) ConfigUpdate {
	revision := w.view.Revision()
	var changed []config.Object
	for _, o := range w.view.Objects() {
		if o.Revision() > pull.revision {
			changed = append(changed, o)
		}
	}
	return NewConfigUpdate(pull.number, revision, pull.revision == 0, changed)
}
