package test

import (
	"fmt"
	"syscall"
	"testing"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	qt "github.com/frankban/quicktest"
)

// threeCentres are the names of the data centres in most tests.
var threeCentres = []string{"ch-west-a", "ch-west-b", "ch-west-c"}

// fastShutdown is a part of the settings that makes graceful shutdowns short.
const fastShutdown = "[limits]\nbalancer_pause = \"200ms\"\nstop_bound = \"15s\"\n"

// TestAnswersSurviveRestart sends online requests and a job to six instances, reads the
// answers from other instances than those they were sent to, restarts all
// instances and reads the answers again.
func TestAnswersSurviveRestart(t *testing.T) {
	sys := startSystem(t, systemOptions{centres: threeCentres, perCentre: 2, engines: 4, extraSettings: fastShutdown})
	urls := sys.layout.URLs()
	const tokens, items = 8, 40
	sys.submitJob(urls[0], "lot", items, tokens)
	keys := []string{"a", "ch-west-b/b", ""}
	for n, key := range keys {
		prompt := fmt.Sprintf("prompt %d", n)
		sys.checkAnswer(ask(sys.ctx, urls[n], newAskRequest(key, prompt, tokens)), prompt, tokens)
	}
	check := func() {
		sys.awaitJob(urls[1], "lot")
		sys.checkJob(urls[2], "lot", items, tokens)
		for n, key := range keys[:2] {
			answer := sys.fetch(urls[n+3], key).GetAnswer()
			sys.c.Assert(answer.GetCode(), qt.Equals, papayaquayv1.Code_CODE_OK)
		}
	}
	check()
	for _, p := range sys.layout.Instances() {
		sys.signal(p.Name, syscall.SIGTERM)
	}
	for _, p := range sys.layout.Instances() {
		sys.awaitExit(p.Name, startTimeout)
	}
	for _, p := range sys.layout.Instances() {
		sys.restart(p.Name)
	}
	sys.awaitReady()
	check()
}
