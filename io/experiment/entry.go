// Package experiment measures a system on this machine: the latency that an entry (an
// instance that serves callers) adds to a request, the cost of ledgers and membership, and
// the traffic policy under load and with slow engines.
package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/home"
	"papayaquay/core/traffic"
	"papayaquay/io/engine"
	"papayaquay/io/instance"
	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Settings that experiments share.
const (
	serviceName           = "bench"
	maxLatencyMicros      = 120_000_000
	startTimeout          = 30 * time.Second
	shortShutdownSettings = "[limits]\nbalancer_pause = \"50ms\"\nstop_bound = \"3s\"\n"
)

// Latencies is a histogram of latencies that is safe for concurrent use.
type Latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencies returns an empty histogram for latencies of up to two minutes.
func NewLatencies() *Latencies {
	return &Latencies{histogram: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

// Record adds one latency. A latency that exceeds the histogram is dropped.
func (l *Latencies) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(max(d.Microseconds(), 1))
}

// Count returns the number of latencies.
func (l *Latencies) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

// Quantile returns the quantile q, from 0 to 100.
func (l *Latencies) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond
}

// benchSystem is a system in this process with substitute engines.
type benchSystem struct {
	folder  string
	system  *standin.LocalSystem
	engines *standin.EngineGroup
	urls    []string
}

// newBenchSystem starts a system with perCentre instances in each data centre and the given
// number of engines. It waits until the system is ready.
func newBenchSystem(ctx context.Context, centres []string, perCentre, engines int, options []instance.Option, engineOptions ...standin.EngineOption) (*benchSystem, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "papayaquay-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	s := &benchSystem{folder: folder}
	layout, err := standin.NewLayout(folder, centres, perCentre, shortShutdownSettings)
	if err == nil {
		s.urls = layout.URLs()
		s.system, err = standin.StartLocalSystem(ctx, layout, slog.New(slog.DiscardHandler), options...)
	}
	if err == nil {
		s.engines, err = standin.NewEngineGroup(context.WithoutCancel(ctx), layout, engines, []string{serviceName}, engineOptions...)
	}
	if err == nil {
		err = standin.AwaitReady(ctx, s.urls, engines)
	}
	if err == nil {
		err = standin.CreateService(ctx, s.urls, serviceName, "engine")
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// close stops the system and removes its data folder.
func (s *benchSystem) close() {
	if s.engines != nil {
		s.engines.Close()
	}
	if s.system != nil {
		s.system.Stop()
	}
	os.RemoveAll(s.folder)
}

// runAtPoissonArrivals calls work for each arrival of a Poisson process, in a goroutine of
// its own, and waits for all calls. work gets the number and the intended time of the arrival.
func runAtPoissonArrivals(ctx context.Context, perSecond float64, duration time.Duration, seed uint64, work func(n int, intended time.Time)) {
	random := rand.New(rand.NewPCG(seed, 9))
	start := time.Now()
	next := start
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if next.Sub(start) > duration {
			break
		}
		time.Sleep(time.Until(next))
		wait.Add(1)
		go func(intended time.Time) {
			defer wait.Done()
			work(n, intended)
		}(next)
	}
	wait.Wait()
}

// timeToFirstText sends a request to an entry and returns the time from intended to the
// first text.
func timeToFirstText(ctx context.Context, url string, request *papayaquayv1.AskRequest, intended time.Time) (first time.Duration, err error) {
	stream, err := standin.CallerClient(url).Ask(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	for stream.Receive() {
		if first == 0 && stream.Msg().GetText() != "" {
			first = time.Since(intended)
		}
		if a := stream.Msg().GetAnswer(); a != nil && a.GetCode() != papayaquayv1.Code_CODE_OK {
			return first, errors.Newf("%s: %s", a.GetCode(), a.GetReason())
		}
	}
	return first, stream.Err()
}

// directTimeToFirstToken sends a request directly to an engine and returns the time from
// intended to the first token.
func directTimeToFirstToken(ctx context.Context, client *engine.Client, address, id, prompt string, tokens int, intended time.Time) time.Duration {
	done := make(chan struct{})
	var once sync.Once
	var first time.Duration
	attempt := traffic.NewAttempt(ctx, 1, address, config.ProtocolEngine, prompt, tokens, intended.Add(time.Minute))
	client.Begin(id, attempt, func(in traffic.Input) {
		if ended, _ := in.AttemptEnded(); ended {
			close(done)
			return
		}
		once.Do(func() { first = time.Since(intended) })
	})
	<-done
	return first
}

// MeasureEntry prints the time to the first token of requests through an entry and of
// direct requests to an engine, each sent at rate requests a second in the same experiment.
func MeasureEntry(ctx context.Context, out io.Writer, rate float64, duration time.Duration) error {
	system, err := newBenchSystem(ctx, []string{"dc-a", "dc-b", "dc-c"}, 1, 3, nil,
		standin.WithSlots(128), standin.WithSpeed(2*time.Millisecond, 0))
	if err != nil {
		return err
	}
	defer system.close()
	client := engine.New("direct", engine.NewTransport())
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	throughEntry, direct := NewLatencies(), NewLatencies()
	failed := 0
	var mu sync.Mutex
	address := system.engines.Engines()[0].URL()
	runAtPoissonArrivals(ctx, 2*rate, duration, 1, func(n int, intended time.Time) {
		prompt := fmt.Sprintf("prompt %d", n)
		if n%2 == 0 {
			direct.Record(directTimeToFirstToken(ctx, client, address, fmt.Sprintf("direct/%d", n), prompt, 8, intended))
			return
		}
		first, err := timeToFirstText(ctx, system.urls[0], &papayaquayv1.AskRequest{Key: fmt.Sprintf("k%d", n), Service: serviceName, Prompt: prompt, MaxTokens: 8}, intended)
		if err != nil {
			mu.Lock()
			failed++
			mu.Unlock()
			return
		}
		throughEntry.Record(first)
	})
	fmt.Fprintf(out, "first token, %d direct and %d through the entry, %d failed\n", direct.Count(), throughEntry.Count(), failed)
	for _, q := range []float64{50, 95, 99} {
		fmt.Fprintf(out, "p%.0f: direct %s, entry %s, added %s\n", q, direct.Quantile(q), throughEntry.Quantile(q), throughEntry.Quantile(q)-direct.Quantile(q))
	}
	return nil
}

// testAnswer returns an answer of 12 tokens as a ledger stores it.
func testAnswer(n int) home.Answer {
	return home.NewAnswer(1, standin.ExpectedAnswer(fmt.Sprint(n), 12), 12, "", "engine-00", time.Now())
}
