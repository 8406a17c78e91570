package ledger

import "time"

// Receive handles one message. It drops messages for any replica other than the
// hosted one, because they were sent to a replica that no longer exists.
func (w *World) Receive(now time.Time, m Message) {
	row := w.replicas.Get(m.ledger)
	if row == nil {
		return
	}
	switch m.kind {
	case MessageDiscover:
		w.receiveDiscover(row, m)
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

// dispatch passes a message to the handler for its kind.
func (w *World) dispatch(now time.Time, row *replicaRow, m Message) {
	switch m.kind {
	case MessageDiscoverReply:
		w.receiveDiscoverReply(now, row, m)
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
	case MessageSnapshotReply:
		w.receiveSnapshotReply(now, row, m)
	case MessageTimeoutNow:
		w.receiveTimeoutNow(now, row, m)
	}
}

// send queues a message that need not wait for a record to be durable.
func (w *World) send(m Message) { w.messages = append(w.messages, m) }

// sendAfterSync queues a message. If waitForSync is true, the message is sent
// only after all records queued so far are durable.
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
