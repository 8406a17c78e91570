package fleet

import (
	"sync"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/runner"

	kitmetrics "github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
)

// histogramBuckets is the resolution of expvar histograms.
const histogramBuckets = 50

// counters is a family of counters that are created as their labels appear.
type counters struct {
	prefix string
	mu     sync.Mutex
	known  map[string]kitmetrics.Counter
}

// add counts one event with a label.
func (c *counters) add(label string) {
	c.mu.Lock()
	counter := c.known[label]
	if counter == nil {
		counter = expvar.NewCounter(c.prefix + label)
		c.known[label] = counter
	}
	c.mu.Unlock()
	counter.Add(1)
}

// newCounters returns a family without counters.
func newCounters(prefix string) *counters {
	return &counters{prefix: prefix, known: make(map[string]kitmetrics.Counter)}
}

// metricSet holds the process's metrics; expvar names are global.
type metricSet struct {
	requests *counters // by outcome
	attempts *counters // by end
	items    *counters // attempts of batch items by end
	calls    *counters // calls of front ends by kind and outcome
	first    kitmetrics.Histogram
	total    kitmetrics.Histogram
	itemRuns kitmetrics.Histogram
	callTime kitmetrics.Histogram
}

// metrics returns the process's metrics.
var metrics = sync.OnceValue(func() *metricSet {
	return &metricSet{
		requests: newCounters("fleet_requests_"), attempts: newCounters("fleet_attempts_"),
		items: newCounters("fleet_items_"), calls: newCounters("fleet_calls_"),
		first:    expvar.NewHistogram("fleet_first_ms", histogramBuckets),
		total:    expvar.NewHistogram("fleet_request_ms", histogramBuckets),
		itemRuns: expvar.NewHistogram("fleet_item_ms", histogramBuckets),
		callTime: expvar.NewHistogram("fleet_call_ms", histogramBuckets),
	}
})

// millis returns a time span in milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// served counts a request that ended.
func (m *metricSet) served(outcome string, first, total time.Duration) {
	m.requests.add(outcome)
	m.total.Observe(millis(total))
	if first >= 0 {
		m.first.Observe(millis(first))
	}
}

// tried counts an attempt that ended.
func (m *metricSet) tried(end entry.End) { m.attempts.add(end.String()) }

// ran counts an attempt of a batch item that ended.
func (m *metricSet) ran(end runner.AttemptStatus, took time.Duration) {
	m.items.add(end.String())
	m.itemRuns.Observe(millis(took))
}

// called counts a call of a front end.
func (m *metricSet) called(kind string, err error, took time.Duration) {
	outcome := "ok"
	if err != nil {
		outcome = err.Error()
	}
	m.calls.add(kind + " " + outcome)
	m.callTime.Observe(millis(took))
}
