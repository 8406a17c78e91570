package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"
	"papayaquay/proto/papayaquay/v1/papayaquayv1connect"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Parameters of the demo.
const (
	demoEngines      = 4
	demoService      = "demo"
	demoTokens       = 12
	demoTimeout      = 2 * time.Minute
	demoInterval     = 20 * time.Millisecond // between online requests, and between polls of the job
	maxLatencyMicros = 60_000_000
)

// errWrongAnswers is returned if answers are missing, duplicated or wrong.
var errWrongAnswers = errors.New("the demo found missing, duplicated or wrong answers")

// runDemo starts three instances and some substitute engines in this process,
// sends them online requests and a job of items, and prints a report to out.
func runDemo(ctx context.Context, out io.Writer, items, asks int) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dataFolder, err := os.MkdirTemp("", "papayaquay-demo-")
	if err != nil {
		return errors.Wrap(err, "create data folder")
	}
	defer os.RemoveAll(dataFolder)
	layout, err := standin.NewLayout(dataFolder, []string{"dc-a", "dc-b", "dc-c"}, 1, "[limits]\nbalancer_pause = \"100ms\"\nstop_bound = \"5s\"\n")
	if err != nil {
		return err
	}
	system, err := standin.StartLocalSystem(ctx, layout, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	defer system.Stop()
	recorder := &standin.Recorder{}
	engineGroup, err := standin.NewEngineGroup(ctx, layout, demoEngines, []string{demoService}, standin.WithRecorder(recorder))
	if err != nil {
		return err
	}
	defer engineGroup.Close()
	if err := standin.AwaitReady(ctx, layout.URLs(), demoEngines); err != nil {
		return err
	}
	if err := standin.CreateService(ctx, layout.URLs(), demoService, "engine"); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d instances in 3 data centres, %d engines, service %q created\n", len(layout.Instances()), demoEngines, demoService)
	d := &demo{ctx: ctx, out: out, urls: layout.URLs(), firstTextLatency: hdrhistogram.New(1, maxLatencyMicros, 3), answerLatency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	return d.run(items, asks)
}

// demo holds the state of one run of the demo.
type demo struct {
	ctx              context.Context
	out              io.Writer
	urls             []string
	mu               sync.Mutex
	firstTextLatency *hdrhistogram.Histogram // microseconds to the first text
	answerLatency    *hdrhistogram.Histogram // microseconds to the stored answer
	wrongAnswers     int
}

// run sends one request, then online requests while a job runs, and prints a
// report. It returns errWrongAnswers unless every answer is right.
func (d *demo) run(items, asks int) error {
	fmt.Fprint(d.out, "one request: ")
	if err := d.ask("ask-first", d.out); err != nil {
		return err
	}
	fmt.Fprintln(d.out)
	start := time.Now()
	if err := d.submitJob(items); err != nil {
		return err
	}
	var wait sync.WaitGroup
	for n := range asks {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := d.ask(fmt.Sprintf("ask-%d", n), io.Discard); err != nil {
				d.reportWrong("request %d: %v", n, err)
			}
		}()
		time.Sleep(demoInterval)
	}
	wait.Wait()
	if err := d.awaitJob(); err != nil {
		return err
	}
	elapsed := time.Since(start)
	answered, err := d.checkResults()
	if err != nil {
		return err
	}
	d.report(items, answered, asks, elapsed)
	if d.wrongAnswers > 0 || answered != items {
		return errWrongAnswers
	}
	return nil
}

// reportWrong prints and counts a wrong answer.
func (d *demo) reportWrong(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wrongAnswers++
	fmt.Fprintf(d.out, "wrong: "+format+"\n", args...)
}

// client returns a caller's client of the instance with index n modulo the number
// of instances.
func (d *demo) client(n int) papayaquayv1connect.CallerServiceClient {
	return standin.CallerClient(d.urls[n%len(d.urls)])
}

