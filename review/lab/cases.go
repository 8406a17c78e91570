package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// errNotReady says that the deployment did not become ready.
var errNotReady = errors.New("the deployment did not become ready")

// Runs of the item of the case of a late copy.
const (
	maxAttempts = 3 // of the route
	failingRuns = 2 // the next one is complete
)

// foreignSequence is the number that another writer has reached with its own reports.
const foreignSequence = 4711

// startWorkers starts workers and waits until the entries take connections.
func startWorkers(d *deployment, count int) ([]*worker, error) {
	var workers []*worker
	for n := range count {
		w, err := d.newWorker(n, "tokens", "v1")
		if err != nil {
			return workers, err
		}
		workers = append(workers, w)
	}
	if !d.awaitReady() {
		return workers, errNotReady
	}
	time.Sleep(time.Second)
	return workers, nil
}

// newItems returns sound items.
func newItems(prefix string, count int) []item {
	var items []item
	for i := range count {
		items = append(items, newItem(fmt.Sprintf("%s%04x", prefix, i)))
	}
	return items
}

// lateCopy checks that an item is given up only after as many answers of 500 as the route
// allows attempts, when a worker sends an answer once more, late.
func lateCopy(d *deployment, trouble bool) (int, error) {
	workers, err := startWorkers(d, 2)
	if err != nil {
		return exitNotRun, err
	}
	const target = "e5b2907c14da6f38"
	var mu sync.Mutex
	failures, copies := 0, 0
	for _, w := range workers {
		w.fail = func(id string) int {
			mu.Lock()
			defer mu.Unlock()
			if id != target || failures == failingRuns {
				return 0
			}
			failures++
			return http.StatusInternalServerError
		}
		w.extra = func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || failures < failingRuns {
				return false
			}
			copies++
			return true
		}
	}
	if !d.submit("7c41e09b52d6a3f8", newItems("aa", 100)) {
		return exitNotRun, errors.New("job not accepted")
	}
	d.awaitResults("7c41e09b52d6a3f8", 30*time.Second)
	if !d.submit("8c41e09b52d6a3f9", []item{newItem(target)}) {
		return exitNotRun, errors.New("job not accepted")
	}
	list := d.awaitResults("8c41e09b52d6a3f9", 20*time.Second)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	d.record.add("workers: %d and %d answers, of which %d came once more; %d answers of 500 to item %s", workers[0].answers, workers[1].answers, copies, failures, target)
	if len(list) == 0 {
		return exitNotRun, errors.New("the item is not listed")
	}
	d.record.add("client: item %s is listed as %s", list[0].ID, list[0].State)
	if list[0].State == d.names.GivenUp && failures < maxAttempts {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// foreignReport checks that reports of another writer hide no worker.
func foreignReport(d *deployment, trouble bool) (int, error) {
	workers, err := startWorkers(d, 2)
	if err != nil {
		return exitNotRun, err
	}
	if trouble {
		for _, w := range workers {
			body, err := json.Marshal(map[string]any{"service": "elsewhere", "address": w.address, "zone": "z1", "version": "v1", "slots": workerSlots, "state": "ready", "seq": foreignSequence, "born": w.born})
			if err != nil {
				return exitNotRun, err
			}
			status, _ := d.post(fmt.Sprintf("http://%s:%d"+d.names.Heartbeat, d.withRole("control")[0].address, controlPort, w.id), "", "", body)
			d.record.add("other writer: report for %s: %d", w.id, status)
		}
		time.Sleep(time.Second)
	}
	if !d.submit("7c41e09b52d6a3f8", newItems("aa", 10)) {
		return exitNotRun, errors.New("job not accepted")
	}
	list := d.awaitResults("7c41e09b52d6a3f8", 36*time.Second)
	d.record.add("client: %d results of 10", len(list))
	if len(list) < 10 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
