package test

import (
	"fmt"
	"sync"

	"papayaquay/io/rpc"
	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"
)

// asked is one request as its caller saw it.
type asked struct {
	message *papayaquayv1.AskRequest
	reply   reply
	ran     int // runs of the prompt when the reply came
}

// history collects what callers saw, to be compared with what the substitutes
// saw.
type history struct {
	mu   sync.Mutex
	list []asked
}

// add notes one reply, with how often its prompt had run by then.
func (h *history) add(x *system, m *papayaquayv1.AskRequest, r reply) {
	ran := x.recorder.CountAttempts(m.GetPrompt())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, asked{message: m, reply: r, ran: ran})
}

// problems compares the callers' view with the substitutes': answers are whole
// and their own, two answers to one key agree, requests not to be repeated ran
// at most once, "not run" is true, and answered keys are readable.
func (x *system) problems(h *history, readAt string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var problems []string
	note := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	answers := make(map[string]string)
	ran := make(map[string]int)
	for _, run := range x.recorder.Attempts() {
		ran[run.Prompt]++
	}
	for _, a := range h.list {
		key, prompt := a.message.GetKey(), a.message.GetPrompt()
		if a.message.GetOnce() && ran[prompt] > 1 {
			note("%s ran %d times", prompt, ran[prompt])
		}
		if failure, ok := rpc.FailureOf(a.reply.err); ok && failure.GetCode() == papayaquayv1.Code_CODE_NOT_RUN && a.message.GetOnce() && a.ran > 0 {
			note("%s had run when it was answered \"not run\"", prompt)
		}
		if a.reply.answer == nil {
			continue
		}
		text := a.reply.answer.GetText()
		if a.reply.answer.GetCode() == papayaquayv1.Code_CODE_OK && text != standin.ExpectedAnswer(prompt, int(a.message.GetMaxTokens())) {
			note("%s got a wrong answer %q", prompt, text)
		}
		value := fmt.Sprint(a.reply.answer.GetCode(), text)
		if old, ok := answers[key]; ok && old != value {
			note("%s has answers %q and %q", key, old, value)
		}
		answers[key] = value
	}
	for key, value := range answers {
		read := x.fetch(readAt, key)
		if got := fmt.Sprint(read.GetAnswer().GetCode(), read.GetAnswer().GetText()); got != value {
			note("%s reads %q, it was answered %q", key, got, value)
		}
	}
	return problems
}
