package ledger

import "time"

// Receive takes one message. Messages for another replica than the hosted one
// are dropped: they were meant for a copy that is gone.
func (w *World) Receive(now time.Time, m Message) {
	row := w.replicas.Get(m.ledger)
	if row == nil {
		return
	}
	switch m.kind {
	case MessageDiscover:
		w.receiveHello(row, m)
		return
	case MessageJoin:
		w.receiveJoin(now, row, m)
		return
	}
	if m.to != row.self {
		return
	}
	w.dispatch(now, row, m)
}

// dispatch hands a message of the hosted replica to its handler.
func (w *World) dispatch(now time.Time, row *replicaRow, m Message) {
	switch m.kind {
	case MessageDiscoverReply:
		w.receiveHelloReply(now, row, m)
	case MessagePreVote:
		w.receivePreVote(now, row, m)
	case MessagePreVoteReply:
		w.receivePreVoteReply(now, row, m)
	case MessageVote:
		w.receiveVote(now, row, m)
	case MessageVoteReply:
		w.receiveVoteReply(now, row, m)
	case MessageAppend:
		w.receiveAppend(now, row, m)
	case MessageAppendReply:
		w.receiveAppendReply(now, row, m)
	case MessageSnapshot:
		w.receiveSnapshot(now, row, m)
	case MessageTimeoutNow:
		w.receiveTransfer(now, row, m)
	}
}

// send queues a message that depends on no record.
func (w *World) send(m Message) { w.messages = append(w.messages, m) }

// sendAfterSync queues a message; if durable, it leaves only after all records
// saved so far are on disk.
func (w *World) sendAfterSync(m Message, waitForSync bool) {
	sequence := w.lastSequence
	if len(w.records) > 0 {
		sequence++
	}
	if !waitForSync || sequence <= w.durableSequence {
		w.send(m)
		return
	}
	w.deferred = append(w.deferred, deferredRow{sequence: sequence, message: m})
}
