package test

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"papayaquay/io/standin"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

// Bounds that the users state.
const (
	configBound = 4 * time.Second
	leaveBound  = 3 * time.Second
	cancelBound = 2 * time.Second
)

// change applies a change of a model's version, again until it is answered.
func (x *system) change(url, operation, version string, basedOn uint64) *papayaquayv1.ApplyChangeResponse {
	var m *papayaquayv1.ApplyChangeResponse
	x.retry(func() error {
		response, err := standin.OperatorClient(url).ApplyChange(x.ctx, connect.NewRequest(&papayaquayv1.ApplyChangeRequest{
			Operation: operation, Operator: "test", Kind: "model", Name: "m", Spec: &papayaquayv1.Spec{Version: version}, BasedOn: basedOn}))
		if err == nil {
			m = response.Msg
		}
		return err
	})
	return m
}

// TestConfiguration races operators through faults: of equal numbers one wins,
// a resent operation gets its first answer, and no instance goes back.
func TestConfiguration(t *testing.T) {
	x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 1, extra: quickStop})
	urls := x.layout.URLs()
	quit := make(chan struct{})
	var watchers sync.WaitGroup
	for _, url := range urls[1:] {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			last := uint64(0)
			for {
				select {
				case <-quit:
					return
				case <-time.After(10 * time.Millisecond):
				}
				response, err := standin.OperatorClient(url).ListObjects(x.ctx, connect.NewRequest(&papayaquayv1.ListObjectsRequest{}))
				if err == nil && response.Msg.GetRevision() < last {
					t.Errorf("%s went back from %d to %d", url, last, response.Msg.GetRevision())
				}
				if err == nil {
					last = response.Msg.GetRevision()
				}
			}
		}()
	}
	revision := uint64(0)
	for round := range 12 {
		switch round {
		case 4:
			x.signal("ch-west-a-1", syscall.SIGSTOP)
		case 7:
			x.signal("ch-west-a-1", syscall.SIGCONT)
		}
		verdicts := make([]*papayaquayv1.ApplyChangeResponse, 4)
		var racers sync.WaitGroup
		for n := range verdicts {
			racers.Add(1)
			go func() {
				defer racers.Done()
				verdicts[n] = x.change(urls[1+n%4], fmt.Sprintf("op-%d-%d", round, n), fmt.Sprintf("v%d-%d", round, n), revision)
			}()
		}
		racers.Wait()
		winners := 0
		for n, v := range verdicts {
			again := x.change(urls[1+(n+1)%4], fmt.Sprintf("op-%d-%d", round, n), "other", revision)
			x.c.Assert(again.GetApplied(), qt.Equals, v.GetApplied())
			x.c.Assert(again.GetRevision(), qt.Equals, v.GetRevision())
			if v.GetApplied() {
				winners++
				revision = v.GetRevision()
			}
		}
		x.c.Assert(winners, qt.Equals, 1)
		begin := time.Now()
		x.c.Assert(standin.AwaitRevision(x.ctx, urls[1:], revision), qt.IsNil)
		x.c.Assert(time.Since(begin) < configBound, qt.IsTrue)
	}
	close(quit)
	watchers.Wait()
	x.c.Assert(standin.AwaitRevision(x.ctx, urls, revision), qt.IsNil)
}

// TestCancel cancels a running job; no item starts after the bound, also with
// the leader killed right after the acknowledgement.
func TestCancel(t *testing.T) {
	x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 4, extra: quickStop})
	urls := x.layout.URLs()
	x.submitJob(urls[0], "lot", 2000, 20)
	time.Sleep(1500 * time.Millisecond)
	_, err := standin.CallerClient(urls[3]).CancelJob(x.ctx, connect.NewRequest(&papayaquayv1.CancelJobRequest{Job: "lot"}))
	x.c.Assert(err, qt.IsNil)
	x.kill("ch-west-a-1")
	time.Sleep(cancelBound)
	before := len(x.recorder.Attempts())
	x.c.Assert(before < 2000, qt.IsTrue)
	time.Sleep(2 * time.Second)
	x.c.Assert(len(x.recorder.Attempts()), qt.Equals, before)
	for _, e := range x.fleet.Engines() {
		x.c.Assert(e.Running(), qt.Equals, 0)
	}
	x.restart("ch-west-a-1")
	for n, a := range x.results(urls[3], "lot") {
		x.c.Assert(a.GetText(), qt.Equals, standin.ExpectedAnswer(fmt.Sprintf("lot-%d", n), 20))
	}
}

