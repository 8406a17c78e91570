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

// histogramBuckets is the resolution of expvar histograms.
const histogramBuckets = 50

// metricSet holds the process's metrics; expvar names are global, so several
// instances in one process share them.
type metricSet struct {
	calls    kitmetrics.Counter
	failures kitmetrics.Counter
	millis   kitmetrics.Histogram
	ended    map[outcome.Code]kitmetrics.Counter
	first    kitmetrics.Histogram
	hedges   kitmetrics.Counter
	retries  kitmetrics.Counter
	ejects   kitmetrics.Counter
	queue    kitmetrics.Gauge
}

// metrics returns the process's metrics.
var metrics = sync.OnceValue(func() *metricSet {
	m := &metricSet{
		calls:    expvar.NewCounter("rpc_calls"),
		failures: expvar.NewCounter("rpc_errors"),
		millis:   expvar.NewHistogram("rpc_ms", histogramBuckets),
		ended:    make(map[outcome.Code]kitmetrics.Counter),
		first:    expvar.NewHistogram("first_token_ms", histogramBuckets),
		hedges:   expvar.NewCounter("hedges"),
		retries:  expvar.NewCounter("retries"),
		ejects:   expvar.NewCounter("ejections"),
		queue:    expvar.NewGauge("queue_length"),
	}
	for code := outcome.Pending; code <= outcome.Cancelled; code++ {
		m.ended[code] = expvar.NewCounter("requests_" + code.String())
	}
	return m
})

// meter returns the metrics of unary calls.
func (m *metricSet) meter() rpc.Meter { return rpc.NewMeter(m.calls, m.failures, m.millis) }

// observer returns the metrics of a traffic thread.
func (m *metricSet) observer() traffic.Observer {
	return traffic.NewObserver(
		traffic.WithFinished(func(code outcome.Code) { m.ended[code].Add(1) }),
		traffic.WithFirstToken(func(d time.Duration) { m.first.Observe(float64(d.Microseconds()) / 1000) }),
		traffic.WithCounters(func() { m.hedges.Add(1) }, func() { m.retries.Add(1) }, func() { m.ejects.Add(1) },
			func(n int) { m.queue.Set(float64(n)) }),
	)
}
