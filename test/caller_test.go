package test

import (
	"context"
	"fmt"
	"time"

	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

// askResult is what a caller received for one online request.
type askResult struct {
	text   string // streamed text, or the text of the answer that replaced it
	answer *papayaquayv1.Answer
	err    error
}

// ask sends one online request to the instance at url and reads the whole
// response stream.
func ask(ctx context.Context, url string, m *papayaquayv1.AskRequest) askResult {
	stream, err := standin.CallerClient(url).Ask(ctx, connect.NewRequest(m))
	if err != nil {
		return askResult{err: err}
	}
	defer stream.Close()
	var r askResult
	for stream.Receive() {
		r.text += stream.Msg().GetText()
		if a := stream.Msg().GetAnswer(); a != nil {
			r.answer = a
			if stream.Msg().GetReplaced() {
				r.text = a.GetText()
			}
		}
	}
	r.err = stream.Err()
	return r
}

// newAskRequest returns a request to the test service.
func newAskRequest(key, prompt string, tokens int) *papayaquayv1.AskRequest {
	return &papayaquayv1.AskRequest{Key: key, Service: service, Prompt: prompt, MaxTokens: int32(tokens), TimeoutMs: 20_000}
}

// checkAnswer fails the test unless r is the complete answer to the prompt.
func (sys *system) checkAnswer(r askResult, prompt string, tokens int) {
	sys.t.Helper()
	sys.c.Assert(r.err, qt.IsNil)
	sys.c.Assert(r.answer.GetCode(), qt.Equals, papayaquayv1.Code_CODE_OK)
	sys.c.Assert(r.answer.GetText(), qt.Equals, standin.ExpectedAnswer(prompt, tokens))
	sys.c.Assert(r.text, qt.Equals, r.answer.GetText())
}

// fetch reads the answer to a key and waits up to 10 seconds for it.
func (sys *system) fetch(url, key string) *papayaquayv1.FetchResponse {
	sys.t.Helper()
	response, err := standin.CallerClient(url).Fetch(sys.ctx, connect.NewRequest(&papayaquayv1.FetchRequest{Key: key, WaitMs: 10_000}))
	sys.c.Assert(err, qt.IsNil)
	return response.Msg
}

// submitJob stores a job. Its items have the prompts "JOB-0", "JOB-1" and so on.
func (sys *system) submitJob(url, job string, items, tokens int) {
	sys.t.Helper()
	var jobItems []*papayaquayv1.Item
	for n := range items {
		jobItems = append(jobItems, &papayaquayv1.Item{Prompt: fmt.Sprintf("%s-%d", job, n), MaxTokens: int32(tokens)})
	}
	message := &papayaquayv1.SubmitJobRequest{Job: job, Service: service, Total: int32(items), Items: jobItems}
	sys.retry(func() error {
		_, err := standin.CallerClient(url).SubmitJob(sys.ctx, connect.NewRequest(message))
		return err
	})
}

// retry repeats an idempotent call until it succeeds. It fails the test when the
// test's context ends.
func (sys *system) retry(call func() error) {
	sys.t.Helper()
	for {
		err := call()
		if err == nil {
			return
		}
		sys.c.Assert(sys.ctx.Err(), qt.IsNil, qt.Commentf("%v", err))
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitJob waits until a job is finished and returns its status.
func (sys *system) awaitJob(url, job string) *papayaquayv1.JobStatus {
	sys.t.Helper()
	for {
		var status *papayaquayv1.JobStatus
		sys.retry(func() error {
			response, err := standin.CallerClient(url).GetJob(sys.ctx, connect.NewRequest(&papayaquayv1.GetJobRequest{Job: job}))
			if err == nil {
				status = response.Msg.GetStatus()
			}
			return err
		})
		if status.GetFinished() {
			return status
		}
		sys.c.Assert(sys.ctx.Err(), qt.IsNil, qt.Commentf("%v", status))
		time.Sleep(50 * time.Millisecond)
	}
}

// jobResults returns all answers of a job by item index.
func (sys *system) jobResults(url, job string) map[int32]*papayaquayv1.Answer {
	sys.t.Helper()
	answers := make(map[int32]*papayaquayv1.Answer)
	sys.retry(func() error {
		clear(answers)
		stream, err := standin.CallerClient(url).ListResults(sys.ctx, connect.NewRequest(&papayaquayv1.ListResultsRequest{Job: job}))
		if err != nil {
			return err
		}
		defer stream.Close()
		for stream.Receive() {
			answers[stream.Msg().GetIndex()] = stream.Msg().GetAnswer()
		}
		return stream.Err()
	})
	return answers
}

// checkJob fails the test unless every item of a job has the complete answer to
// its own prompt.
func (sys *system) checkJob(url, job string, items, tokens int) {
	sys.t.Helper()
	answers := sys.jobResults(url, job)
	sys.c.Assert(answers, qt.HasLen, items)
	for n, a := range answers {
		sys.c.Assert(a.GetCode(), qt.Equals, papayaquayv1.Code_CODE_OK, qt.Commentf("item %d: %v", n, a))
		sys.c.Assert(a.GetText(), qt.Equals, standin.ExpectedAnswer(fmt.Sprintf("%s-%d", job, n), tokens))
	}
}