// TestLeavingBackend lets a backend server leave under load.
func TestLeavingBackend(t *testing.T) {
	x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 6, extra: quickStop})
	urls := x.layout.URLs()
	var h history
	x.submitJob(urls[0], "lot", 400, 8)
	stop := x.load(&h, urls, false, 8)
	time.Sleep(500 * time.Millisecond)
	x.fleet.Leave(0)
	time.Sleep(leaveBound)
	before := len(x.recorder.Attempts())
	time.Sleep(time.Second)
	stop()
	for _, run := range x.recorder.Attempts()[before:] {
		x.c.Assert(run.Backend, qt.Not(qt.Equals), x.fleet.Engines()[0].ID())
	}
	x.awaitJob(urls[0], "lot")
	x.checkJob(urls[0], "lot", 400, 8)
	x.c.Assert(x.problems(&h, urls[1]), qt.HasLen, 0)
}

// TestRollingDrain drains all instances one after the other under load; a
// balancer sends requests to ready instances only, and none is cut off.
func TestRollingDrain(t *testing.T) {
	x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 4, extra: quickStop})
	urls := x.layout.URLs()
	x.submitJob(urls[0], "lot", 300, 8)
	for n, p := range x.layout.Instances() {
		var h history
		others := append(append([]string{}, urls[:n]...), urls[n+1:]...)
		stop := x.load(&h, others, false, 8)
		running := make(chan reply, 1)
		m := request(fmt.Sprintf("drained-%d", n), "long "+p.Name, 100)
		go func() { running <- ask(x.ctx, urls[n], m) }()
		time.Sleep(300 * time.Millisecond)
		x.signal(p.Name, syscall.SIGTERM)
		x.awaitExit(p.Name, 17*time.Second)
		x.checkReply(<-running, m.GetPrompt(), 100)
		stop()
		for _, a := range h.list {
			x.c.Assert(a.reply.err, qt.IsNil, qt.Commentf("while %s was drained", p.Name))
		}
		x.c.Assert(x.problems(&h, others[0]), qt.HasLen, 0)
		x.restart(p.Name)
		x.awaitReady()
	}
	x.awaitJob(urls[0], "lot")
	x.checkJob(urls[0], "lot", 300, 8)
}

// TestPoison sends a request that crashes its backend server, again and again
// and under new keys; other requests are answered.
func TestPoison(t *testing.T) {
	x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 6, extra: quickStop})
	urls := x.layout.URLs()
	for _, e := range x.fleet.Engines() {
		e.SetPoison("poison")
	}
	var h history
	stop := x.load(&h, urls, false, 8)
	for n := range 6 {
		r := ask(x.ctx, urls[n], request(fmt.Sprintf("p-%d", n%4), "poison", 8))
		refused := r.answer.GetCode() == papayaquayv1.Code_CODE_REFUSED || (r.err != nil && strings.Contains(r.err.Error(), "refused for ever"))
		x.c.Assert(refused, qt.IsTrue, qt.Commentf("send %d: %v %v", n, r.answer, r.err))
	}
	stop()
	crashes := 0
	for _, e := range x.fleet.Engines() {
		crashes += e.Crashes()
	}
	x.c.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	x.c.Assert(x.problems(&h, urls[0]), qt.HasLen, 0)
	for _, a := range h.list {
		x.c.Assert(a.reply.err, qt.IsNil)
	}
}
