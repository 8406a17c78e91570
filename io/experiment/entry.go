// Package experiment measures a system on this machine: what an entry adds to
// a request, what ledgers and membership cost, and how the traffic policy does
// under load and faults.
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

// Common sizes of experiments.
const (
	service    = "bench"
	maxMicros  = 120_000_000
	startBound = 30 * time.Second
	quickStop  = "[limits]\nbalancer_pause = \"50ms\"\nstop_bound = \"3s\"\n"
)

// Latencies collects times from several goroutines.
type Latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencies returns an empty collection.
func NewLatencies() *Latencies { return &Latencies{histogram: hdrhistogram.New(1, maxMicros, 3)} }

// Record notes one time.
func (l *Latencies) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(max(d.Microseconds(), 1))
}

// Count returns the number of times.
func (l *Latencies) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

// Quantile returns a quantile, 0 to 100.
func (l *Latencies) Quantile(q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond
}

// rig is a system in this process with substitute engines.
type rig struct {
	folder string
	local  *standin.LocalSystem
	fleet  *standin.EngineGroup
	urls   []string
}

// newRig starts a system.
func newRig(ctx context.Context, centres []string, perCentre, engines int, options []instance.Option, engineOptions ...standin.EngineOption) (*rig, error) {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	folder, err := os.MkdirTemp("", "papayaquay-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	r := &rig{folder: folder}
	layout, err := standin.NewLayout(folder, centres, perCentre, quickStop)
	if err == nil {
		r.urls = layout.URLs()
		r.local, err = standin.StartLocalSystem(ctx, layout, slog.New(slog.DiscardHandler), options...)
	}
	if err == nil {
		r.fleet, err = standin.NewEngineGroup(context.WithoutCancel(ctx), layout, engines, []string{service}, engineOptions...)
	}
	if err == nil {
		err = standin.AwaitReady(ctx, r.urls, engines)
	}
	if err == nil {
		err = standin.CreateService(ctx, r.urls, service, "engine")
	}
	if err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

// close ends the system.
func (r *rig) close() {
	if r.fleet != nil {
		r.fleet.Close()
	}
	if r.local != nil {
		r.local.Stop()
	}
	os.RemoveAll(r.folder)
}

// poisson calls work at random times with the given mean rate a second.
func poisson(ctx context.Context, rate float64, length time.Duration, seed uint64, work func(n int, intended time.Time)) {
	random := rand.New(rand.NewPCG(seed, 9))
	begin := time.Now()
	at := begin
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(begin) > length {
			break
		}
		time.Sleep(time.Until(at))
		wait.Add(1)
		go func(intended time.Time) {
			defer wait.Done()
			work(n, intended)
		}(at)
	}
	wait.Wait()
}

// askFirst asks and returns the time to the first text since intended.
func askFirst(ctx context.Context, url string, m *papayaquayv1.AskRequest, intended time.Time) (first time.Duration, err error) {
	stream, err := standin.CallerClient(url).Ask(ctx, connect.NewRequest(m))
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

// directFirst asks the engine itself and returns the time to the first token.
func directFirst(ctx context.Context, client *engine.Client, address, id, prompt string, tokens int, intended time.Time) time.Duration {
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

// MeasureEntry compares first-token times through an entry with direct calls to the
// same engine, both in one run.
func MeasureEntry(ctx context.Context, out io.Writer, rate float64, length time.Duration) error {
	r, err := newRig(ctx, []string{"dc-a", "dc-b", "dc-c"}, 1, 3, nil,
		standin.WithSlots(128), standin.WithSpeed(2*time.Millisecond, 0))
	if err != nil {
		return err
	}
	defer r.close()
	client := engine.New("direct", engine.NewTransport())
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 256
	through, direct := NewLatencies(), NewLatencies()
	failed := 0
	var mu sync.Mutex
	address := r.fleet.Engines()[0].URL()
	poisson(ctx, 2*rate, length, 1, func(n int, intended time.Time) {
		prompt := fmt.Sprintf("prompt %d", n)
		if n%2 == 0 {
			direct.Record(directFirst(ctx, client, address, fmt.Sprintf("direct/%d", n), prompt, 8, intended))
			return
		}
		first, err := askFirst(ctx, r.urls[0], &papayaquayv1.AskRequest{Key: fmt.Sprintf("k%d", n), Service: service, Prompt: prompt, MaxTokens: 8}, intended)
		if err != nil {
			mu.Lock()
			failed++
			mu.Unlock()
			return
		}
		through.Record(first)
	})
	fmt.Fprintf(out, "first token, %d direct and %d through the entry, %d failed\n", direct.Count(), through.Count(), failed)
	for _, q := range []float64{50, 95, 99} {
		fmt.Fprintf(out, "p%.0f: direct %s, entry %s, added %s\n", q, direct.Quantile(q), through.Quantile(q), through.Quantile(q)-direct.Quantile(q))
	}
	return nil
}

// answerOf returns a typical stored answer.
func answerOf(n int) home.Answer {
	return home.NewAnswer(1, standin.ExpectedAnswer(fmt.Sprint(n), 12), 12, "", "engine-00", time.Now())
}
