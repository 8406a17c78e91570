package member

import "time"

// Receive handles one message from another instance.
func (w *World) Receive(now time.Time, m Message) {
	w.lastContact = now
	// Don't spread rows from a sync: other instances compare their tables too.
	w.suppressRumors = m.kind == MessageSync
	defer func() { w.suppressRumors = false }()
	for _, i := range m.instances {
		w.mergeInstance(now, i)
	}
	for _, b := range m.backends {
		if m.kind != MessageAnnounce {
			w.mergeBackend(now, b, true)
		}
	}
	w.recordContact(now, m.from)
	switch m.kind {
	case MessageProbe:
		w.send(MessageAck, m.from, WithProbe(m.number, m.subject))
	case MessageAck:
		w.receiveAck(m)
	case MessageIndirectProbe:
		w.probe(now, m.subject, m.from, m.number)
	case MessageDigest:
		if buckets := w.differingBuckets(m.digests); len(buckets) > 0 {
			w.sendRows(m.from, buckets, false)
		}
	case MessageSync:
		if !m.reply {
			w.sendRows(m.from, m.buckets, true)
		}
	case MessageAnnounce:
		for _, b := range m.backends {
			w.recordAnnouncement(now, b)
		}
	}
}

// recordContact handles the arrival of a message from an instance. If the
// instance is seen as suspect or dead and the message is not a MessageSync, it
// starts a rumor about that, so that the instance hears of it and can refute. It
// moves stateSince forward to one probe interval ago, so that a suspect keeps all
// but one of its probe intervals to refute, and a dead instance that still sends
// messages is not removed.
func (w *World) recordContact(now time.Time, name string) {
	row := w.instances.Get(name)
	if row == nil {
		return
	}
	if row.instance.state == StateSuspect || row.instance.state == StateDead {
		w.startRumor(rumorKey{id: name}, false)
	}
	row.stateSince = maxTime(row.stateSince, now.Add(-w.probeInterval))
}

// receiveAck ends the probe. It forwards the ack if another instance requested
// the probe.
func (w *World) receiveAck(m Message) {
	probe := w.probes.Get(m.number)
	if probe == nil {
		return
	}
	if probe.requester != "" {
		w.send(MessageAck, probe.requester, WithProbe(probe.requesterProbe, probe.target))
	}
	w.probes.Remove(m.number)
}

// differingBuckets returns the buckets whose digests differ from the sender's.
func (w *World) differingBuckets(digests []uint64) []int {
	own := w.digests()
	var buckets []int
	for bucket := range own {
		if bucket >= len(digests) || own[bucket] != digests[bucket] {
			buckets = append(buckets, bucket)
		}
	}
	return buckets
}

// sendRows sends all rows of some buckets. The receiver answers with its own
// rows of these buckets unless reply is true.
func (w *World) sendRows(to string, buckets []int, reply bool) {
	wanted := make(map[int]bool, len(buckets))
	for _, bucket := range buckets {
		wanted[bucket] = true
	}
	var instances []Instance
	w.instances.Each(func(name string, row *instanceRow) {
		if !row.seed && wanted[bucketOf(name)] {
			instances = append(instances, row.instance)
		}
	})
	var backends []Backend
	w.backends.Each(func(id string, row *backendRow) {
		if wanted[bucketOf(id)] {
			backends = append(backends, row.backend)
		}
	})
	w.messages = append(w.messages, NewMessage(MessageSync, w.self.name, to,
		WithRows(instances, backends), WithBuckets(buckets), WithReply(reply)))
}

// mergeInstance stores a row if it is newer and spreads it as a rumor. If the
// row reports a wrong state of this instance, the instance refutes it with a
// higher incarnation.
func (w *World) mergeInstance(now time.Time, i Instance) {
	if i.name == w.self.name {
		if i.incarnation >= w.self.incarnation && i.state != w.self.state {
			w.self.incarnation = i.incarnation + 1
			w.instances.Put(w.self.name, instanceRow{instance: w.self, stateSince: now})
			w.startRumor(rumorKey{id: w.self.name}, false)
			w.version++
		}
		return
	}
	row := w.instances.Get(i.name)
	if row != nil && !row.seed && !i.newer(row.instance) {
		return
	}
	w.instances.Put(i.name, instanceRow{instance: i, stateSince: now})
	w.countLocalInstances()
	w.startRumor(rumorKey{id: i.name}, false)
	w.version++
}

// countLocalInstances counts the reachable instances in this data centre.
func (w *World) countLocalInstances() {
	w.localInstances = 0
	w.instances.Each(func(_ string, row *instanceRow) {
		if row.instance.dataCentre == w.self.dataCentre && row.instance.Reachable() {
			w.localInstances++
		}
	})
}

// Leave marks this instance as shut down and immediately tells some other
// instances.
func (w *World) Leave(now time.Time) {
	w.self.state = StateLeft
	w.instances.Put(w.self.name, instanceRow{instance: w.self, stateSince: now})
	w.version++
	for _, name := range w.pickReachable(indirectProbes, "", false) {
		w.messages = append(w.messages, NewMessage(MessageAck, w.self.name, name,
			WithRows([]Instance{w.self}, nil)))
	}
}

// maxTime returns the later time.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
