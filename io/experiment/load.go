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

// Shape of the load experiment.
const (
	shortTokens   = 8
	sharedTokens  = 16
	longFactor    = 30
	itemTokens    = 24
	sharedPrompts = 8 // distinct long prefixes
	prefixLength  = 600
	slowTime      = 3 * time.Second
	loadSlots     = 8
	loadToken     = 20 * time.Millisecond
	batchPart     = 1000
)

// LoadTest describes one load experiment.
type LoadTest struct {
	Rate    float64       `json:"rate"` // online requests a second
	Duration  time.Duration `json:"length"`
	Engines int           `json:"engines"`
	EntriesPerDataCentre int           `json:"entries"` // in each of three data centres
	BatchItems   int           `json:"items"`   // batch items beside the online load
	LongShare    float64       `json:"long"`    // share of requests 30 times longer
	SlowedEngines  int           `json:"slowed"`  // engines slowed ten times at a time
	Burst   bool          `json:"burst"`   // three times the rate in the middle third
	BaselineParts   []string      `json:"plain"`   // policy parts at their baseline
	Seed    uint64        `json:"seed"`
}

// LoadResult is what a load experiment measured.
type LoadResult struct {
	Test       LoadTest               `json:"load"`
	ShortMS    map[string]float64 `json:"short_first_ms"`
	LongMS     map[string]float64 `json:"long_first_ms"`
	Answered   int64              `json:"answered"`
	Failed     int64              `json:"failed"`
	ItemsDone  int                `json:"items_done"`
	PeakRequests  int                `json:"peak_at_an_engine"`
	CacheHits  int                `json:"cache_hits"`
	CacheLookups int                `json:"cache_tries"`
}

// policies maps the names of policy parts to their baseline.
var policies = map[string]traffic.PolicyOption{
	"choice": traffic.WithRandomChoice(), "limit": traffic.WithoutConcurrencyLimit(), "hedge": traffic.WithoutHedging(),
	"eject": traffic.WithoutEjection(), "affinity": traffic.WithoutAffinity(), "order": traffic.WithFIFOQueue(),
}

// Run runs the experiment on a system in this process.
func (l LoadTest) Run(ctx context.Context) (LoadResult, error) {
	var options []traffic.PolicyOption
	for _, name := range l.BaselineParts {
		option, ok := policies[name]
		if !ok {
			return LoadResult{}, errors.Newf("unknown policy part %q", name)
		}
		options = append(options, option)
	}
	r, err := newRig(ctx, []string{"dc-a", "dc-b", "dc-c"}, l.EntriesPerDataCentre, l.Engines,
		[]instance.Option{instance.WithPolicy(traffic.NewPolicy(options...))},
		standin.WithSlots(loadSlots), standin.WithSpeed(loadToken, standin.DefaultPrefillPerByte))
	if err != nil {
		return LoadResult{}, err
	}
	defer r.close()
	return l.drive(ctx, r)
}

