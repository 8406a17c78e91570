package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
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

// seedVariable gives TestRandomFaults another seed than the fixed ones.
const seedVariable = "PAPAYAQUAY_SEED"

// randomTime is how long faults go on.
const randomTime = 12 * time.Second

// TestRandomFaults mixes faults at random while requests, a job and operators
// are busy; afterwards everything is answered and agrees.
func TestRandomFaults(t *testing.T) {
	seeds := []uint64{1, 2}
	if given := os.Getenv(seedVariable); given != "" {
		seed, err := strconv.ParseUint(given, 10, 64)
		qt.New(t).Assert(err, qt.IsNil)
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			x := start(t, shape{centres: threeCentres, perCentre: 2, engines: 6, extra: quickStop, proxied: true})
			urls := x.layout.URLs()
			var repeatable, once history
			x.submitJob(urls[0], "lot", 400, 8)
			stopRepeatable := x.load(&repeatable, urls, false, 8)
			stopOnce := x.load(&once, urls, true, 9)
			end := time.Now().Add(randomTime)
			var wait sync.WaitGroup
			wait.Add(2)
			go func() { defer wait.Done(); x.disturbDisks(rand.New(rand.NewPCG(seed, 1)), end) }()
			go func() { defer wait.Done(); x.disturbOthers(rand.New(rand.NewPCG(seed, 2)), end) }()
			wait.Wait()
			stopRepeatable()
			stopOnce()
			x.awaitReady()
			x.awaitJob(urls[0], "lot")
			x.checkJob(urls[5], "lot", 400, 8)
			time.Sleep(3 * time.Second)
			x.c.Assert(x.problems(&repeatable, urls[0]), qt.HasLen, 0)
			x.c.Assert(x.problems(&once, urls[0]), qt.HasLen, 0)
		})
	}
}

// disturbDisks kills, freezes, cuts off or empties one instance with a disk
// after the other, each after the repair of the one before.
func (x *system) disturbDisks(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		centre := threeCentres[random.IntN(len(threeCentres))]
		name := centre + "-1"
		pause := time.Duration(500+random.IntN(2000)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			x.kill(name)
			time.Sleep(pause)
			x.restart(name)
		case 1:
			x.signal(name, syscall.SIGSTOP)
			time.Sleep(pause)
			x.signal(name, syscall.SIGCONT)
		case 2:
			others := make([]string, 0, len(threeCentres))
			for _, other := range threeCentres {
				if other != centre {
					others = append(others, other)
				}
			}
			x.cut([]string{centre}, others, random.IntN(2) == 0)
			x.cut(others, []string{centre}, true)
			time.Sleep(pause)
			x.heal()
		case 3:
			x.kill(name)
			x.c.Check(os.RemoveAll(x.place(name).DataFolder), qt.IsNil)
			x.restart(name)
		}
		x.awaitRepair()
	}
}

// awaitRepair waits until every ledger has a leader and all its replicas are
// present voters.
func (x *system) awaitRepair() {
	for x.ctx.Err() == nil {
		if x.repaired() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// repaired reports whether the disks agree that all replicas are in place.
func (x *system) repaired() bool {
	for _, centre := range threeCentres {
		response, err := standin.OperatorClient(x.place(centre+"-1").URL()).GetStatus(x.ctx, connect.NewRequest(&papayaquayv1.GetStatusRequest{}))
		if err != nil {
			return false
		}
		for _, l := range response.Msg.GetLedgers() {
			members := strings.Join(l.GetMembers(), ",")
			if l.GetLeader() == "" || l.GetCommit() != l.GetLast() || strings.Contains(members, "learner") || !strings.Contains(members, l.GetReplica()+" (voter)") ||
				!strings.HasPrefix(l.GetLedger(), "local/") && len(l.GetMembers()) != 3 {
				return false
			}
		}
	}
	return true
}

// disturbOthers kills entries without disk and engines, and freezes engines.
func (x *system) disturbOthers(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		pause := time.Duration(300+random.IntN(1200)) * time.Millisecond
		e := x.fleet.Engines()[random.IntN(len(x.fleet.Engines()))]
		switch random.IntN(4) {
		case 0:
			name := threeCentres[random.IntN(len(threeCentres))] + "-2"
			x.kill(name)
			time.Sleep(pause)
			x.restart(name)
		case 1:
			e.Close()
			time.Sleep(pause)
			x.c.Check(e.Restart(), qt.IsNil)
		case 2:
			e.SetStalled(true)
			time.Sleep(pause)
			e.SetStalled(false)
		case 3:
			e.SetSlowdown(10)
			time.Sleep(pause)
			e.SetSlowdown(1)
		}
		time.Sleep(pause)
	}
}
