package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"papayaquay/io/plain"

	"github.com/cockroachdb/errors"
)

// PlainService is a substitute plain service that returns its input in upper case.
type PlainService struct {
	id       string
	recorder *Recorder
	delay    time.Duration
	server   *http.Server
	address  string
}

// NewPlainService starts a plain service on a free loopback port. Each call takes delay.
func NewPlainService(id string, delay time.Duration, recorder *Recorder) (*PlainService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &PlainService{id: id, recorder: recorder, delay: delay, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+plain.PathCall, p.call)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go p.server.Serve(listener)
	return p, nil
}

// call serves one call. It runs to its end even if the client disconnects.
func (p *PlainService) call(w http.ResponseWriter, r *http.Request) {
	var c plain.Call
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c) != nil {
		writeError(w, http.StatusBadRequest, "", "malformed call")
		return
	}
	p.recorder.addAttempt(Attempt{Backend: p.id, ID: c.ID, Prompt: c.Input})
	time.Sleep(p.delay)
	_ = json.NewEncoder(w).Encode(plain.Response{ID: c.ID, Output: strings.ToUpper(c.Input)})
}

// ID returns the service's id.
func (p *PlainService) ID() string { return p.id }

// URL returns the service's base URL.
func (p *PlainService) URL() string { return "http://" + p.address }

// Close stops the service and closes its connections.
func (p *PlainService) Close() { p.server.Close() }
