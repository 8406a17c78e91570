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

// seedEnv is the environment variable with a seed for TestRandomFaults, which
// replaces the default seeds.
const seedEnv = "PAPAYAQUAY_SEED"

// faultTime is how long faults are injected.
const faultTime = 12 * time.Second

// TestRandomFaults injects random faults while retryable requests, at-most-once
// requests and a job run. Afterwards all items are answered, and the history has
// no violations.
func TestRandomFaults(t *testing.T) {
	seeds := []uint64{1, 2}
	if given := os.Getenv(seedEnv); given != "" {
		seed, err := strconv.ParseUint(given, 10, 64)
		qt.New(t).Assert(err, qt.IsNil)
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			sys := startSystem(t, systemOptions{centres: threeCentres, perCentre: 2, engines: 6, extraSettings: fastShutdown, proxied: true})
			urls := sys.layout.URLs()
			var retryableHistory, onceHistory history
			sys.submitJob(urls[0], "lot", 400, 8)
			stopRetryable := sys.startLoad(&retryableHistory, urls, false, 8)
			stopOnce := sys.startLoad(&onceHistory, urls, true, 9)
			end := time.Now().Add(faultTime)
			var wait sync.WaitGroup
			wait.Add(2)
			go func() { defer wait.Done(); sys.injectReplicaFaults(rand.New(rand.NewPCG(seed, 1)), end) }()
			go func() { defer wait.Done(); sys.injectEntryAndEngineFaults(rand.New(rand.NewPCG(seed, 2)), end) }()
			wait.Wait()
			stopRetryable()
			stopOnce()
			sys.awaitReady()
			sys.awaitJob(urls[0], "lot")
			sys.checkJob(urls[5], "lot", 400, 8)
			time.Sleep(3 * time.Second)
			sys.c.Assert(sys.violations(&retryableHistory, urls[0]), qt.HasLen, 0)
			sys.c.Assert(sys.violations(&onceHistory, urls[0]), qt.HasLen, 0)
		})
	}
}

// injectReplicaFaults injects faults into instances with replicas, which have a
// disk, until end: it kills an instance, pauses it, separates its data centre by a
// partition, or kills it and deletes its disk. After each fault it waits until the
// replicas have recovered.
func (sys *system) injectReplicaFaults(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		centre := threeCentres[random.IntN(len(threeCentres))]
		name := centre + "-1"
		pause := time.Duration(500+random.IntN(2000)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			sys.kill(name)
			time.Sleep(pause)
			sys.restart(name)
		case 1:
			sys.signal(name, syscall.SIGSTOP)
			time.Sleep(pause)
			sys.signal(name, syscall.SIGCONT)
		case 2:
			others := make([]string, 0, len(threeCentres))
			for _, other := range threeCentres {
				if other != centre {
					others = append(others, other)
				}
			}
			sys.partition([]string{centre}, others, random.IntN(2) == 0)
			sys.partition(others, []string{centre}, true)
			time.Sleep(pause)
			sys.heal()
		case 3:
			sys.kill(name)
			sys.c.Check(os.RemoveAll(sys.instance(name).DataFolder), qt.IsNil)
			sys.restart(name)
		}
		sys.awaitReplicas()
	}
}

// awaitReplicas waits until allReplicasCurrent holds or the test's context ends.
func (sys *system) awaitReplicas() {
	for sys.ctx.Err() == nil {
		if sys.allReplicasCurrent() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// allReplicasCurrent reports whether, according to every instance with a disk,
// each ledger has a leader, has committed all entries and has only voters, three
// of them unless the ledger is local to a data centre.
func (sys *system) allReplicasCurrent() bool {
	for _, centre := range threeCentres {
		response, err := standin.OperatorClient(sys.instance(centre+"-1").URL()).GetStatus(sys.ctx, connect.NewRequest(&papayaquayv1.GetStatusRequest{}))
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

// injectEntryAndEngineFaults injects faults into other processes until end: it
// kills entries without a disk, and restarts, stalls or slows down engines.
func (sys *system) injectEntryAndEngineFaults(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		pause := time.Duration(300+random.IntN(1200)) * time.Millisecond
		e := sys.engineGroup.Engines()[random.IntN(len(sys.engineGroup.Engines()))]
		switch random.IntN(4) {
		case 0:
			name := threeCentres[random.IntN(len(threeCentres))] + "-2"
			sys.kill(name)
			time.Sleep(pause)
			sys.restart(name)
		case 1:
			e.Close()
			time.Sleep(pause)
			sys.c.Check(e.Restart(), qt.IsNil)
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
