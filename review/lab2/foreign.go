package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// foreignDelay is the time after the reports of the other writer before the check.
const foreignDelay = 2 * time.Second

// runForeign sends liveness reports of another writer, in which fields are missing, and checks
// that the workers are still used.
func runForeign(record *recorder, trouble bool) (broken bool, err error) {
	c, err := startCase(record, manifest(1, false, 1), fleet{workers: 6, slots: 4, eventCount: 5, eventPause: 20 * time.Millisecond})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		for _, w := range c.workers {
			c.reportForeign(w)
		}
	}
	time.Sleep(foreignDelay)
	return c.checkService()
}

// reportForeign sends a liveness report of another writer that names the address of a worker
// under an id of its own. The zone, the version, the time until the worker is warm and the
// sequence number are missing.
func (c *cluster) reportForeign(w *worker) {
	body, err := json.Marshal(map[string]any{"service": "s", "address": w.address, "slots": w.slots, "state": "ready", "born": time.Now().UnixMilli()})
	if err != nil {
		c.record.add("another writer: %v", err)
		return
	}
	control := c.role("control")[0]
	r, err := http.Post(fmt.Sprintf("http://%s:%d"+names["heartbeat"], control.host(), controlPort, "agent-"+w.id), "application/json", bytes.NewReader(body))
	if err != nil {
		c.record.add("another writer: %v", err)
		return
	}
	r.Body.Close()
	c.record.add("another writer reports agent-%s: %s: got %d", w.id, body, r.StatusCode)
}

// runEarly sends liveness reports of another writer that name an unknown service before the first
// manifest comes, and checks that the workers are used.
func runEarly(record *recorder, trouble bool) (broken bool, err error) {
	c, err := newCluster(record, nil)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	for n := range 6 {
		if err := c.addWorker(c.zones[n%len(c.zones)], fleet{slots: 4, eventCount: 5, eventPause: 20 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	time.Sleep(foreignDelay)
	if trouble {
		for _, w := range c.workers {
			c.reportUnknown(w)
		}
	}
	if err := c.configure(manifest(1, false, 1)); err != nil {
		return false, err
	}
	if err := c.await(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	return c.checkService()
}

// reportUnknown sends what a worker reports, but with a service that no manifest names and a seq
// of the other writer's own.
func (c *cluster) reportUnknown(w *worker) {
	w.mu.Lock()
	body, _ := json.Marshal(map[string]any{"service": "unknown", "address": w.address, "zone": w.zone, "version": w.version,
		"slots": w.slots, "state": "ready", names["cold"]: 0, "seq": 1000000, "born": w.born})
	w.mu.Unlock()
	control := c.role("control")[0]
	r, err := http.Post(fmt.Sprintf("http://%s:%d"+names["heartbeat"], control.host(), controlPort, w.id), "application/json", bytes.NewReader(body))
	if err != nil {
		c.record.add("another writer: %v", err)
		return
	}
	r.Body.Close()
	c.record.add("another writer reports %s: %s: got %d", w.id, body, r.StatusCode)
}
