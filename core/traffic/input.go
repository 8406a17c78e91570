package traffic

import (
	"time"

	"papayaquay/core/control"
)

// Input is one message to a traffic thread.
type Input struct {
	request *Request
	sink    func(Event)
	id      func(uint64)
	cancel  uint64
	item    *control.Item
	stop    *stopItem
	token   *token
	ended   *ended
	result  func(w *World, now time.Time)
	changed bool
}

// stopItem asks to stop a batch item.
type stopItem struct {
	number uint64
	yield  bool
}

// token is more text of an attempt.
type token struct {
	attempt uint64
	text    string
	count   int
}

// ended is the end of an attempt; failure is zero when it is complete.
type ended struct {
	attempt uint64
	failure Failure
	err     error
}

// Submit starts an online request. sink runs on the traffic thread and must
// not block; accepted gets the number for Cancel.
func Submit(request Request, sink func(Event), accepted func(number uint64)) Input {
	return Input{request: &request, sink: sink, id: accepted}
}

// Cancel tells that the caller of a request is gone.
func Cancel(number uint64) Input { return Input{cancel: number} }

// StartItem runs a batch item.
func StartItem(item control.Item) Input { return Input{item: &item} }

// StopItem stops a batch item, to make room or for good.
func StopItem(number uint64, yield bool) Input {
	return Input{stop: &stopItem{number: number, yield: yield}}
}

// AttemptText reports more text of an attempt.
func AttemptText(attempt uint64, text string, tokens int) Input {
	return Input{token: &token{attempt: attempt, text: text, count: tokens}}
}

// AttemptCompleted reports the regular end of an attempt.
func AttemptCompleted(attempt uint64) Input { return Input{ended: &ended{attempt: attempt}} }

// AttemptFailed reports the failure of an attempt.
func AttemptFailed(attempt uint64, failure Failure, err error) Input {
	return Input{ended: &ended{attempt: attempt, failure: failure, err: err}}
}

// AttemptEnded reports whether the input is the end of an attempt, and its error.
func (i Input) AttemptEnded() (bool, error) {
	if i.ended == nil {
		return false, nil
	}
	return true, i.ended.err
}

// SnapshotChanged tells that the control world published a new snapshot.
func SnapshotChanged() Input { return Input{changed: true} }
