package traffic

import "time"

// Policy holds the switches and limits of the traffic decisions. Each feature can be
// replaced by a simple baseline for comparison.
type Policy struct {
	randomChoice       bool          // baseline: any backend server with a free slot
	noConcurrencyLimit bool          // baseline: no learned concurrency limit
	noHedging          bool          // baseline: no second attempt while the first has no token
	noEjection         bool          // baseline: slow backend servers stay in use
	noAffinity         bool          // baseline: no preference for a warm prefix cache
	fifoQueue          bool          // baseline: queue order is arrival order
	hedgeShare         float64       // hedges per completed request
	retryShare         float64       // retries per completed request
	minHedgeDelay      time.Duration // minimum delay before a hedge
	queueLimit         int           // maximum number of queued requests per thread
}

// Default limits of a policy.
const (
	DefaultHedgeShare    = 0.05 // hedges per completed request
	DefaultRetryShare    = 0.2  // retries per completed request
	DefaultMinHedgeDelay = 30 * time.Millisecond
	DefaultQueueLimit    = 2000 // requests per thread
)

// PolicyOption changes a policy.
type PolicyOption func(*Policy)

// WithRandomChoice chooses a random backend server with a free slot.
func WithRandomChoice() PolicyOption { return func(p *Policy) { p.randomChoice = true } }

// WithoutConcurrencyLimit disables the learned concurrency limit.
func WithoutConcurrencyLimit() PolicyOption { return func(p *Policy) { p.noConcurrencyLimit = true } }

// WithoutHedging disables hedging.
func WithoutHedging() PolicyOption { return func(p *Policy) { p.noHedging = true } }

// WithoutEjection disables the ejection of slow backend servers.
func WithoutEjection() PolicyOption { return func(p *Policy) { p.noEjection = true } }

// WithoutAffinity disables the preference for a warm prefix cache.
func WithoutAffinity() PolicyOption { return func(p *Policy) { p.noAffinity = true } }

// WithFIFOQueue starts queued requests in arrival order.
func WithFIFOQueue() PolicyOption { return func(p *Policy) { p.fifoQueue = true } }

// WithBudgetShares sets the hedges and retries that each completed request adds to the
// hedge budget and the retry budget.
func WithBudgetShares(hedge, retry float64) PolicyOption {
	return func(p *Policy) { p.hedgeShare, p.retryShare = hedge, retry }
}

// WithQueueLimit sets the maximum number of queued requests per thread.
func WithQueueLimit(limit int) PolicyOption { return func(p *Policy) { p.queueLimit = limit } }

// NewPolicy returns the default policy, changed by the options.
func NewPolicy(options ...PolicyOption) Policy {
	p := Policy{hedgeShare: DefaultHedgeShare, retryShare: DefaultRetryShare,
		minHedgeDelay: DefaultMinHedgeDelay, queueLimit: DefaultQueueLimit}
	for _, option := range options {
		option(&p)
	}
	return p
}
