package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"papayaquay/core/traffic"
	"papayaquay/io/instance"
	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Requests, engines and timing of the load test.
const (
	shortTokens        = 8
	sharedPrefixTokens = 16
	longTokensFactor   = 30
	itemTokens         = 24
	sharedPrefixes     = 8   // number of distinct prefixes
	sharedPrefixBytes  = 600 // approximate
	slowdownPeriod     = 3 * time.Second
	engineSlots        = 8
	engineTokenTime    = 20 * time.Millisecond
	itemsPerSubmit     = 1000
)

// LoadTest describes one load test.
type LoadTest struct {
	Rate                 float64       `json:"rate"` // online requests per second
	Duration             time.Duration `json:"length"`
	Engines              int           `json:"engines"`
	EntriesPerDataCentre int           `json:"entries"` // in each of three data centres
	BatchItems           int           `json:"items"`   // batch items that run with the online load
	LongShare            float64       `json:"long"`    // share of requests with 30 times the tokens
	SlowedEngines        int           `json:"slowed"`  // engines that are ten times slower at any time
	Burst                bool          `json:"burst"`   // three times the rate in the middle third
	BaselineParts        []string      `json:"plain"`   // names of the policy parts at their baseline
	Seed                 uint64        `json:"seed"`
}

// LoadResult is the result of a load test.
type LoadResult struct {
	Test         LoadTest           `json:"load"`
	ShortMS      map[string]float64 `json:"short_first_ms"`
	LongMS       map[string]float64 `json:"long_first_ms"`
	Answered     int64              `json:"answered"`
	Failed       int64              `json:"failed"`
	ItemsDone    int                `json:"items_done"`
	PeakRequests int                `json:"peak_at_an_engine"`
	CacheHits    int                `json:"cache_hits"`
	CacheLookups int                `json:"cache_tries"`
}

// baselineOptions maps the names of policy parts to the options for their baseline.
var baselineOptions = map[string]traffic.PolicyOption{
	"choice": traffic.WithRandomChoice(), "limit": traffic.WithoutConcurrencyLimit(), "hedge": traffic.WithoutHedging(),
	"eject": traffic.WithoutEjection(), "affinity": traffic.WithoutAffinity(), "order": traffic.WithFIFOQueue(),
}

// Run runs the test on a system in this process.
func (l LoadTest) Run(ctx context.Context) (LoadResult, error) {
	var options []traffic.PolicyOption
	for _, name := range l.BaselineParts {
		option, ok := baselineOptions[name]
		if !ok {
			return LoadResult{}, errors.Newf("unknown policy part %q", name)
		}
		options = append(options, option)
	}
	system, err := newBenchSystem(ctx, []string{"dc-a", "dc-b", "dc-c"}, l.EntriesPerDataCentre, l.Engines,
		[]instance.Option{instance.WithPolicy(traffic.NewPolicy(options...))},
		standin.WithSlots(engineSlots), standin.WithSpeed(engineTokenTime, standin.DefaultPrefillPerByte))
	if err != nil {
		return LoadResult{}, err
	}
	defer system.close()
	return l.measure(ctx, system)
}

