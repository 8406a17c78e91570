package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Hosts and paths of the routes, and how long a client waits.
const (
	routeHost  = "online.example"
	routePath  = "/on/"
	batchHost  = "batch.example"
	batchPath  = "/batch/"
	clientWait = 5 * time.Second
)

// answer is what a client got.
type answer struct {
	status   int
	begun    bool // an event arrived
	complete bool
	events   []string // data of the events
	last     int      // id of the last event
	err      error
}

// lastID numbers the client attempts.
var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s%d", prefix, lastID.Add(1)) }

// stream sends a request for a stream to an entry on a new connection and reads the answer.
func (c *cluster) stream(entry *instance, id, parts, content string, header map[string]string) answer {
	return c.streamWithReset(nil, entry, id, parts, content, header)
}

// streamWithReset is like stream. The connection is reset when resets is closed, if it is not nil.
func (c *cluster) streamWithReset(resets chan struct{}, entry *instance, id, parts, content string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%sx", entry.host(), callerPort, routePath), strings.NewReader(content))
	if err != nil {
		return answer{err: err}
	}
	r.Host = routeHost
	r.Header.Set(names["request_id"], id)
	r.Header.Set(names["deadline"], strconv.FormatInt(clientWait.Milliseconds(), 10))
	if parts != "" {
		r.Header.Set(names["parts"], parts)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialWithReset(resets)}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode}
	a.err = a.read(response.Body)
	a.complete = errors.Is(a.err, io.EOF) && response.StatusCode == http.StatusOK
	return a
}

// dialWithReset returns a function that opens connections, which are reset when resets is closed, if
// it is not nil.
func dialWithReset(resets chan struct{}) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || resets == nil {
			return conn, err
		}
		go func() {
			<-resets
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}()
		return conn, nil
	}
}

// read reads events until the body ends. The error is io.EOF at its regular end.
func (a *answer) read(body io.Reader) error {
	reader := bufio.NewReader(body)
	id, data := 0, ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			a.begun, a.last = true, id
			a.events = append(a.events, data)
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		}
	}
}

// request sends a request with an id and content of its own and records the answer.
func (c *cluster) request(client int, prefix, parts string) answer {
	entries := c.role("entry")
	id := newID(prefix)
	a := c.stream(entries[client%len(entries)], id, parts+","+id+":250", "content of "+id, nil)
	c.record.add("client: %s got %d, %d events, complete %t", id, a.status, len(a.events), a.complete)
	return a
}

// manifest returns a manifest with an online and a batch route to service s.
func manifest(version int, resumable bool, attempts int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"online","host":%q,%q:%q,"kind":"stream","timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"s","max_attempts":%d,"sticky":true,"resumable":%t,"gap_aim_ms":200},
{"name":"batch","host":%q,%q:%q,"kind":"batch","timeout_ms":15000,"target_latency_ms":400,"priority":2,"service":"s","max_attempts":3,"completion_target_ms":18000,"keep_s":60,"max_count":1400000}],
"services":[{"name":"s","health_path":"/health","max_conns":340}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routeHost, names["prefix"], routePath, attempts, resumable, batchHost, names["prefix"], batchPath)
}
