package entry

import "papayaquay/core/progress"

// Input is one message to the world.
type Input struct {
	request  *Request
	decide   func(Decision)
	progress *progress.Counter
	abandon  func()
	number   uint64
	end      End
	load     LoadReport
	head     bool
	probed   string // server that was probed
	reached  bool
}

// Submit starts a request. decide is called on the traffic thread with each
// next step and must not block; every ActionSend must be answered by Ended.
// abandon, called there too, must end the current attempt.
func Submit(r Request, counter *progress.Counter, decide func(Decision), abandon func()) Input {
	return Input{request: &r, progress: counter, decide: decide, abandon: abandon}
}

// HeaderReceived tells that the head of the server's answer arrived.
func HeaderReceived(number uint64, load LoadReport) Input {
	return Input{number: number, load: load, head: true}
}

// AttemptEnded tells how the current attempt of a request ended.
func AttemptEnded(number uint64, end End, load LoadReport) Input {
	return Input{number: number, end: end, load: load}
}

// ProbeEnded tells whether a connection to a server could be opened.
func ProbeEnded(backend string, reached bool) Input { return Input{probed: backend, reached: reached} }

// SnapshotChanged tells that the control world published something new.
func SnapshotChanged() Input { return Input{} }
