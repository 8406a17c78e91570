package traffic

import (
	"time"

	"papayaquay/core/control"
)

// Input is a message to a traffic thread. One of its variants is set.
type Input struct {
	request         *Request
	sink            func(Event)
	accepted        func(uint64)
	cancel          uint64
	item            *control.Item
	itemStop        *itemStop
	textChunk       *textChunk
	attemptEnd      *attemptEnd
	result          func(w *World, now time.Time)
	snapshotChanged bool
}

// itemStop is the request to stop a batch item.
type itemStop struct {
	number  uint64
	preempt bool
}

// textChunk is new text of an attempt.
type textChunk struct {
	attempt uint64
	text    string
	tokens  int
}

// attemptEnd is the end of an attempt. failure is 0 if the attempt completed.
type attemptEnd struct {
	attempt uint64
	failure Failure
	err     error
}

// Submit starts an online request. sink is called with its events on the traffic thread
// and must not block. accepted is called with the number to pass to Cancel, or with 0 if
// the request is rejected.
func Submit(request Request, sink func(Event), accepted func(number uint64)) Input {
	return Input{request: &request, sink: sink, accepted: accepted}
}

// Cancel reports that the caller of a request has disconnected.
func Cancel(number uint64) Input { return Input{cancel: number} }

// StartItem starts a batch item.
func StartItem(item control.Item) Input { return Input{item: &item} }

// StopItem stops a batch item, either to preempt it or for good.
func StopItem(number uint64, preempt bool) Input {
	return Input{itemStop: &itemStop{number: number, preempt: preempt}}
}

// AttemptText reports new text of an attempt and its number of tokens.
func AttemptText(attempt uint64, text string, tokens int) Input {
	return Input{textChunk: &textChunk{attempt: attempt, text: text, tokens: tokens}}
}

// AttemptCompleted reports that an attempt completed.
func AttemptCompleted(attempt uint64) Input { return Input{attemptEnd: &attemptEnd{attempt: attempt}} }

// AttemptFailed reports that an attempt failed.
func AttemptFailed(attempt uint64, failure Failure, err error) Input {
	return Input{attemptEnd: &attemptEnd{attempt: attempt, failure: failure, err: err}}
}

// Failure returns how the attempt of the input failed, 0 if it did not.
func (i Input) Failure() Failure {
	if i.attemptEnd == nil {
		return 0
	}
	return i.attemptEnd.failure
}

// AttemptEnded reports whether the input is the end of an attempt, and returns the error
// of the attempt.
func (i Input) AttemptEnded() (bool, error) {
	if i.attemptEnd == nil {
		return false, nil
	}
	return true, i.attemptEnd.err
}

// SnapshotChanged reports that the control world published a new snapshot. Every tick loads
// the snapshot, so that this input only wakes the thread.
func SnapshotChanged() Input { return Input{snapshotChanged: true} }
