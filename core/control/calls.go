package control

import (
	"slices"
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// callRow is a call on its way.
type callRow struct {
	call      Call
	reply     func(Result)
	forwarded bool // forwarded by another instance
	serving   bool // being served here
	sentTo    string
	sentAt    time.Time
	notBefore time.Time // not to be sent before
	attempts  int
}

// leaderHintRow is the believed leader of a ledger.
type leaderHintRow struct {
	instance string
}

// callWorld is the sub-world of the calls on their way to leaders of ledgers.
type callWorld struct {
	self       string
	members    *member.World
	ledgers    *ledger.World
	placements []Placement
	tick       *tickState
	packetTo   func(to string) *Packet
	serve      func(now time.Time, number uint64, row *callRow) // answers a call whose ledger is led here

	rows        *table.Table[uint64, callRow]
	leaderHints *table.Table[ledger.ID, leaderHintRow]
	lastNumber  uint64
	due         *timer.Subscription
}

// newCallWorld returns the sub-world without calls; serve is set when the
// ledgers' state machines exist.
func newCallWorld(members *member.World, ledgers *ledger.World, placements []Placement, tick *tickState, packetTo func(to string) *Packet) *callWorld {
	return &callWorld{self: members.Self().Name(), members: members, ledgers: ledgers, placements: placements,
		tick: tick, packetTo: packetTo, rows: table.New[uint64, callRow](), leaderHints: table.New[ledger.ID, leaderHintRow]()}
}

// add starts a call.
func (w *callWorld) add(now time.Time, call Call, reply func(Result), forwarded bool) uint64 {
	w.lastNumber++
	w.rows.Put(w.lastNumber, callRow{call: call, reply: reply, forwarded: forwarded, notBefore: now})
	return w.lastNumber
}

// finish answers a call.
func (w *callWorld) finish(number uint64, result Result) {
	row := w.rows.Get(number)
	if row == nil {
		return
	}
	w.rows.Remove(number)
	row.reply(result)
}

// retry makes a call available to route again.
func (w *callWorld) retry(now time.Time, number uint64) {
	if row := w.rows.Get(number); row != nil {
		row.serving, row.sentTo, row.notBefore = false, "", now
		w.tick.runAgain = true
	}
}

// knownLeader returns the leader of a ledger as far as known.
func (w *callWorld) knownLeader(id ledger.ID) string {
	if w.ledgers.Hosts(id) {
		if leader := w.ledgers.LeaderOf(id); leader != "" {
			return leader
		}
	}
	if row := w.leaderHints.Get(id); row != nil {
		return row.instance
	}
	return ""
}

// pickReplica returns where to send a call: the believed leader, else the
// replicas in turn.
func (w *callWorld) pickReplica(row *callRow) string {
	if leader := w.knownLeader(row.call.ledger); leader != "" && leader != w.self && w.reachable(leader) {
		return leader
	}
	replicas := w.replicasOf(row.call.ledger)
	for i := range replicas {
		target := replicas[(row.attempts+i)%len(replicas)]
		if target != w.self && w.reachable(target) {
			return target
		}
	}
	return ""
}

// replicasOf returns the instances that hold a replica of a ledger.
func (w *callWorld) replicasOf(id ledger.ID) []string {
	i := slices.IndexFunc(w.placements, func(p Placement) bool { return p.ledger == id })
	if i < 0 {
		return nil
	}
	return w.placements[i].replicas
}

// reachable reports whether an instance is not known to be lost.
func (w *callWorld) reachable(name string) bool {
	instance, ok := w.members.Get(name)
	return ok && (instance.Reachable() || instance.State() == 0)
}
