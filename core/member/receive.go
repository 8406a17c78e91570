package member

import "time"

// Receive takes one message from another instance.
func (w *World) Receive(now time.Time, m Message) {
	w.contact = now
	for _, i := range m.instances {
		w.learnInstance(now, i)
	}
	for _, b := range m.backends {
		w.learnBackend(now, b, false)
	}
	w.heard(now, m.from)
	switch m.kind {
	case MessageProbe:
		w.send(MessageAck, m.from, WithProbe(m.number, m.subject))
	case MessageAck:
		w.receiveAck(m)
	case MessageIndirect:
		w.probe(now, m.subject, m.from, m.number)
	case MessageDigest:
		if m.digest != w.digest() {
			w.sendTables(m.from, false)
		}
	case MessageSync:
		if !m.reply {
			w.sendTables(m.from, true)
		}
	}
}

// heard clears a seed's mark and starts a rumor about an instance that is
// wrongly judged, which the instance refutes when it hears it.
func (w *World) heard(now time.Time, name string) {
	row := w.instances.Get(name)
	if row == nil {
		return
	}
	if row.instance.state == StateSuspect || row.instance.state == StateDead {
		w.spread(rumorKey{id: name}, false)
	}
	row.since = maxTime(row.since, now.Add(-w.interval))
}

// receiveAck ends the probe and passes the ack on if another instance asked.
func (w *World) receiveAck(m Message) {
	p := w.probes.Get(m.number)
	if p == nil {
		return
	}
	if p.relayFor != "" {
		w.send(MessageAck, p.relayFor, WithProbe(p.relayNo, p.target))
	}
	w.probes.Remove(m.number)
}

// sendTables sends all rows; the receiver answers with its own unless this is
// an answer already.
func (w *World) sendTables(to string, reply bool) {
	var instances []Instance
	w.instances.Each(func(_ string, row *instanceRow) {
		if !row.seed {
			instances = append(instances, row.instance)
		}
	})
	w.messages = append(w.messages, NewMessage(MessageSync, w.self.name, to,
		WithRows(instances, w.Backends()), WithReply(reply)))
}

// learnInstance merges a row and spreads it if it is news. News that this
// instance itself is suspect or dead is refuted by a higher incarnation.
func (w *World) learnInstance(now time.Time, i Instance) {
	if i.name == w.self.name {
		if i.incarnation >= w.self.incarnation && i.state != w.self.state {
			w.self.incarnation = i.incarnation + 1
			w.instances.Put(w.self.name, instanceRow{instance: w.self, since: now})
			w.spread(rumorKey{id: w.self.name}, false)
			w.version++
		}
		return
	}
	row := w.instances.Get(i.name)
	if row != nil && !row.seed && !i.newer(row.instance) {
		return
	}
	w.instances.Put(i.name, instanceRow{instance: i, since: now})
	w.spread(rumorKey{id: i.name}, false)
	w.version++
}

// Leave marks this instance as stopped as planned and tells some others at once.
func (w *World) Leave(now time.Time) {
	w.self.state = StateLeft
	w.instances.Put(w.self.name, instanceRow{instance: w.self, since: now})
	w.version++
	for _, name := range w.pick(indirectProbes, "", false) {
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
