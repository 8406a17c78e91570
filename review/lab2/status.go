package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case of spoiled status lines.
const (
	spoiledEvery  = 34                     // one answer in this many is spoiled: a share of 0.029
	spoilWorkers  = 3                      // of five: a share of 0.6
	spoilTime     = 6 * time.Second        // of one period
	spoilPeriods  = 5                      // so that each worker is faulty in three of them
	restTime      = 3 * time.Second        // after each period
	statusClients = 4                      // send one request after the other
	refusedPause  = 100 * time.Millisecond // of a client after an answer other than 200
)

// spoilStatus answers with a status line whose first digit is wrong.
func spoilStatus(w *worker, out http.ResponseWriter, r *http.Request) bool {
	conn, buffer, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	id := r.Header.Get(names["request_id"])
	fmt.Fprintf(buffer, "HTTP/1.1 000 OK\r\n%s: %s\r\n%s: %s.proof\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: v1 1\n\n",
		names["request_id"], id, names["stamp"], w.id)
	_ = buffer.Flush()
	w.c.record.add("%s spoils its answer to %s", w.id, id)
	return true
}

// runStatus has workers that spoil the status line of a few answers for some seconds, and checks
// afterwards, while no worker is faulty, that the workers are still used.
func runStatus(record *recorder, trouble bool) (broken bool, err error) {
	c, err := startCase(record, manifest(1, false, 1), fleet{workers: 5, slots: 2, eventCount: 3, eventPause: 20 * time.Millisecond})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var faulty sync.Map // by worker id
	for _, w := range c.workers {
		var answers atomic.Int64
		w.setSpoil(func(w *worker, out http.ResponseWriter, r *http.Request) bool {
			_, isFaulty := faulty.Load(w.id)
			return isFaulty && answers.Add(1)%spoiledEvery == 0 && spoilStatus(w, out, r)
		})
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range statusClients {
		clients.Go(func() { c.load(n, stop) })
	}
	for period := range spoilPeriods {
		for n := range spoilWorkers {
			if trouble {
				faulty.Store(c.workers[(spoilWorkers*period+n)%len(c.workers)].id, true)
			}
		}
		time.Sleep(spoilTime)
		faulty.Clear()
		time.Sleep(restTime)
	}
	close(stop)
	clients.Wait()
	return c.checkService()
}

// load sends requests one after the other until stop is closed.
func (c *cluster) load(client int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if a := c.request(client, "load", "aa:100"); a.status != http.StatusOK {
			time.Sleep(refusedPause)
		}
	}
}
