package control

import (
	"slices"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/member"
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
	pull  Pull
	until time.Time
}

// followHosted advances the view of an instance that hosts the configuration
// ledger.
func (w *World) followHosted(_ time.Time) {
	if w.configState == nil {
		return
	}
	if !w.loaded && w.ledgers.CaughtUp(ConfigLedger) {
		w.loaded, w.stale = true, true
	}
	if w.configState.Revision() <= w.view.Revision() {
		return
	}
	changed, ok := w.configState.Since(w.view.Revision())
	if !ok {
		changed = w.configState.Objects()
	}
	w.advance(w.configState.Revision(), changed)
}

// advance takes a newer revision into force.
func (w *World) advance(revision uint64, changed []config.Object) {
	next := w.view.Advance(revision, changed)
	if next != w.view {
		w.view, w.stale = next, true
	}
}

// pull asks the upstream for newer configuration. A pull without an answer in
// time moves on to the next upstream.
func (w *World) pull(now time.Time) {
	if w.configState != nil {
		return
	}
	if w.follow.upstream != "" {
		w.follow.failures++
	}
	w.follow.number++
	w.follow.upstream = w.pickUpstream()
	w.pullDue.Arm(now.Add(pullTimeout))
	if w.follow.upstream != "" {
		p := w.out(w.follow.upstream)
		p.pulls = append(p.pulls, NewPull(w.follow.number, w.view.Revision()))
	}
}

// pickUpstream returns the instance to pull from. One instance of the data
// centre, the relay, pulls from the hosts of the configuration ledger; the
// others pull from the relay, or from the hosts while the relay is silent.
func (w *World) pickUpstream() string {
	var sources []string
	if relay := w.relay(); relay != w.name {
		sources = append(sources, relay)
	}
	hosts := slices.Clone(w.replicasOf(ConfigLedger))
	near := func(name string) int {
		if i, ok := w.members.Get(name); ok && i.DataCentre() == w.dataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(hosts, func(a, b string) int { return near(a) - near(b) })
	for _, host := range hosts {
		if w.reachable(host) && host != w.name {
			sources = append(sources, host)
		}
	}
	if len(sources) == 0 {
		return ""
	}
	return sources[w.follow.failures%len(sources)]
}

// relay returns the first live instance of the data centre by name.
func (w *World) relay() string {
	relay := w.name
	for _, i := range w.members.Instances() {
		if i.DataCentre() == w.dataCentre && i.State() == member.StateAlive && i.Name() < relay {
			relay = i.Name()
		}
	}
	return relay
}

// receivePush takes the answer to the newest pull and pulls again.
func (w *World) receivePush(now time.Time, from string, push Push) {
	if push.full || push.number == w.follow.number {
		w.advance(push.revision, push.objects)
		w.stale = w.stale || !w.loaded
		w.loaded = true
	}
	if push.number == w.follow.number && from == w.follow.upstream {
		w.follow.failures, w.follow.upstream = 0, ""
		w.pullDue.Arm(now)
		w.again = true
	}
}

// servePulls answers pulls that have something newer or were held long enough.
func (w *World) servePulls(now time.Time) {
	w.pulls.Each(func(key pullKey, row *pullRow) {
		if !w.loaded || w.view.Revision() <= row.pull.revision && now.Before(row.until) {
			w.routeDue.ArmBefore(row.until)
			return
		}
		w.pulls.Remove(key)
		p := w.out(key.from)
		p.pushes = append(p.pushes, w.pushSince(row.pull))
	})
}

// pushSince builds the answer to a pull.
func (w *World) pushSince(pull Pull) Push {
	revision := w.view.Revision()
	var changed []config.Object
	for _, o := range w.view.Objects() {
		if o.Revision() > pull.revision {
			changed = append(changed, o)
		}
	}
	return NewPush(pull.number, revision, pull.revision == 0, changed)
}