// measure applies the load and collects the result.
func (l LoadTest) measure(ctx context.Context, system *benchSystem) (LoadResult, error) {
	if l.BatchItems > 0 {
		if err := system.submitItems(ctx, l.BatchItems); err != nil {
			return LoadResult{}, err
		}
		time.Sleep(2 * time.Second)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if l.SlowedEngines > 0 {
		go l.slowEngines(ctx, system.engines)
	}
	short, long := NewLatencies(), NewLatencies()
	var failed atomic.Int64
	send := func(n int, intended time.Time) {
		request, isLong := l.request(n)
		first, err := timeToFirstText(ctx, system.urls[n%len(system.urls)], request, intended)
		switch {
		case err != nil:
			failed.Add(1)
		case isLong:
			long.Record(first)
		default:
			short.Record(first)
		}
	}
	before, _ := system.itemsDone(ctx)
	l.sendRequests(ctx, send)
	result := LoadResult{Test: l, ShortMS: quantilesMS(short), LongMS: quantilesMS(long), Answered: short.Count() + long.Count(), Failed: failed.Load()}
	after, err := system.itemsDone(ctx)
	result.ItemsDone = after - before
	for _, e := range system.engines.Engines() {
		hits, lookups := e.CacheStats()
		result.CacheHits += hits
		result.CacheLookups += lookups
		result.PeakRequests = max(result.PeakRequests, e.PeakRequests())
	}
	return result, err
}

// sendRequests sends the open-loop load, with three times the rate in the middle third if
// Burst is set.
func (l LoadTest) sendRequests(ctx context.Context, send func(int, time.Time)) {
	third := l.Duration / 3
	for part := range 3 {
		rate := l.Rate
		if l.Burst && part == 1 {
			rate *= 3
		}
		runAtPoissonArrivals(ctx, rate, third, l.Seed*3+uint64(part), func(n int, intended time.Time) { send(part*1_000_000+n, intended) })
	}
}

// request returns request n of the load and whether it is long. 40 % of the requests share
// one of a few long prefixes.
func (l LoadTest) request(n int) (*papayaquayv1.AskRequest, bool) {
	random := rand.New(rand.NewPCG(l.Seed, uint64(n)))
	request := &papayaquayv1.AskRequest{Key: fmt.Sprintf("k%d", n), Service: serviceName, MaxTokens: shortTokens, Prompt: fmt.Sprintf("short %d", n), TimeoutMs: 60_000}
	switch draw := random.Float64(); {
	case draw < l.LongShare:
		request.MaxTokens = shortTokens * longTokensFactor
		return request, true
	case draw < l.LongShare+0.4:
		prefix := strings.Repeat(fmt.Sprintf("device spec %d ", random.IntN(sharedPrefixes)), sharedPrefixBytes/14)
		request.Prompt, request.MaxTokens = prefix+request.Prompt, sharedPrefixTokens
	}
	return request, false
}

// slowEngines makes random engines ten times slower. It chooses others every
// slowdownPeriod until the context ends.
func (l LoadTest) slowEngines(ctx context.Context, engines *standin.EngineGroup) {
	random := rand.New(rand.NewPCG(l.Seed, 77))
	for ctx.Err() == nil {
		order := random.Perm(len(engines.Engines()))
		for i, n := range order {
			factor := 1.0
			if i < l.SlowedEngines {
				factor = 10
			}
			engines.Engines()[n].SetSlowdown(factor)
		}
		select {
		case <-ctx.Done():
		case <-time.After(slowdownPeriod):
		}
	}
}

// submitItems submits a batch job in several parts.
func (s *benchSystem) submitItems(ctx context.Context, items int) error {
	for from := 0; from < items; from += itemsPerSubmit {
		var list []*papayaquayv1.Item
		for n := from; n < min(from+itemsPerSubmit, items); n++ {
			list = append(list, &papayaquayv1.Item{Prompt: fmt.Sprintf("item %d", n), MaxTokens: itemTokens})
		}
		_, err := standin.CallerClient(s.urls[0]).SubmitJob(ctx, connect.NewRequest(&papayaquayv1.SubmitJobRequest{
			Job: "batch", Service: serviceName, Total: int32(items), Offset: int32(from), Items: list}))
		if err != nil {
			return errors.Wrap(err, "submit job")
		}
	}
	return nil
}

// itemsDone returns the number of finished items of the batch job, 0 if there is no job.
func (s *benchSystem) itemsDone(ctx context.Context) (int, error) {
	response, err := standin.CallerClient(s.urls[0]).GetJob(context.WithoutCancel(ctx), connect.NewRequest(&papayaquayv1.GetJobRequest{Job: "batch"}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "job status")
	}
	return int(response.Msg.GetStatus().GetDone()), nil
}

// quantilesMS returns the quantiles p50, p95 and p99 in milliseconds.
func quantilesMS(l *Latencies) map[string]float64 {
	out := make(map[string]float64)
	for _, q := range []float64{50, 95, 99} {
		out[fmt.Sprintf("p%.0f", q)] = float64(l.Quantile(q).Microseconds()) / 1000
	}
	return out
}

// Print writes a result as one line of text, or of JSON.
func (r LoadResult) Print(out io.Writer, asJSON bool) error {
	if asJSON {
		return errors.Wrap(json.NewEncoder(out).Encode(r), "print")
	}
	_, err := fmt.Fprintf(out, "short p50 %.1f p95 %.1f p99 %.1f ms; long p50 %.1f p99 %.1f ms; answered %d, failed %d; items done %d; peak at an engine %d; cache hits %d of %d\n",
		r.ShortMS["p50"], r.ShortMS["p95"], r.ShortMS["p99"], r.LongMS["p50"], r.LongMS["p99"],
		r.Answered, r.Failed, r.ItemsDone, r.PeakRequests, r.CacheHits, r.CacheLookups)
	return errors.Wrap(err, "print")
}
