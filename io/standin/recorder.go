// Package standin provides small substitutes for backend servers, for tests,
// the demo and experiments: a model engine and a plain service.
package standin

import "sync"

// Run is one execution of a request at a substitute.
type Run struct {
	Backend string
	ID      string // attempt id
	Prompt  string
	Resume  string
	Order   int // position among all runs of the recorder
}

// Recorder keeps what substitutes saw. Several of them may share one.
type Recorder struct {
	mu     sync.Mutex
	runs   []Run
	orders []OrderSeen
}

// OrderSeen is one order that a substitute took or refused.
type OrderSeen struct {
	Backend string
	Fence   uint64
	Load    []string
	Taken   bool
}

// add notes the start of a run.
func (r *Recorder) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Order = len(r.runs)
	r.runs = append(r.runs, run)
}

// addOrder notes an order.
func (r *Recorder) addOrder(o OrderSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
}

// Runs returns all runs so far, in the order of their start.
func (r *Recorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Orders returns all orders so far.
func (r *Recorder) Orders() []OrderSeen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]OrderSeen(nil), r.orders...)
}

// RunsOf returns the number of runs of a prompt.
func (r *Recorder) RunsOf(prompt string) int {
	count := 0
	for _, run := range r.Runs() {
		if run.Prompt == prompt {
			count++
		}
	}
	return count
}
