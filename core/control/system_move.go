package control

import (
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// Bounds of the moving of strays.
const (
	moveInterval = 500 * time.Millisecond
	moveTimeout  = 3 * time.Second
	moveAtOnce   = 64
)

// strayKey names an answer that is on its way from a local ledger to its home.
type strayKey struct {
	ledger ledger.ID
	key    home.Key
}

// strayRow marks a stray that is being moved.
type strayRow struct{}

// strayWorld is the sub-world that moves answers from local ledgers home.
type strayWorld struct {
	ledgers *ledger.World
	calls   *callWorld
	homes   []ledger.ID
	states  *table.Table[ledger.ID, homeRow]
	tick    *tickState

	rows *table.Table[strayKey, strayRow]
	due  *timer.Subscription
}

// newStrayWorld returns the sub-world of the state machines hosted here.
func newStrayWorld(hosts *hostWorld, homes []ledger.ID, tick *tickState) *strayWorld {
	return &strayWorld{ledgers: hosts.ledgers, calls: hosts.calls, homes: homes, states: hosts.states, tick: tick,
		rows: table.New[strayKey, strayRow]()}
}

// subscribe registers what acts on deadlines.
func (w *strayWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("move", w.moveStrays)
	w.due.Arm(now.Add(moveInterval))
}

// moveStrays hands the answers in local ledgers led here to their home
// ledgers. The first committed answer of a key wins there; the local copy is
// forgotten only after the home ledger confirmed one.
func (w *strayWorld) moveStrays(now time.Time) {
	w.due.Arm(now.Add(moveInterval))
	w.states.Each(func(id ledger.ID, row *homeRow) {
		if !IsLocal(id) || !w.ledgers.Leads(now, id) {
			return
		}
		for _, stray := range row.state.AnsweredRequests(moveAtOnce) {
			w.moveStray(now, id, stray)
		}
	})
}

// moveStray moves one answer.
func (w *strayWorld) moveStray(now time.Time, local ledger.ID, stray home.Completion) {
	key := strayKey{ledger: local, key: stray.Job()}
	if w.rows.Get(key) != nil {
		return
	}
	w.rows.Put(key, strayRow{})
	put := home.NewCommand(home.CommandPutAnswer, stray.Job(), now, home.WithAnswer(stray.Answer()))
	call := NewCall(CallApply, HomeOf(w.homes, stray.Job()), now.Add(moveTimeout), WithCommand(put))
	w.calls.add(now, call, func(r Result) {
		if r.err != nil {
			w.rows.Remove(key)
			return
		}
		w.forgetStray(local, key)
	}, false)
}

// forgetStray removes the local copy of a moved answer.
func (w *strayWorld) forgetStray(local ledger.ID, key strayKey) {
	command := home.NewCommand(home.CommandRemoveAnswer, key.key, w.tick.now)
	call := NewCall(CallApply, local, w.tick.now.Add(moveTimeout), WithCommand(command))
	w.calls.add(w.tick.now, call, func(Result) { w.rows.Remove(key) }, false)
	w.tick.again = true
}
