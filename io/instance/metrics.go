package instance

import (
	"sync"
	"time"

	"papayaquay/core/outcome"
	"papayaquay/core/traffic"
	"papayaquay/io/rpc"

	kitmetrics "github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
)

// histogramBuckets is the number of buckets of an expvar histogram.
const histogramBuckets = 50

// metricSet holds the metrics of the process. Expvar names are global, so several
// instances in one process share them.
type metricSet struct {
	calls        kitmetrics.Counter
	failures     kitmetrics.Counter
	milliseconds kitmetrics.Histogram
	finished     map[outcome.Code]kitmetrics.Counter
	firstToken   kitmetrics.Histogram
	hedges       kitmetrics.Counter
	retries      kitmetrics.Counter
	ejections    kitmetrics.Counter
	queueLength  kitmetrics.Gauge
}

// metrics returns the metrics of the process.
var metrics = sync.OnceValue(func() *metricSet {
	m := &metricSet{
		calls:        expvar.NewCounter("rpc_calls"),
		failures:     expvar.NewCounter("rpc_errors"),
		milliseconds: expvar.NewHistogram("rpc_ms", histogramBuckets),
		finished:     make(map[outcome.Code]kitmetrics.Counter),
		firstToken:   expvar.NewHistogram("first_token_ms", histogramBuckets),
		hedges:       expvar.NewCounter("hedges"),
		retries:      expvar.NewCounter("retries"),
		ejections:    expvar.NewCounter("ejections"),
		queueLength:  expvar.NewGauge("queue_length"),
	}
	for code := outcome.Pending; code <= outcome.Cancelled; code++ {
		m.finished[code] = expvar.NewCounter("requests_" + code.String())
	}
	return m
})

// meter returns the meter of unary RPCs.
func (m *metricSet) meter() rpc.Meter { return rpc.NewMeter(m.calls, m.failures, m.milliseconds) }

// observer returns an observer that counts a traffic thread's requests and attempts.
func (m *metricSet) observer() traffic.Observer {
	return traffic.NewObserver(
		traffic.WithFinished(func(code outcome.Code) { m.finished[code].Add(1) }),
		traffic.WithFirstToken(func(d time.Duration) { m.firstToken.Observe(float64(d.Microseconds()) / 1000) }),
		traffic.WithCounters(func() { m.hedges.Add(1) }, func() { m.retries.Add(1) }, func() { m.ejections.Add(1) },
			func(n int) { m.queueLength.Set(float64(n)) }),
	)
}
