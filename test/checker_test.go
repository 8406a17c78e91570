package test

import (
	"fmt"
	"sync"

	"papayaquay/io/rpc"
	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"
)

// observation is one request and its result as the caller saw it.
type observation struct {
	request          *papayaquayv1.AskRequest
	result           askResult
	attemptsAtResult int // attempts of the prompt at the time of the result
}

// history collects what callers observed. violations compares it with what the
// substitute engines recorded.
type history struct {
	mu           sync.Mutex
	observations []observation
}

// add adds a result, with the number of attempts of its prompt so far.
func (h *history) add(sys *system, m *papayaquayv1.AskRequest, r askResult) {
	attempts := sys.recorder.CountAttempts(m.GetPrompt())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, observation{request: m, result: r, attemptsAtResult: attempts})
}

// violations compares what callers observed with the attempts that the substitute
// engines recorded, and returns a text for each violation. The checks are:
//   - An answer with code OK is the complete answer to its own prompt.
//   - All answers to one key are equal.
//   - An at-most-once request ran at most once.
//   - An at-most-once request had not run when its outcome was "not run".
//   - A key that was answered can be fetched at readURL, with the same answer.
func (sys *system) violations(h *history, readURL string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	answers := make(map[string]string)
	attempts := make(map[string]int)
	for _, attempt := range sys.recorder.Attempts() {
		attempts[attempt.Prompt]++
	}
	for _, o := range h.observations {
		key, prompt := o.request.GetKey(), o.request.GetPrompt()
		if o.request.GetOnce() && attempts[prompt] > 1 {
			report("%s ran %d times", prompt, attempts[prompt])
		}
		if failure, ok := rpc.FailureOf(o.result.err); ok && failure.GetCode() == papayaquayv1.Code_CODE_NOT_RUN && o.request.GetOnce() && o.attemptsAtResult > 0 {
			report("%s had run when it was answered \"not run\"", prompt)
		}
		if o.result.answer == nil {
			continue
		}
		text := o.result.answer.GetText()
		if o.result.answer.GetCode() == papayaquayv1.Code_CODE_OK && text != standin.ExpectedAnswer(prompt, int(o.request.GetMaxTokens())) {
			report("%s got a wrong answer %q", prompt, text)
		}
		value := fmt.Sprint(o.result.answer.GetCode(), text)
		if old, ok := answers[key]; ok && old != value {
			report("%s has answers %q and %q", key, old, value)
		}
		answers[key] = value
	}
	for key, value := range answers {
		fetched := sys.fetch(readURL, key)
		if got := fmt.Sprint(fetched.GetAnswer().GetCode(), fetched.GetAnswer().GetText()); got != value {
			report("%s reads %q, it was answered %q", key, got, value)
		}
	}
	return found
}
