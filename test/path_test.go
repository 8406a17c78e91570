package test

import (
	"fmt"
	"syscall"
	"testing"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	qt "github.com/frankban/quicktest"
)

// threeCentres are the data centres of most tests.
var threeCentres = []string{"ch-west-a", "ch-west-b", "ch-west-c"}

// quickStop makes graceful shutdowns short.
const quickStop = "[limits]\nbalancer_pause = \"200ms\"\nstop_bound = \"15s\"\n"

// TestWholePath asks online and runs a job on five processes, reads the
// answers through other instances, restarts all and reads them again.
func TestWholePath(t *testing.T) {
	x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 4, extra: quickStop})
	urls := x.layout.URLs()
	const tokens, items = 8, 40
	x.submitJob(urls[0], "lot", items, tokens)
	keys := []string{"a", "ch-west-b/b", ""}
	for n, key := range keys {
		prompt := fmt.Sprintf("stamp %d", n)
		x.checkReply(ask(x.ctx, urls[n], request(key, prompt, tokens)), prompt, tokens)
	}
	check := func() {
		x.awaitJob(urls[1], "lot")
		x.checkJob(urls[2], "lot", items, tokens)
		for n, key := range keys[:2] {
			answer := x.fetch(urls[n+3], key).GetAnswer()
			x.c.Assert(answer.GetCode(), qt.Equals, papayaquayv1.Code_CODE_OK)
		}
	}
	check()
	for _, p := range x.layout.Instances() {
		x.signal(p.Name, syscall.SIGTERM)
	}
	for _, p := range x.layout.Instances() {
		x.awaitExit(p.Name, startBound)
	}
	for _, p := range x.layout.Instances() {
		x.restart(p.Name)
	}
	x.awaitReady()
	check()
}
