package control

import (
	"slices"
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/table"
	"papayaquay/core/timer"

	"github.com/cespare/xxhash/v2"
)

// callRow is a call that has no result yet.
type callRow struct {
	call      Call
	reply     func(Result)
	forwarded bool // received from another instance
	serving   bool // proposed or held by the local leader
	sentTo    string
	sentAt    time.Time
	notBefore time.Time // earliest time to forward the call
	attempts  int
}

// leaderHintRow is the instance that last served a call for a ledger or was named
// as its leader in a redirect.
type leaderHintRow struct {
	instance string
}

// callWorld is the sub-world that routes calls to the leaders of ledgers.
type callWorld struct {
	self       string
	members    *member.World
	ledgers    *ledger.World
	placements []Placement
	tick       *tickState
	packetTo   func(to string) *Packet
	serve      func(now time.Time, number uint64, row *callRow) // serves a call whose ledger this instance leads

	rows        *table.Table[uint64, callRow]
	leaderHints *table.Table[ledger.ID, leaderHintRow]
	lastNumber  uint64
	due         *timer.Subscription
}

// newCallWorld returns the sub-world without calls. The field serve must be set
// before the first tick. owner is unique for each start of the instance: the numbers of calls
// continue from it, since a response to a call of an earlier start may still arrive.
func newCallWorld(owner string, members *member.World, ledgers *ledger.World, placements []Placement, tick *tickState, packetTo func(to string) *Packet) *callWorld {
	return &callWorld{lastNumber: xxhash.Sum64String(owner), self: members.Self().Name(), members: members, ledgers: ledgers, placements: placements,
		tick: tick, packetTo: packetTo, rows: table.New[uint64, callRow](), leaderHints: table.New[ledger.ID, leaderHintRow]()}
}

// add adds a call and returns its number. forwarded marks a call from another
// instance.
func (w *callWorld) add(now time.Time, call Call, reply func(Result), forwarded bool) uint64 {
	w.lastNumber++
	w.rows.Put(w.lastNumber, callRow{call: call, reply: reply, forwarded: forwarded, notBefore: now})
	return w.lastNumber
}

// finish removes a call and passes the result to its reply function.
func (w *callWorld) finish(number uint64, result Result) {
	row := w.rows.Get(number)
	if row == nil {
		return
	}
	w.rows.Remove(number)
	row.reply(result)
}

// retry lets route process a call again, in another tick without delay.
func (w *callWorld) retry(now time.Time, number uint64) {
	if row := w.rows.Get(number); row != nil {
		row.serving, row.sentTo, row.notBefore = false, "", now
		w.tick.runAgain = true
	}
}

// knownLeader returns the last known leader of a ledger, or the empty string.
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

// pickReplica returns the instance to forward a call to: the known leader if it is
// another reachable instance, otherwise the reachable replicas in turn. It returns
// the empty string if there is none.
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

// reachable reports whether an instance is alive, suspected or in an unknown
// state.
func (w *callWorld) reachable(name string) bool {
	instance, ok := w.members.Get(name)
	return ok && (instance.Reachable() || instance.State() == 0)
}
