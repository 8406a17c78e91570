package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Times and counts of the case of a restarted worker.
const (
	restartedItems = 60
	longPause      = 100 * time.Millisecond // between events
	beforeRestart  = 800 * time.Millisecond
	downTime       = 50 * time.Millisecond  // until the new process reports itself
	loadTime       = 750 * time.Millisecond // until it accepts connections after that
	reportDelay    = 3 * time.Second        // of the reports of the restarted worker
)

// restartedWorker checks that the text of an item comes from servers of one software version,
// when a worker starts again under its id with other software and its reports arrive late.
func restartedWorker(d *deployment, trouble bool) (int, error) {
	workers, err := startWorkers(d, 3)
	if err != nil {
		return exitNotRun, err
	}
	for _, w := range workers {
		w.pause = longPause
	}
	const job = "7c41e09b52d6a3f8"
	if !d.submit(job, newItems("aa", restartedItems)) {
		return exitNotRun, errors.New("job not accepted")
	}
	time.Sleep(beforeRestart)
	late := time.Duration(0)
	if trouble {
		late = reportDelay
	}
	workers[0].restart(downTime, loadTime, workers[0].id, "v2", late)
	list := d.awaitResults(job, 30*time.Second)
	joined := 0
	for _, r := range list {
		old, recent := strings.Count(r.Text, "v1"), strings.Count(r.Text, "v2")
		d.record.add("client: item %s is %s, with %d events of v1 and %d of v2", r.ID, r.State, old, recent)
		if old > 0 && recent > 0 {
			joined++
		}
	}
	d.record.add("client: %d of %d items hold events of two versions", joined, len(list))
	if len(list) < restartedItems {
		return exitNotRun, fmt.Errorf("only %d items are listed", len(list))
	}
	if joined > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
