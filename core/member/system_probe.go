package member

import (
	"math/bits"
	"time"
)

// probeRandom probes one random reachable instance. It sends a digest to every
// seed that has not been heard from yet.
func (w *World) probeRandom(now time.Time) {
	w.probeDue.Arm(now.Add(w.probeInterval))
	var reachable []string
	w.instances.Each(func(name string, row *instanceRow) {
		if name == w.self.name {
			return
		}
		if row.seed {
			w.send(MessageDigest, name, WithDigests(w.digests()))
			return
		}
		if row.instance.Reachable() {
			reachable = append(reachable, name)
		}
	})
	if len(reachable) > 0 {
		w.probe(now, reachable[w.random.IntN(len(reachable))], "", 0)
	}
}

// probe sends a probe. requester is the instance that requested it and receives
// the ack; it is empty for this instance's own probes.
func (w *World) probe(now time.Time, target, requester string, requesterProbe uint64) {
	w.lastProbe++
	w.probes.Put(w.lastProbe, probeRow{target: target, number: w.lastProbe, requester: requester, requesterProbe: requesterProbe, sentAt: now})
	w.send(MessageProbe, target, WithProbe(w.lastProbe, target))
}

// probeDead sends a digest to one random dead instance, so that the end of a
// partition is detected.
func (w *World) probeDead(now time.Time) {
	w.deadProbeDue.Arm(now.Add(deadProbeInterval))
	var dead []string
	w.instances.Each(func(name string, row *instanceRow) {
		if row.instance.state == StateDead {
			dead = append(dead, name)
		}
	})
	if len(dead) > 0 {
		w.send(MessageDigest, dead[w.random.IntN(len(dead))], WithDigests(w.digests()))
	}
}

// sendDigest sends the digests of the tables to one random reachable instance.
func (w *World) sendDigest(now time.Time) {
	w.digestDue.Arm(now.Add(digestInterval))
	for _, name := range w.pickReachable(1, "", false) {
		w.send(MessageDigest, name, WithDigests(w.digests()))
	}
}

// pickReachable returns up to count random reachable instances other than
// except. If local is true, it returns only instances of this data centre.
func (w *World) pickReachable(count int, except string, local bool) []string {
	var names []string
	w.instances.Each(func(name string, row *instanceRow) {
		i := row.instance
		if name != w.self.name && name != except && !row.seed && i.Reachable() && (!local || i.dataCentre == w.self.dataCentre) {
			names = append(names, name)
		}
	})
	w.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}

// checkProbes requests indirect probes of a target that has not sent an ack
// within probeTimeout. It marks the target as suspect after two probe
// intervals.
func (w *World) checkProbes(now time.Time) {
	w.probes.Each(func(number uint64, p *probeRow) {
		age := now.Sub(p.sentAt)
		if p.requester == "" && !p.indirectSent && age >= probeTimeout {
			p.indirectSent = true
			for _, name := range w.pickReachable(indirectProbes, p.target, false) {
				w.send(MessageIndirectProbe, name, WithProbe(number, p.target))
			}
		}
		if age < 2*w.probeInterval {
			return
		}
		w.probes.Remove(number)
		if row := w.instances.Get(p.target); p.requester == "" && row != nil && row.instance.state == StateAlive {
			suspect := row.instance
			suspect.state = StateSuspect
			w.mergeInstance(now, suspect)
		}
	})
}

// checkSuspects marks suspects that did not refute in time as dead. It removes
// instances that have been dead or shut down for deadRetention.
func (w *World) checkSuspects(now time.Time) {
	w.instances.Each(func(name string, row *instanceRow) {
		age := now.Sub(row.stateSince)
		switch {
		case row.seed || name == w.self.name:
		case row.instance.state == StateSuspect && age > suspectProbes*w.probeInterval:
			dead := row.instance
			dead.state = StateDead
			w.mergeInstance(now, dead)
		case !row.instance.Reachable() && age > deadRetention:
			w.instances.Remove(name)
			w.version++
		}
	})
}

// send queues a message and adds rumors to it.
func (w *World) send(kind MessageKind, to string, options ...MessageOption) {
	instances, backends := w.takeRumors(to)
	options = append([]MessageOption{WithRows(instances, backends)}, options...)
	w.messages = append(w.messages, NewMessage(kind, w.self.name, to, options...))
}

// startRumor starts a rumor about a row. Rumors may be lost; the exchange of
// digests then transfers the row.
func (w *World) startRumor(key rumorKey, local bool) {
	if w.suppressRumors && key.id != w.self.name {
		return
	}
	group := w.instances.Len()
	if local {
		group = w.localInstances
	}
	w.rumors.Put(key, rumorRow{sendsLeft: 1 + bits.Len(uint(group)), local: local})
}

// takeRumors returns the rows for one message and decreases the number of
// remaining transmissions of each.
func (w *World) takeRumors(to string) ([]Instance, []Backend) {
	target := w.instances.Get(to)
	sameDataCentre := target != nil && target.instance.dataCentre == w.self.dataCentre
	var instances []Instance
	var backends []Backend
	w.rumors.Each(func(key rumorKey, rumor *rumorRow) {
		if len(instances)+len(backends) >= maxRumorsPerMessage || (rumor.local && !sameDataCentre) {
			return
		}
		if key.backend {
			if row := w.backends.Get(key.id); row != nil {
				backends = append(backends, row.backend)
			}
		} else if row := w.instances.Get(key.id); row != nil {
			instances = append(instances, row.instance)
		}
		rumor.sendsLeft--
		if rumor.sendsLeft <= 0 {
			w.rumors.Remove(key)
		}
	})
	return instances, backends
}
