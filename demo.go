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

// Sizes of the demo.
const (
	demoEngines   = 4
	demoService   = "demo"
	demoTokens    = 12
	demoBound     = 2 * time.Minute
	demoPause     = 20 * time.Millisecond // between online requests
	demoMaxMicros = 60_000_000
)

// errDemo reports answers that are missing, doubled or wrong.
var errDemo = errors.New("the demo found wrong answers")

// runDemo starts a small system in this process, uses it and reports.
func runDemo(ctx context.Context, out io.Writer, items, asks int) error {
	ctx, cancel := context.WithTimeout(ctx, demoBound)
	defer cancel()
	folder, err := os.MkdirTemp("", "papayaquay-demo-")
	if err != nil {
		return errors.Wrap(err, "create data folder")
	}
	defer os.RemoveAll(folder)
	layout, err := standin.NewLayout(folder, []string{"dc-a", "dc-b", "dc-c"}, 1, "[limits]\nbalancer_pause = \"100ms\"\nstop_bound = \"5s\"\n")
	if err != nil {
		return err
	}
	local, err := standin.StartLocalSystem(ctx, layout, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	defer local.Stop()
	recorder := &standin.Recorder{}
	fleet, err := standin.NewEngineGroup(ctx, layout, demoEngines, []string{demoService}, standin.WithRecorder(recorder))
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := standin.AwaitReady(ctx, layout.URLs(), demoEngines); err != nil {
		return err
	}
	if err := standin.CreateService(ctx, layout.URLs(), demoService, "engine"); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d instances in 3 data centres, %d engines, service %q created\n", len(layout.Instances()), demoEngines, demoService)
	d := &demo{ctx: ctx, out: out, urls: layout.URLs(), first: hdrhistogram.New(1, demoMaxMicros, 3), whole: hdrhistogram.New(1, demoMaxMicros, 3)}
	return d.run(items, asks)
}

// demo is the run of one demonstration.
type demo struct {
	ctx   context.Context
	out   io.Writer
	urls  []string
	mu    sync.Mutex
	first *hdrhistogram.Histogram // microseconds to the first text
	whole *hdrhistogram.Histogram // microseconds to the stored answer
	wrong int
}

// run asks once, runs a job beside online requests, and reports.
func (d *demo) run(items, asks int) error {
	fmt.Fprint(d.out, "one request: ")
	if err := d.ask("ask-first", d.out); err != nil {
		return err
	}
	fmt.Fprintln(d.out)
	begin := time.Now()
	if err := d.submit(items); err != nil {
		return err
	}
	var wait sync.WaitGroup
	for n := range asks {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if err := d.ask(fmt.Sprintf("ask-%d", n), io.Discard); err != nil {
				d.fault("request %d: %v", n, err)
			}
		}()
		time.Sleep(demoPause)
	}
	wait.Wait()
	if err := d.awaitJob(); err != nil {
		return err
	}
	took := time.Since(begin)
	done, err := d.checkResults()
	if err != nil {
		return err
	}
	d.report(items, done, asks, took)
	if d.wrong > 0 || done != items {
		return errDemo
	}
	return nil
}

// fault notes a wrong answer.
func (d *demo) fault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wrong++
	fmt.Fprintf(d.out, "wrong: "+format+"\n", args...)
}

// client returns a caller's client; successive ones use different instances.
func (d *demo) client(n int) papayaquayv1connect.CallerServiceClient {
	return standin.CallerClient(d.urls[n%len(d.urls)])
}

// ask runs one online request and checks its answer.
func (d *demo) ask(prompt string, out io.Writer) error {
	begin := time.Now()
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
			d.record(d.first, time.Since(begin))
		}
		text += m.GetText()
		fmt.Fprint(out, m.GetText())
		if m.GetAnswer() != nil {
			d.record(d.whole, time.Since(begin))
			if want := standin.ExpectedAnswer(prompt, demoTokens); m.GetAnswer().GetText() != want || text != want {
				d.fault("answer to %s is %q", prompt, m.GetAnswer().GetText())
			}
			return nil
		}
	}
	return errors.Wrap(stream.Err(), "ask")
}

// record adds a latency.
func (d *demo) record(h *hdrhistogram.Histogram, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = h.RecordValue(latency.Microseconds())
}

// itemPrompt returns the prompt of an item.
func itemPrompt(n int) string { return fmt.Sprintf("item-%d", n) }

// submit stores the job.
func (d *demo) submit(items int) error {
	var list []*papayaquayv1.Item
	for n := range items {
		list = append(list, &papayaquayv1.Item{Prompt: itemPrompt(n), MaxTokens: demoTokens})
	}
	_, err := d.client(0).SubmitJob(d.ctx, connect.NewRequest(&papayaquayv1.SubmitJobRequest{
		Job: "demo-job", Service: demoService, Total: int32(items), Items: list}))
	return errors.Wrap(err, "submit job")
}

// awaitJob waits until the job is finished.
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
		case <-time.After(demoPause):
		}
	}
}

// checkResults reads all answers of the job and returns how many are right.
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
			d.fault("item %d is doubled or has another's answer", m.GetIndex())
		}
		seen[m.GetIndex()] = true
	}
	return len(seen), errors.Wrap(stream.Err(), "job results")
}

// report prints counts and latency quantiles.
func (d *demo) report(items, done, asks int, took time.Duration) {
	quantile := func(h *hdrhistogram.Histogram, q float64) string {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond).String()
	}
	fmt.Fprintf(d.out, "job: %d of %d items answered exactly once in %s\n", done, items, took.Round(time.Millisecond))
	fmt.Fprintf(d.out, "online: %d requests beside it, %d wrong\n", asks, d.wrong)
	fmt.Fprintf(d.out, "first text: median %s, p95 %s, p99 %s\n", quantile(d.first, 50), quantile(d.first, 95), quantile(d.first, 99))
	fmt.Fprintf(d.out, "whole answer: median %s, p95 %s, p99 %s\n", quantile(d.whole, 50), quantile(d.whole, 95), quantile(d.whole, 99))
}
