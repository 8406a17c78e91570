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

// reply is what a caller got for one request.
type reply struct {
	text   string // streamed
	answer *papayaquayv1.Answer
	err    error
}

// ask runs one online request at an instance.
func ask(ctx context.Context, url string, m *papayaquayv1.AskRequest) reply {
	stream, err := standin.CallerClient(url).Ask(ctx, connect.NewRequest(m))
	if err != nil {
		return reply{err: err}
	}
	defer stream.Close()
	var r reply
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

// request returns a request for the test service.
func request(key, prompt string, tokens int) *papayaquayv1.AskRequest {
	return &papayaquayv1.AskRequest{Key: key, Service: service, Prompt: prompt, MaxTokens: int32(tokens), TimeoutMs: 20_000}
}

// checkReply fails the test unless the reply is the whole answer to the prompt.
func (x *system) checkReply(r reply, prompt string, tokens int) {
	x.t.Helper()
	x.c.Assert(r.err, qt.IsNil)
	x.c.Assert(r.answer.GetCode(), qt.Equals, papayaquayv1.Code_CODE_OK)
	x.c.Assert(r.answer.GetText(), qt.Equals, standin.ExpectedAnswer(prompt, tokens))
	x.c.Assert(r.text, qt.Equals, r.answer.GetText())
}

// fetch reads the answer to a key and waits for it.
func (x *system) fetch(url, key string) *papayaquayv1.FetchResponse {
	x.t.Helper()
	response, err := standin.CallerClient(url).Fetch(x.ctx, connect.NewRequest(&papayaquayv1.FetchRequest{Key: key, WaitMs: 10_000}))
	x.c.Assert(err, qt.IsNil)
	return response.Msg
}

// submitJob stores a job of items with the prompts "JOB-0" and so on.
func (x *system) submitJob(url, job string, items, tokens int) {
	x.t.Helper()
	var list []*papayaquayv1.Item
	for n := range items {
		list = append(list, &papayaquayv1.Item{Prompt: fmt.Sprintf("%s-%d", job, n), MaxTokens: int32(tokens)})
	}
	message := &papayaquayv1.SubmitJobRequest{Job: job, Service: service, Total: int32(items), Items: list}
	x.retry(func() error {
		_, err := standin.CallerClient(url).SubmitJob(x.ctx, connect.NewRequest(message))
		return err
	})
}

// retry repeats an idempotent call until it succeeds.
func (x *system) retry(call func() error) {
	x.t.Helper()
	for {
		err := call()
		if err == nil {
			return
		}
		x.c.Assert(x.ctx.Err(), qt.IsNil, qt.Commentf("%v", err))
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitJob waits until a job is finished and returns its status.
func (x *system) awaitJob(url, job string) *papayaquayv1.JobStatus {
	x.t.Helper()
	for {
		var status *papayaquayv1.JobStatus
		x.retry(func() error {
			response, err := standin.CallerClient(url).GetJob(x.ctx, connect.NewRequest(&papayaquayv1.GetJobRequest{Job: job}))
			if err == nil {
				status = response.Msg.GetStatus()
			}
			return err
		})
		if status.GetFinished() {
			return status
		}
		x.c.Assert(x.ctx.Err(), qt.IsNil, qt.Commentf("%v", status))
		time.Sleep(50 * time.Millisecond)
	}
}

// results reads all answers of a job by position.
func (x *system) results(url, job string) map[int32]*papayaquayv1.Answer {
	x.t.Helper()
	answers := make(map[int32]*papayaquayv1.Answer)
	x.retry(func() error {
		clear(answers)
		stream, err := standin.CallerClient(url).ListResults(x.ctx, connect.NewRequest(&papayaquayv1.ListResultsRequest{Job: job}))
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

// checkJob fails the test unless every item has its own whole answer.
func (x *system) checkJob(url, job string, items, tokens int) {
	x.t.Helper()
	answers := x.results(url, job)
	x.c.Assert(answers, qt.HasLen, items)
	for n, a := range answers {
		x.c.Assert(a.GetCode(), qt.Equals, papayaquayv1.Code_CODE_OK, qt.Commentf("item %d: %v", n, a))
		x.c.Assert(a.GetText(), qt.Equals, standin.ExpectedAnswer(fmt.Sprintf("%s-%d", job, n), tokens))
	}
}
