package ledger

// ReadIndex starts a read that must see every entry committed before the call.
// It returns the term and the heartbeat round to pass to ReadReady. ok is false
// if this replica is not the leader of the ledger.
func (w *World) ReadIndex(ledger ID) (term, round uint64, ok bool) {
	row := w.replicas.Get(ledger)
	if row == nil || row.role != RoleLeader {
		return 0, 0, false
	}
	row.roundRequested = true
	return row.term, row.round + 1, true
}

// ReadReady reports whether the state machine may answer the read that
// ReadIndex started with (term, round): a quorum has confirmed the leader since
// then and every committed entry is applied. lost reports that the read will
// never become ready because the replica no longer leads in that term.
func (w *World) ReadReady(ledger ID, term, round uint64) (ready, lost bool) {
	row := w.replicas.Get(ledger)
	if row == nil || row.role != RoleLeader || row.term != term {
		return false, true
	}
	return row.confirmedRound >= round && row.commit >= row.termStart && row.applied == row.commit, false
}
