package control

import (
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/table"
	"papayaquay/core/timer"
)

// Limits for moving answers from local ledgers to their home ledgers.
const (
	moveInterval      = 500 * time.Millisecond
	drainMoveInterval = 50 * time.Millisecond // during a graceful shutdown
	moveTimeout       = 3 * time.Second
	moveBatchSize     = 64
)

// answerMoveKey is the local ledger and the key of an answer that is being moved to
// its home ledger.
type answerMoveKey struct {
	ledger ledger.ID
	key    home.Key
}

// answerMoveRow marks an answer that is being moved.
type answerMoveRow struct{}

// answerMoveWorld is the sub-world that moves answers from local ledgers to their
// home ledgers.
type answerMoveWorld struct {
	ledgers    *ledger.World
	calls      *callWorld
	homes      []ledger.ID
	homeStates *table.Table[ledger.ID, homeRow]
	tick       *tickState

	rows *table.Table[answerMoveKey, answerMoveRow]
	due  *timer.Subscription
}

// newAnswerMoveWorld returns the sub-world for the hosted state machines.
func newAnswerMoveWorld(hosts *hostWorld, homes []ledger.ID, tick *tickState) *answerMoveWorld {
	return &answerMoveWorld{ledgers: hosts.ledgers, calls: hosts.calls, homes: homes, homeStates: hosts.homeStates, tick: tick,
		rows: table.New[answerMoveKey, answerMoveRow]()}
}

// subscribe registers the timer for moving answers.
func (w *answerMoveWorld) subscribe(now time.Time, timers *timer.Service) {
	w.due = timers.Subscribe("move", w.moveAnswers)
	w.due.Arm(now.Add(moveInterval))
}

// moveAnswers copies the answers in the local ledgers that this instance leads to
// their home ledgers, at most moveBatchSize per ledger. The home ledger keeps the
// first committed answer of a key. The local copy is removed only after the home
// ledger has confirmed that it stores an answer.
func (w *answerMoveWorld) moveAnswers(now time.Time) {
	w.due.Arm(now.Add(moveInterval))
	w.eachLocal(now, func(id ledger.ID, state *home.State) {
		for _, answered := range state.AnsweredRequests(moveBatchSize) {
			w.moveAnswer(now, id, answered)
		}
	})
}

// unmoved returns the number of local ledgers that this instance leads and that hold answers.
func (w *answerMoveWorld) unmoved(now time.Time) int {
	count := 0
	w.eachLocal(now, func(_ ledger.ID, state *home.State) { count += len(state.AnsweredRequests(1)) })
	return count
}

// eachLocal calls visit for each local ledger that this instance leads.
func (w *answerMoveWorld) eachLocal(now time.Time, visit func(ledger.ID, *home.State)) {
	w.homeStates.Each(func(id ledger.ID, row *homeRow) {
		if IsLocal(id) && w.ledgers.Leads(now, id) {
			visit(id, row.state)
		}
	})
}

// moveAnswer copies one answer to its home ledger and then removes the local copy.
func (w *answerMoveWorld) moveAnswer(now time.Time, local ledger.ID, answered home.Completion) {
	key := answerMoveKey{ledger: local, key: answered.Job()}
	if w.rows.Get(key) != nil {
		return
	}
	w.rows.Put(key, answerMoveRow{})
	put := home.NewCommand(home.CommandPutAnswer, answered.Job(), now, home.WithAnswer(answered.Answer()))
	call := NewCall(CallApply, HomeOf(w.homes, answered.Job()), now.Add(moveTimeout), WithCommand(put))
	w.calls.add(now, call, func(r Result) {
		if r.err != nil {
			w.rows.Remove(key)
			return
		}
		w.removeLocalCopy(local, key)
	}, false)
}

// removeLocalCopy removes an answer from its local ledger.
func (w *answerMoveWorld) removeLocalCopy(local ledger.ID, key answerMoveKey) {
	command := home.NewCommand(home.CommandRemoveAnswer, key.key, w.tick.now)
	call := NewCall(CallApply, local, w.tick.now.Add(moveTimeout), WithCommand(command))
	w.calls.add(w.tick.now, call, func(Result) { w.rows.Remove(key) }, false)
	w.tick.runAgain = true
}
