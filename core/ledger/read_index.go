package ledger

// ReadIndex starts a read that must see every entry committed before the call.
// It returns the term and the heartbeat round to pass to ReadReady; ok is
// false when this replica does not lead the ledger.
func (w *World) ReadIndex(ledger ID) (term, round uint64, ok bool) {
	row := w.replicas.Get(ledger)
	if row == nil || row.role != RoleLeader {
		return 0, 0, false
	}
	row.roundRequested = true
	return row.term, row.round + 1, true
}

// ReadReady reports whether the state machine may answer the read that started
// with (term, round): a quorum confirmed the leader afterwards and everything
// committed until then is applied. lost reports that it will never be ready.
func (w *World) ReadReady(ledger ID, term, round uint64) (ready, lost bool) {
	row := w.replicas.Get(ledger)
	if row == nil || row.role != RoleLeader || row.term != term {
		return false, true
	}
	return row.confirmedRound >= round && row.commit >= row.termStart && row.applied == row.commit, false
}
