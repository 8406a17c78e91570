package entry

import (
	"papayaquay/core/progress"
	"papayaquay/core/quarantine"
	"papayaquay/core/stream"
)

// Input is one input of a tick.
type Input struct {
	request  *Request
	decide   func(Decision)
	progress *progress.Counter
	abandon  func()
	number   uint64
	status   AttemptStatus
	load     LoadReport
	header   bool
	probed   string // ID of the probed server
	reached  bool
	began    bool
	check    *quarantine.CrashID
	crashed  bool
	origin   *stream.Answer
}

// Submit starts a request. decide is called on the traffic thread with each
// decision and must not block; every ActionSend must be followed by an
// AttemptEnded input. abandon is called on the traffic thread too and must end
// the current attempt.
func Submit(r Request, counter *progress.Counter, decide func(Decision), abandon func()) Input {
	return Input{request: &r, progress: counter, decide: decide, abandon: abandon}
}

// HeaderReceived reports that the response header of the current attempt
// arrived, with the load that the server reported in it.
func HeaderReceived(number uint64, load LoadReport) Input {
	return Input{number: number, load: load, header: true}
}

// AttemptEnded reports how the current attempt of a request ended.
func AttemptEnded(number uint64, status AttemptStatus, load LoadReport) Input {
	return Input{number: number, status: status, load: load}
}

// ProbeEnded reports whether a probe opened a connection to a server.
func ProbeEnded(backend string, reached bool) Input { return Input{probed: backend, reached: reached} }

// AnswerBegan reports that the first bytes of the body of the current attempt's answer arrived,
// and that it is no failure.
func AnswerBegan(number uint64) Input { return Input{number: number, began: true} }

// CrashChecked reports whether a server that lost a request refuses connections.
func CrashChecked(id quarantine.CrashID, crashed bool) Input {
	return Input{check: &id, crashed: crashed}
}

// StreamFound reports which version began the stream that a request takes up.
func StreamFound(number uint64, answer stream.Answer) Input {
	return Input{number: number, origin: &answer}
}

// SnapshotChanged reports that the control world published a new snapshot.
func SnapshotChanged() Input { return Input{} }
