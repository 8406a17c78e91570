package traffic

import "time"

// Policy holds the switches and bounds of the traffic decisions. Each part can
// be set to its plain baseline for comparison.
type Policy struct {
	randomChoice bool          // baseline: any backend server with a free slot
	noLimit      bool          // baseline: no learned concurrency limit
	noHedge      bool          // baseline: no second attempt while the first is silent
	noEject      bool          // baseline: slow backend servers stay in use
	noAffinity   bool          // baseline: no preference for a warm prefix cache
	firstCome    bool          // baseline: queue order is arrival order
	hedgeShare   float64       // hedges per request
	retryShare   float64       // retries per request
	hedgeFloor   time.Duration // least wait before a hedge
	queueLimit   int           // requests that wait in one thread
}

// Default policy bounds.
const (
	DefaultHedgeShare    = 0.05
	DefaultRetryShare    = 0.2
	DefaultMinHedgeDelay = 30 * time.Millisecond
	DefaultQueueLimit    = 2000
)

// PolicyOption changes a policy.
type PolicyOption func(*Policy)

// WithRandomChoice picks any backend server with a free slot.
func WithRandomChoice() PolicyOption { return func(p *Policy) { p.randomChoice = true } }

// WithoutConcurrencyLimit turns the learned concurrency limit off.
func WithoutConcurrencyLimit() PolicyOption { return func(p *Policy) { p.noLimit = true } }

// WithoutHedging turns hedging off.
func WithoutHedging() PolicyOption { return func(p *Policy) { p.noHedge = true } }

// WithoutEjection turns the ejection of slow backend servers off.
func WithoutEjection() PolicyOption { return func(p *Policy) { p.noEject = true } }

// WithoutAffinity turns the preference for a warm prefix cache off.
func WithoutAffinity() PolicyOption { return func(p *Policy) { p.noAffinity = true } }

// WithFIFOQueue queues requests in arrival order.
func WithFIFOQueue() PolicyOption { return func(p *Policy) { p.firstCome = true } }

// WithBudgetShares bounds hedges and retries per request.
func WithBudgetShares(hedge, retry float64) PolicyOption {
	return func(p *Policy) { p.hedgeShare, p.retryShare = hedge, retry }
}

// WithQueueLimit bounds the requests that wait in one thread.
func WithQueueLimit(limit int) PolicyOption { return func(p *Policy) { p.queueLimit = limit } }

// NewPolicy returns the default policy with changes.
func NewPolicy(options ...PolicyOption) Policy {
	p := Policy{hedgeShare: DefaultHedgeShare, retryShare: DefaultRetryShare,
		hedgeFloor: DefaultMinHedgeDelay, queueLimit: DefaultQueueLimit}
	for _, option := range options {
		option(&p)
	}
	return p
}