// ask runs one online request and checks its answer.
func (d *demo) ask(prompt string, out io.Writer) error {
	start := time.Now()
	stream, err := d.client(len(prompt)).Ask(d.ctx, connect.NewRequest(&papayaquayv1.AskRequest{
		Key: "demo/" + prompt, Service: demoService, Prompt: prompt, MaxTokens: demoTokens}))
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer stream.Close()
	text := ""
	for stream.Receive() {
		m := stream.Msg()
		if text == "" && m.GetText() != "" {
			d.recordLatency(d.firstTextLatency, time.Since(start))
		}
		text += m.GetText()
		fmt.Fprint(out, m.GetText())
		if m.GetAnswer() != nil {
			d.recordLatency(d.answerLatency, time.Since(start))
			if want := standin.ExpectedAnswer(prompt, demoTokens); m.GetAnswer().GetText() != want || text != want {
				d.reportWrong("answer to %s is %q", prompt, m.GetAnswer().GetText())
			}
			return nil
		}
	}
	return errors.Wrap(stream.Err(), "ask")
}

// recordLatency adds a latency to a histogram.
func (d *demo) recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = h.RecordValue(latency.Microseconds())
}

// itemPrompt returns the prompt of item n of the job.
func itemPrompt(n int) string { return fmt.Sprintf("item-%d", n) }

// submitJob submits a job with the given number of items.
func (d *demo) submitJob(items int) error {
	var jobItems []*papayaquayv1.Item
	for n := range items {
		jobItems = append(jobItems, &papayaquayv1.Item{Prompt: itemPrompt(n), MaxTokens: demoTokens})
	}
	_, err := d.client(0).SubmitJob(d.ctx, connect.NewRequest(&papayaquayv1.SubmitJobRequest{
		Job: "demo-job", Service: demoService, Total: int32(items), Items: jobItems}))
	return errors.Wrap(err, "submit job")
}

// awaitJob polls the job until it is finished.
func (d *demo) awaitJob() error {
	for {
		response, err := d.client(1).GetJob(d.ctx, connect.NewRequest(&papayaquayv1.GetJobRequest{Job: "demo-job"}))
		if err != nil {
			return errors.Wrap(err, "job status")
		}
		if response.Msg.GetStatus().GetFinished() {
			return nil
		}
		select {
		case <-d.ctx.Done():
			return errors.Wrap(d.ctx.Err(), "job is not finished")
		case <-time.After(demoInterval):
		}
	}
}

// checkResults reads all answers of the job and returns the number of distinct
// items with an answer. It reports duplicated and wrong answers.
func (d *demo) checkResults() (int, error) {
	stream, err := d.client(2).ListResults(d.ctx, connect.NewRequest(&papayaquayv1.ListResultsRequest{Job: "demo-job"}))
	if err != nil {
		return 0, errors.Wrap(err, "job results")
	}
	defer stream.Close()
	seen := make(map[int32]bool)
	for stream.Receive() {
		m := stream.Msg()
		if seen[m.GetIndex()] || m.GetAnswer().GetText() != standin.ExpectedAnswer(itemPrompt(int(m.GetIndex())), demoTokens) {
			d.reportWrong("item %d is duplicated or has the answer of another item", m.GetIndex())
		}
		seen[m.GetIndex()] = true
	}
	return len(seen), errors.Wrap(stream.Err(), "job results")
}

// report prints counts and latency quantiles.
func (d *demo) report(items, answered, asks int, elapsed time.Duration) {
	quantile := func(h *hdrhistogram.Histogram, q float64) string {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond).String()
	}
	fmt.Fprintf(d.out, "job: %d of %d items answered exactly once in %s\n", answered, items, elapsed.Round(time.Millisecond))
	fmt.Fprintf(d.out, "online: %d requests during the job, %d wrong answers\n", asks, d.wrongAnswers)
	fmt.Fprintf(d.out, "first text: median %s, p95 %s, p99 %s\n", quantile(d.firstTextLatency, 50), quantile(d.firstTextLatency, 95), quantile(d.firstTextLatency, 99))
	fmt.Fprintf(d.out, "whole answer: median %s, p95 %s, p99 %s\n", quantile(d.answerLatency, 50), quantile(d.answerLatency, 95), quantile(d.answerLatency, 99))
}
