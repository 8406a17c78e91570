// Package standin provides substitute backend servers for tests, the demo and
// experiments: a model engine and a plain service. It also starts whole systems on this
// machine.
package standin

import "sync"

// Attempt is one execution of a request at a substitute server.
type Attempt struct {
	Backend string
	ID      string // attempt id
	Prompt  string
	Resume  string
	Index   int // position among all attempts of the recorder
}

// Recorder records the attempts and orders that substitute servers receive. Several
// servers may share one.
type Recorder struct {
	mu       sync.Mutex
	attempts []Attempt
	orders   []ReceivedOrder
}

// ReceivedOrder is one order that a substitute engine accepted or rejected.
type ReceivedOrder struct {
	Backend  string
	Fence    uint64
	Load     []string
	Accepted bool
}

// addAttempt records the start of an attempt and sets its index.
func (r *Recorder) addAttempt(attempt Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt.Index = len(r.attempts)
	r.attempts = append(r.attempts, attempt)
}

// addOrder records an order.
func (r *Recorder) addOrder(o ReceivedOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// Attempts returns all attempts so far in the order of their start.
func (r *Recorder) Attempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Attempt(nil), r.attempts...)
}

// Orders returns all orders so far in the order of their arrival.
func (r *Recorder) Orders() []ReceivedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ReceivedOrder(nil), r.orders...)
}

// CountAttempts returns the number of attempts with a prompt.
func (r *Recorder) CountAttempts(prompt string) int {
	count := 0
	for _, attempt := range r.Attempts() {
		if attempt.Prompt == prompt {
			count++
		}
	}
	return count
}
