// Package standin provides small substitutes for backend servers, for tests,
// the demo and experiments: a model engine and a plain service.
package standin

import "sync"

// Attempt is one execution of a request at a substitute.
type Attempt struct {
	Backend string
	ID      string // attempt id
	Prompt  string
	Resume  string
	Index   int // position among all runs of the recorder
}

// Recorder keeps what substitutes saw. Several of them may share one.
type Recorder struct {
	mu     sync.Mutex
	attempts   []Attempt
	orders []ReceivedOrder
}

// ReceivedOrder is one order that a substitute took or refused.
type ReceivedOrder struct {
	Backend string
	Fence   uint64
	Load    []string
	Accepted   bool
}

// add notes the start of a run.
func (r *Recorder) add(run Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Index = len(r.attempts)
	r.attempts = append(r.attempts, run)
}

// addOrder notes an order.
func (r *Recorder) addOrder(o ReceivedOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// Attempts returns all runs so far, in the order of their start.
func (r *Recorder) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Attempt(nil), r.attempts...)
}

// Orders returns all orders so far.
func (r *Recorder) Orders() []ReceivedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReceivedOrder(nil), r.orders...)
}

// CountAttempts returns the number of runs of a prompt.
func (r *Recorder) CountAttempts(prompt string) int {
	count := 0
	for _, run := range r.Attempts() {
		if run.Prompt == prompt {
			count++
		}
	}
	return count
}
