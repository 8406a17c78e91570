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
	moveInterval    = 500 * time.Millisecond
	moveTimeout     = 3 * time.Second
	maxMovesPerTick = 64
)

// answerMoveKey names an answer that is on its way from a local ledger to its home.
type answerMoveKey struct {
	ledger ledger.ID
	key    home.Key
}

// answerMoveRow marks a stray that is being moved.
type answerMoveRow struct{}

// answerMoveWorld is the sub-world that moves answers from local ledgers home.
type answerMoveWorld struct {
	ledgers *ledger.World
	calls   *callWorld
	homes   []ledger.ID
	states  *table.Table[ledger.ID, homeRow]
	tick    *tickState

	rows *table.Table[answerMoveKey, answerMoveRow]
	due  *timer.Subscription
}

// newAnswerMoveWorld returns the sub-world of the state machines hosted here.
func newAnswerMoveWorld(hosts *hostWorld, homes []ledger.ID, tick *tickState) *answerMoveWorld {
	return &answerMoveWorld{ledgers: hosts.ledgers, calls: hosts.calls, homes: homes, states: hosts.states, tick: tick,
		rows: table.New[answerMoveKey, answerMoveRow]()}
}

// subscribe registers what acts on deadlines.
func (w *answerMoveWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("move", w.moveAnswers)
	w.due.Arm(now.Add(moveInterval))
}

// moveAnswers hands the answers in local ledgers led here to their home
// ledgers. The first committed answer of a key wins there; the local copy is
// forgotten only after the home ledger confirmed one.
func (w *answerMoveWorld) moveAnswers(now time.Time) {
	w.due.Arm(now.Add(moveInterval))
	w.states.Each(func(id ledger.ID, row *homeRow) {
		if !IsLocal(id) || !w.ledgers.Leads(now, id) {
			return
		}
		for _, request := range row.state.Strays(maxMovesPerTick) {
			w.moveAnswer(now, id, request)
		}
	})
}

// moveAnswer moves one answer.
func (w *answerMoveWorld) moveAnswer(now time.Time, local ledger.ID, request home.Completion) {
	key := answerMoveKey{ledger: local, key: request.Job()}
	if w.rows.Get(key) != nil {
		return
	}
	w.rows.Put(key, answerMoveRow{})
	put := home.NewCommand(home.CommandPutAnswer, request.Job(), now, home.WithAnswer(request.Answer()))
	call := NewCall(CallApply, HomeOf(w.homes, request.Job()), now.Add(moveTimeout), WithCommand(put))
	w.calls.add(now, call, func(r Result) {
		if r.err != nil {
			w.rows.Remove(key)
			return
		}
		w.removeLocalCopy(local, key)
	}, false)
}

// removeLocalCopy removes the local copy of a moved answer.
func (w *answerMoveWorld) removeLocalCopy(local ledger.ID, key answerMoveKey) {
	command := home.NewCommand(home.CommandForget, key.key, w.tick.now)
	call := NewCall(CallApply, local, w.tick.now.Add(moveTimeout), WithCommand(command))
	w.calls.add(w.tick.now, call, func(Result) { w.rows.Remove(key) }, false)
	w.tick.runAgain = true
}