// drive applies the load and collects the result.
func (l LoadTest) drive(ctx context.Context, r *rig) (LoadResult, error) {
	if l.BatchItems > 0 {
		if err := r.submitItems(ctx, l.BatchItems); err != nil {
			return LoadResult{}, err
		}
		time.Sleep(2 * time.Second)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if l.SlowedEngines > 0 {
		go l.slow(ctx, r.fleet)
	}
	short, long := NewLatencies(), NewLatencies()
	var failed atomic.Int64
	send := func(n int, intended time.Time) {
		m, isLong := l.message(n)
		first, err := askFirst(ctx, r.urls[n%len(r.urls)], m, intended)
		switch {
		case err != nil:
			failed.Add(1)
		case isLong:
			long.Record(first)
		default:
			short.Record(first)
		}
	}
	before, _ := r.itemsDone(ctx)
	l.arrive(ctx, send)
	result := LoadResult{Test: l, ShortMS: quantiles(short), LongMS: quantiles(long), Answered: short.Count() + long.Count(), Failed: failed.Load()}
	after, err := r.itemsDone(ctx)
	result.ItemsDone = after - before
	for _, e := range r.fleet.Engines() {
		hits, tries := e.CacheStats()
		result.CacheHits += hits
		result.CacheLookups += tries
		result.PeakRequests = max(result.PeakRequests, e.PeakRequests())
	}
	return result, err
}

// arrive sends the open-loop load, with a burst in the middle third if asked.
func (l LoadTest) arrive(ctx context.Context, send func(int, time.Time)) {
	third := l.Duration / 3
	for part := range 3 {
		rate := l.Rate
		if l.Burst && part == 1 {
			rate *= 3
		}
		poisson(ctx, rate, third, l.Seed*3+uint64(part), func(n int, intended time.Time) { send(part*1_000_000+n, intended) })
	}
}

// message returns request n of the load and whether it is a long one.
func (l LoadTest) message(n int) (*papayaquayv1.AskRequest, bool) {
	random := rand.New(rand.NewPCG(l.Seed, uint64(n)))
	m := &papayaquayv1.AskRequest{Key: fmt.Sprintf("k%d", n), Service: service, MaxTokens: shortTokens, Prompt: fmt.Sprintf("short %d", n), TimeoutMs: 60_000}
	switch draw := random.Float64(); {
	case draw < l.LongShare:
		m.MaxTokens = shortTokens * longFactor
		return m, true
	case draw < l.LongShare+0.4:
		prefix := strings.Repeat(fmt.Sprintf("device spec %d ", random.IntN(sharedPrompts)), prefixLength/14)
		m.Prompt, m.MaxTokens = prefix+m.Prompt, sharedTokens
	}
	return m, false
}

// slow slows random engines ten times, others every few seconds.
func (l LoadTest) slow(ctx context.Context, fleet *standin.EngineGroup) {
	random := rand.New(rand.NewPCG(l.Seed, 77))
	for ctx.Err() == nil {
		order := random.Perm(len(fleet.Engines()))
		for i, n := range order {
			factor := 1.0
			if i < l.SlowedEngines {
				factor = 10
			}
			fleet.Engines()[n].SetSlowdown(factor)
		}
		select {
		case <-ctx.Done():
		case <-time.After(slowTime):
		}
	}
}

// submitItems stores a batch job in parts.
func (r *rig) submitItems(ctx context.Context, items int) error {
	for from := 0; from < items; from += batchPart {
		var list []*papayaquayv1.Item
		for n := from; n < min(from+batchPart, items); n++ {
			list = append(list, &papayaquayv1.Item{Prompt: fmt.Sprintf("item %d", n), MaxTokens: itemTokens})
		}
		_, err := standin.CallerClient(r.urls[0]).SubmitJob(ctx, connect.NewRequest(&papayaquayv1.SubmitJobRequest{
			Job: "batch", Service: service, Total: int32(items), Offset: int32(from), Items: list}))
		if err != nil {
			return errors.Wrap(err, "submit job")
		}
	}
	return nil
}

// itemsDone returns the number of finished items.
func (r *rig) itemsDone(ctx context.Context) (int, error) {
	response, err := standin.CallerClient(r.urls[0]).GetJob(context.WithoutCancel(ctx), connect.NewRequest(&papayaquayv1.GetJobRequest{Job: "batch"}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "job status")
	}
	return int(response.Msg.GetStatus().GetDone()), nil
}

// quantiles returns the usual quantiles in milliseconds.
func quantiles(l *Latencies) map[string]float64 {
	out := make(map[string]float64)
	for _, q := range []float64{50, 95, 99} {
		out[fmt.Sprintf("p%.0f", q)] = float64(l.Quantile(q).Microseconds()) / 1000
	}
	return out
}

// Print writes a result for people, or as one line of JSON.
func (r LoadResult) Print(out io.Writer, asJSON bool) error {
	if asJSON {
		return errors.Wrap(json.NewEncoder(out).Encode(r), "print")
	}
	_, err := fmt.Fprintf(out, "short p50 %.1f p95 %.1f p99 %.1f ms; long p50 %.1f p99 %.1f ms; answered %d, failed %d; items done %d; peak at an engine %d; cache hits %d of %d\n",
		r.ShortMS["p50"], r.ShortMS["p95"], r.ShortMS["p99"], r.LongMS["p50"], r.LongMS["p99"],
		r.Answered, r.Failed, r.ItemsDone, r.PeakRequests, r.CacheHits, r.CacheLookups)
	return errors.Wrap(err, "print")
}
