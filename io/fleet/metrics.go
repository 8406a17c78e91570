package fleet

import (
	"strconv"
	"sync"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/runner"

	kitmetrics "github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
)

// histogramBuckets is the number of buckets of each expvar histogram.
const histogramBuckets = 50

// Buckets of the sizes of batch items.
const (
	sizeBucketTokens = 256
	maxSizeTokens    = 8192 // larger items are counted in the last bucket
)

// counters is a family of counters. Each is created at the first event with its
// label.
type counters struct {
	prefix  string
	mu      sync.Mutex
	byLabel map[string]kitmetrics.Counter
}

// add counts one event with a label.
func (c *counters) add(label string) {
	c.mu.Lock()
	counter := c.byLabel[label]
	if counter == nil {
		counter = expvar.NewCounter(c.prefix + label)
		c.byLabel[label] = counter
	}
	c.mu.Unlock()
	counter.Add(1)
}

// newCounters returns an empty family whose metric names begin with prefix.
func newCounters(prefix string) *counters {
	return &counters{prefix: prefix, byLabel: make(map[string]kitmetrics.Counter)}
}

// metricSet holds the metrics of the process. There is one set, because expvar
// names are global.
type metricSet struct {
	requests    *counters // by outcome
	attempts    *counters // by status
	items       *counters // attempts of batch items by status
	itemSizes   *counters // attempts of batch items by status and size
	calls       *counters // calls of front ends by kind and outcome
	coding      *counters // messages between instances that could not be encoded (to) or decoded (from), by kind
	headerTime  kitmetrics.Histogram
	requestTime kitmetrics.Histogram
	itemTime    kitmetrics.Histogram
	callTime    kitmetrics.Histogram
}

// metrics returns the metrics of the process.
var metrics = sync.OnceValue(func() *metricSet {
	return &metricSet{
		requests: newCounters("fleet_requests_"), attempts: newCounters("fleet_attempts_"),
		items: newCounters("fleet_items_"), itemSizes: newCounters("fleet_item_sizes_"), calls: newCounters("fleet_calls_"), coding: newCounters("fleet_coding_failures_"),
		headerTime:  expvar.NewHistogram("fleet_first_ms", histogramBuckets),
		requestTime: expvar.NewHistogram("fleet_request_ms", histogramBuckets),
		itemTime:    expvar.NewHistogram("fleet_item_ms", histogramBuckets),
		callTime:    expvar.NewHistogram("fleet_call_ms", histogramBuckets),
	}
})

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// requestEnded counts an ended request and records the times until its response
// header (negative without one) and until its end.
func (m *metricSet) requestEnded(outcome string, toHeader, total time.Duration) {
	m.requests.add(outcome)
	m.requestTime.Observe(millis(total))
	if toHeader >= 0 {
		m.headerTime.Observe(millis(toHeader))
	}
}

// attemptEnded counts an ended attempt.
func (m *metricSet) attemptEnded(status entry.AttemptStatus) { m.attempts.add(status.String()) }

// itemAttemptEnded counts an ended attempt of a batch item with the given number of
// tokens and records its duration.
func (m *metricSet) itemAttemptEnded(status runner.AttemptStatus, tokens int, duration time.Duration) {
	m.items.add(status.String())
	m.itemSizes.add(status.String() + " " + sizeBucket(tokens))
	m.itemTime.Observe(millis(duration))
}

// sizeBucket returns the label of the bucket for a number of tokens: its upper bound.
func sizeBucket(tokens int) string {
	bucket := (tokens + sizeBucketTokens - 1) / sizeBucketTokens * sizeBucketTokens
	return strconv.Itoa(min(bucket, maxSizeTokens))
}

// callEnded counts a call of a front end and records its duration.
func (m *metricSet) callEnded(kind string, err error, duration time.Duration) {
	outcome := "ok"
	if err != nil {
		outcome = err.Error()
	}
	m.calls.add(kind + " " + outcome)
	m.callTime.Observe(millis(duration))
}

// codingFailed counts a message from or to another instance that could not be decoded or encoded.
func (m *metricSet) codingFailed(call, direction string) { m.coding.add(direction + " " + call) }
