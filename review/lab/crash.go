package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashingRequest checks that a request which crashes each worker is not sent to workers
// again and again.
func crashingRequest(d *deployment, trouble bool) (int, error) {
	const poison = "/on/poison"
	workers, err := startWorkers(d, 6)
	if err != nil {
		return exitNotRun, err
	}
	var mu sync.Mutex
	var times []time.Time
	for _, w := range workers {
		w.crashes = func(path string) bool {
			if path != poison || !trouble {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Now())
			return true
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.sendSound(stop)
	for n := range 20 {
		request, err := http.NewRequest(http.MethodPost, d.entryURL(n%2, poison), strings.NewReader("prompt"))
		if err != nil {
			return exitNotRun, err
		}
		request.Host = "online.example"
		request.Header.Set(d.names.RequestID, fmt.Sprintf("9c41d07be2a4%04x", n))
		request.Header.Set(d.names.TimeLeft, "5000")
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Usage", "350,200")
		request.Header.Set("X-Prompt-Prefix", "9c2e41:100,5d07b8ff:250")
		response, err := d.client.Do(request)
		status := 0
		if err == nil {
			status = response.StatusCode
			response.Body.Close()
		}
		d.record.add("client: try %d of %s at entry %d: %d", n, poison, n%2, status)
		time.Sleep(time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range times {
		if len(times) > 3 && at.After(times[2].Add(contactTime)) {
			late++
		}
	}
	d.record.add("workers: %d crashes, %d of them later than %v after the third", len(times), late, contactTime)
	if late > 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// sendSound sends sound requests with the same first part until stop is closed.
func (d *deployment) sendSound(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		go func() {
			request, err := http.NewRequest(http.MethodPost, d.entryURL(n%2, "/on/sound"), strings.NewReader("prompt"))
			if err != nil {
				return
			}
			request.Host = "online.example"
			request.Header.Set(d.names.RequestID, fmt.Sprintf("9c41d07be2c4%04x", n))
			request.Header.Set(d.names.TimeLeft, "5000")
			request.Header.Set("X-Model", "m")
			request.Header.Set("X-Token-Usage", "350,200")
			request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("9c2e41:100,5d08%04x:250", n))
			response, err := d.client.Do(request)
			status := 0
			if err == nil {
				status = response.StatusCode
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					status = 0
				}
				response.Body.Close()
			}
			d.record.add("client: sound request %d: %d", n, status)
		}()
	}
}
