package control

import (
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
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

// moveStrays hands the answers in local ledgers led here to their home
// ledgers. The first committed answer of a key wins there; the local copy is
// forgotten only after the home ledger confirmed one.
func (w *World) moveStrays(now time.Time) {
	w.moveDue.Arm(now.Add(moveInterval))
	w.homeStates.Each(func(id ledger.ID, row *homeRow) {
		if !IsLocal(id) || !w.ledgers.Leads(now, id) {
			return
		}
		for _, stray := range row.state.Strays(moveAtOnce) {
			w.moveStray(now, id, stray)
		}
	})
}

// moveStray moves one answer.
func (w *World) moveStray(now time.Time, local ledger.ID, stray home.Completion) {
	key := strayKey{ledger: local, key: stray.Job()}
	if w.strays.Get(key) != nil {
		return
	}
	w.strays.Put(key, strayRow{})
	put := home.NewCommand(home.CommandPutAnswer, stray.Job(), now, home.WithAnswer(stray.Answer()))
	call := NewCall(CallApply, HomeOf(w.homes, stray.Job()), now.Add(moveTimeout), WithCommand(put))
	w.addCall(now, call, func(r Result) {
		if r.err != nil {
			w.strays.Remove(key)
			return
		}
		w.forgetStray(local, key)
	}, false)
}

// forgetStray removes the local copy of a moved answer.
func (w *World) forgetStray(local ledger.ID, key strayKey) {
	command := home.NewCommand(home.CommandForget, key.key, w.tickTime)
	call := NewCall(CallApply, local, w.tickTime.Add(moveTimeout), WithCommand(command))
	w.addCall(w.tickTime, call, func(Result) { w.strays.Remove(key) }, false)
	w.again = true
}
