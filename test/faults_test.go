package test

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	qt "github.com/frankban/quicktest"
)

// load runs online requests in the background until stop is called.
func (x *system) load(h *history, urls []string, once bool, tokens int) (stop func()) {
	quit := make(chan struct{})
	var wait sync.WaitGroup
	for worker := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; ; n++ {
				select {
				case <-quit:
					return
				default:
				}
				key := fmt.Sprintf("load-%v-%d-%d", once, worker, n)
				m := request(key, "prompt "+key, tokens)
				m.Once = once
				r := ask(x.ctx, urls[(worker+n)%len(urls)], m)
				h.add(x, m, r)
				if r.err != nil {
					h.add(x, m, ask(x.ctx, urls[(worker+n+1)%len(urls)], m))
				}
			}
		}()
	}
	return func() { close(quit); wait.Wait() }
}

// TestFaults runs a job and online requests through each fault: nothing is
// lost, nothing has two answers, every answer is readable afterwards.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		once  bool
		fault func(x *system)
	}{
		{"leader killed", false, func(x *system) { x.kill("ch-west-a-1"); time.Sleep(time.Second); x.restart("ch-west-a-1") }},
		{"entry killed", true, func(x *system) { x.kill("ch-west-b-2"); time.Sleep(time.Second); x.restart("ch-west-b-2") }},
		{"disk lost", false, func(x *system) {
			x.kill("ch-west-a-1")
			x.c.Assert(os.RemoveAll(x.place("ch-west-a-1").DataFolder), qt.IsNil)
			x.restart("ch-west-a-1")
		}},
		{"leader frozen", true, func(x *system) {
			x.signal("ch-west-a-1", syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			x.signal("ch-west-a-1", syscall.SIGCONT)
		}},
		{"engine killed", false, func(x *system) { x.fleet.Kill(1) }},
		{"engine restarted", true, func(x *system) {
			x.fleet.Engines()[2].Close()
			time.Sleep(300 * time.Millisecond)
			x.c.Assert(x.fleet.Engines()[2].Restart(), qt.IsNil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 4, extra: quickStop})
			urls := x.layout.URLs()
			var h history
			x.submitJob(urls[0], "lot", 150, 8)
			stop := x.load(&h, urls, test.once, 8)
			time.Sleep(500 * time.Millisecond)
			test.fault(x)
			time.Sleep(2 * time.Second)
			stop()
			x.awaitJob(urls[3], "lot")
			x.checkJob(urls[2], "lot", 150, 8)
			x.c.Assert(x.problems(&h, urls[4]), qt.HasLen, 0)
			good := 0
			for _, a := range h.list {
				if a.reply.answer.GetCode() == papayaquayv1.Code_CODE_OK {
					good++
				}
			}
			x.c.Assert(good > len(h.list)/2, qt.IsTrue, qt.Commentf("%d of %d answered", good, len(h.list)))
		})
	}
}

// TestResend sends one key many times, at once and later, through all
// instances; all callers get the same answer.
func TestResend(t *testing.T) {
	x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 4, extra: quickStop})
	urls := x.layout.URLs()
	for _, test := range []struct {
		name string
		once bool
	}{{"repeatable", false}, {"once", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var h history
			var wait sync.WaitGroup
			m := request("same-"+test.name, "prompt same-"+test.name, 12)
			m.Once = test.once
			for n := range 12 {
				wait.Add(1)
				go func() {
					defer wait.Done()
					h.add(x, m, ask(x.ctx, urls[n%len(urls)], m))
				}()
			}
			wait.Wait()
			h.add(x, m, ask(x.ctx, urls[0], m))
			c.Assert(x.problems(&h, urls[1]), qt.HasLen, 0)
			for _, a := range h.list {
				c.Assert(a.reply.err, qt.IsNil)
			}
			if test.once {
				c.Assert(x.recorder.CountAttempts(m.GetPrompt()), qt.Equals, 1)
			}
		})
	}
}
