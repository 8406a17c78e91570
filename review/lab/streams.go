package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Streams of the cases in which clients take streams up.
const (
	streamCount = 16
	streamPause = 200 * time.Millisecond // between events
	timeBudget  = 5 * time.Second        // of a client
	contactTime = 3 * time.Second
	minTakenUp  = 12
	retryAfter  = 400 * time.Millisecond // until a client tries once more
)

// stream is a stream as its client sees it.
type stream struct {
	id        string
	began     time.Time
	lastEvent int
	version   string
	status    int
}

// open sends a request for a stream to an entry and reads events until the context ends or
// the answer does. after is the last event that the client has.
func (d *deployment) open(ctx context.Context, url, id, begunBy string, after int, timeLeft time.Duration, s *stream) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/re/1", strings.NewReader("prompt"))
	if err != nil {
		return
	}
	request.Host = "resumable.example"
	request.Header.Set(d.names.RequestID, id)
	request.Header.Set(d.names.TimeLeft, fmt.Sprint(timeLeft.Milliseconds()))
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Usage", "350,200")
	request.Header.Set("X-Prompt-Prefix", "9c2e41:100,"+id+":250")
	if begunBy != "" {
		request.Header.Set(d.names.BegunBy, begunBy)
		request.Header.Set(d.names.LastEvent, fmt.Sprint(after))
	}
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			s.lastEvent++
			s.version = data[:2]
		}
	}
}
