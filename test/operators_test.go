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

// Maximum delays that the users require.
const (
	maxConfigDelay = 4 * time.Second
	maxLeaveDelay  = 3 * time.Second
	maxCancelDelay = 2 * time.Second
)

// changeModel sets the version of a model. It retries the same operation until it
// is answered.
func (sys *system) changeModel(url, operation, version string, basedOn uint64) *papayaquayv1.ApplyChangeResponse {
	var m *papayaquayv1.ApplyChangeResponse
	sys.retry(func() error {
		response, err := standin.OperatorClient(url).ApplyChange(sys.ctx, connect.NewRequest(&papayaquayv1.ApplyChangeRequest{
			Operation: operation, Operator: "test", Kind: "model", Name: "m", Spec: &papayaquayv1.Spec{Version: version}, BasedOn: basedOn}))
		if err == nil {
			m = response.Msg
		}
		return err
	})
	return m
}

// TestConcurrentChanges lets four operators change the same object concurrently
// while one instance is paused for a time. Of the changes that are based on the
// same revision exactly one is applied. A resent operation gets the first answer
// again. The change is in force at the other instances within maxConfigDelay, and
// none of them returns to an older revision.
func TestConcurrentChanges(t *testing.T) {
	sys := startSystem(t, systemOptions{centres: threeCentres, perCentre: 2, engines: 1, extraSettings: fastShutdown})
	urls := sys.layout.URLs()
	quit := make(chan struct{})
	var pollers sync.WaitGroup
	for _, url := range urls[1:] {
		pollers.Add(1)
		go func() {
			defer pollers.Done()
			last := uint64(0)
			for {
				select {
				case <-quit:
					return
				case <-time.After(10 * time.Millisecond):
				}
				response, err := standin.OperatorClient(url).ListObjects(sys.ctx, connect.NewRequest(&papayaquayv1.ListObjectsRequest{}))
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
			sys.signal("ch-west-a-1", syscall.SIGSTOP)
		case 7:
			sys.signal("ch-west-a-1", syscall.SIGCONT)
		}
		responses := make([]*papayaquayv1.ApplyChangeResponse, 4)
		var operators sync.WaitGroup
		for n := range responses {
			operators.Add(1)
			go func() {
				defer operators.Done()
				responses[n] = sys.changeModel(urls[1+n%4], fmt.Sprintf("op-%d-%d", round, n), fmt.Sprintf("v%d-%d", round, n), revision)
			}()
		}
		operators.Wait()
		applied := 0
		for n, v := range responses {
			again := sys.changeModel(urls[1+(n+1)%4], fmt.Sprintf("op-%d-%d", round, n), "other", revision)
			sys.c.Assert(again.GetApplied(), qt.Equals, v.GetApplied())
			sys.c.Assert(again.GetRevision(), qt.Equals, v.GetRevision())
			if v.GetApplied() {
				applied++
				revision = v.GetRevision()
			}
		}
		sys.c.Assert(applied, qt.Equals, 1)
		startTime := time.Now()
		sys.c.Assert(standin.AwaitRevision(sys.ctx, urls[1:], revision), qt.IsNil)
		sys.c.Assert(time.Since(startTime) < maxConfigDelay, qt.IsTrue)
	}
	close(quit)
	pollers.Wait()
	sys.c.Assert(standin.AwaitRevision(sys.ctx, urls, revision), qt.IsNil)
}

// TestCancelJob cancels a running job and kills the leader right after the
// acknowledgement. No item starts later than maxCancelDelay after that, and no
// engine is left with a running request. The answers that the job has are right.
func TestCancelJob(t *testing.T) {
	sys := startSystem(t, systemOptions{centres: threeCentres, perCentre: 2, engines: 4, extraSettings: fastShutdown})
	urls := sys.layout.URLs()
	sys.submitJob(urls[0], "lot", 2000, 20)
	time.Sleep(1500 * time.Millisecond)
	_, err := standin.CallerClient(urls[3]).CancelJob(sys.ctx, connect.NewRequest(&papayaquayv1.CancelJobRequest{Job: "lot"}))
	sys.c.Assert(err, qt.IsNil)
	sys.kill("ch-west-a-1")
	time.Sleep(maxCancelDelay)
	before := len(sys.recorder.Attempts())
	sys.c.Assert(before < 2000, qt.IsTrue)
	time.Sleep(2 * time.Second)
	sys.c.Assert(len(sys.recorder.Attempts()), qt.Equals, before)
	for _, e := range sys.engineGroup.Engines() {
		sys.c.Assert(e.Running(), qt.Equals, 0)
	}
	sys.restart("ch-west-a-1")
	for n, a := range sys.jobResults(urls[3], "lot") {
		sys.c.Assert(a.GetText(), qt.Equals, standin.ExpectedAnswer(fmt.Sprintf("lot-%d", n), 20))
	}
}

// TestLeavingBackend marks a backend server as leaving while requests and a job
// run. The server gets no work after maxLeaveDelay, and no answer is lost.
func TestLeavingBackend(t *testing.T) {
	sys := startSystem(t, systemOptions{centres: threeCentres, perCentre: 2, engines: 6, extraSettings: fastShutdown})
	urls := sys.layout.URLs()
	var h history
	sys.submitJob(urls[0], "lot", 400, 8)
	stop := sys.startLoad(&h, urls, false, 8)
	time.Sleep(500 * time.Millisecond)
	sys.engineGroup.Leave(0)
	time.Sleep(maxLeaveDelay)
	before := len(sys.recorder.Attempts())
	time.Sleep(time.Second)
	stop()
	for _, attempt := range sys.recorder.Attempts()[before:] {
		sys.c.Assert(attempt.Backend, qt.Not(qt.Equals), sys.engineGroup.Engines()[0].ID())
	}
	sys.awaitJob(urls[0], "lot")
	sys.checkJob(urls[0], "lot", 400, 8)
	sys.c.Assert(sys.violations(&h, urls[1]), qt.HasLen, 0)
}

// TestRollingDrain drains and restarts all instances one after the other while
// requests and a job run. As behind a load balancer, new requests go to the other
// instances. No request fails, and a request that runs on the draining instance
// is completed.
func TestRollingDrain(t *testing.T) {
	sys := startSystem(t, systemOptions{centres: threeCentres, perCentre: 2, engines: 4, extraSettings: fastShutdown})
	urls := sys.layout.URLs()
	sys.submitJob(urls[0], "lot", 300, 8)
	for n, p := range sys.layout.Instances() {
		var h history
		others := append(append([]string{}, urls[:n]...), urls[n+1:]...)
		stop := sys.startLoad(&h, others, false, 8)
		running := make(chan askResult, 1)
		m := newAskRequest(fmt.Sprintf("drained-%d", n), "long "+p.Name, 100)
		go func() { running <- ask(sys.ctx, urls[n], m) }()
		time.Sleep(300 * time.Millisecond)
		sys.signal(p.Name, syscall.SIGTERM)
		sys.awaitExit(p.Name, 17*time.Second)
		sys.checkAnswer(<-running, m.GetPrompt(), 100)
		stop()
		for _, o := range h.observations {
			sys.c.Assert(o.result.err, qt.IsNil, qt.Commentf("while %s was drained", p.Name))
		}
		sys.c.Assert(sys.violations(&h, others[0]), qt.HasLen, 0)
		sys.restart(p.Name)
		sys.awaitReady()
	}
	sys.awaitJob(urls[0], "lot")
	sys.checkJob(urls[0], "lot", 300, 8)
}

// TestPoisonRequest sends a poison request, which crashes its backend server,
// several times under the same and other keys. The request is rejected each time,
// the engines crash at most three times in all, and other requests are answered.
func TestPoisonRequest(t *testing.T) {
	sys := startSystem(t, systemOptions{centres: threeCentres, perCentre: 2, engines: 6, extraSettings: fastShutdown})
	urls := sys.layout.URLs()
	for _, e := range sys.engineGroup.Engines() {
		e.SetPoison("poison")
	}
	var h history
	stop := sys.startLoad(&h, urls, false, 8)
	for n := range 6 {
		r := ask(sys.ctx, urls[n], newAskRequest(fmt.Sprintf("p-%d", n%4), "poison", 8))
		rejected := r.answer.GetCode() == papayaquayv1.Code_CODE_REFUSED || (r.err != nil && strings.Contains(r.err.Error(), "refused for ever"))
		sys.c.Assert(rejected, qt.IsTrue, qt.Commentf("send %d: %v %v", n, r.answer, r.err))
	}
	stop()
	crashes := 0
	for _, e := range sys.engineGroup.Engines() {
		crashes += e.Crashes()
	}
	sys.c.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	sys.c.Assert(sys.violations(&h, urls[0]), qt.HasLen, 0)
	for _, o := range h.observations {
		sys.c.Assert(o.result.err, qt.IsNil)
	}
}
