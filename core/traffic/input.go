package traffic

import (
	"time"

	"papayaquay/core/control"
)

// Input is one message to a traffic thread.
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

// itemStop asks to stop a batch item.
type itemStop struct {
	number  uint64
	preempt bool
}

// textChunk is more text of an attempt.
type textChunk struct {
	attempt uint64
	text    string
	tokens  int
}

// attemptEnd is the end of an attempt; failure is zero when it is complete.
type attemptEnd struct {
	attempt uint64
	failure Failure
	err     error
}

// Submit starts an online request. sink runs on the traffic thread and must
// not block; accepted gets the number for Cancel.
func Submit(request Request, sink func(Event), accepted func(number uint64)) Input {
	return Input{request: &request, sink: sink, accepted: accepted}
}

// Cancel tells that the caller of a request is gone.
func Cancel(number uint64) Input { return Input{cancel: number} }

// StartItem runs a batch item.
func StartItem(item control.Item) Input { return Input{item: &item} }

// StopItem stops a batch item, to make room or for good.
func StopItem(number uint64, preempt bool) Input {
	return Input{itemStop: &itemStop{number: number, preempt: preempt}}
}

// AttemptText reports more text of an attempt.
func AttemptText(attempt uint64, text string, tokens int) Input {
	return Input{textChunk: &textChunk{attempt: attempt, text: text, tokens: tokens}}
}

// AttemptCompleted reports the regular end of an attempt.
func AttemptCompleted(attempt uint64) Input { return Input{attemptEnd: &attemptEnd{attempt: attempt}} }

// AttemptFailed reports the failure of an attempt.
func AttemptFailed(attempt uint64, failure Failure, err error) Input {
	return Input{attemptEnd: &attemptEnd{attempt: attempt, failure: failure, err: err}}
}

// AttemptEnded reports whether the input is the end of an attempt, and its error.
func (i Input) AttemptEnded() (bool, error) {
	if i.attemptEnd == nil {
		return false, nil
	}
	return true, i.attemptEnd.err
}

// SnapshotChanged tells that the control world published a new snapshot.
func SnapshotChanged() Input { return Input{snapshotChanged: true} }
