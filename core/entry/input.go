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
	load     Load
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

// Answering tells that the head of the server's answer arrived.
func Answering(number uint64, load Load) Input {
	return Input{number: number, load: load, head: true}
}

// Ended tells how the current attempt of a request ended.
func Ended(number uint64, end End, load Load) Input {
	return Input{number: number, end: end, load: load}
}

// Probed tells whether a connection to a server could be opened.
func Probed(backend string, reached bool) Input { return Input{probed: backend, reached: reached} }

// Changed tells that the control world published something new.
func Changed() Input { return Input{} }
