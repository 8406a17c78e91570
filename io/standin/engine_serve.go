package standin

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"papayaquay/io/engine"
)

// complete serves a completion request.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c engine.CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c); err != nil || c.ID == "" {
		refuse(w, http.StatusBadRequest, "malformed request")
		return
	}
	if e.leaving.Load() {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	stop := make(chan struct{})
	e.mu.Lock()
	e.cancels[c.ID] = stop
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.cancels, c.ID)
		e.mu.Unlock()
	}()
	e.recorder.add(Attempt{Backend: e.id, ID: c.ID, Prompt: c.Prompt, Resume: c.Resume})
	if !e.admit(r, stop) {
		return
	}
	defer func() { <-e.slot; e.running.Add(-1) }()
	e.generate(w, r, c, stop)
}

// admit waits for a slot, in the order of arrival.
func (e *Engine) admit(r *http.Request, stop chan struct{}) bool {
	together := e.queued.Add(1) + e.running.Load()
	for {
		peak := e.peakRequests.Load()
		if together <= peak || e.peakRequests.CompareAndSwap(peak, together) {
			break
		}
	}
	defer e.queued.Add(-1)
	select {
	case e.slot <- struct{}{}:
		e.running.Add(1)
		return true
	case <-r.Context().Done():
	case <-stop:
	}
	return false
}

// generate streams the answer.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, c engine.CompletionRequest, stop chan struct{}) {
	if poison := e.poison.Load(); poison != nil && strings.Contains(c.Prompt, *poison) {
		e.crash()
		return
	}
	if !e.pause(r, stop, e.prefillTime(c.Prompt)) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	done := len(strings.Fields(c.Resume))
	for i := range c.MaxTokens {
		if !e.pause(r, stop, e.stepTime()) {
			return
		}
		if !e.send(w, engine.Chunk{ID: c.ID, Text: Word(c.Prompt, done+i), Tokens: 1}) {
			return
		}
	}
	e.send(w, engine.Chunk{ID: c.ID, Done: true})
}

// send writes one event.
func (e *Engine) send(w http.ResponseWriter, chunk engine.Chunk) bool {
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// factor returns the present factor on all times.
func (e *Engine) factor() float64 { return math.Float64frombits(e.slowdown.Load()) }

// stepTime returns the time of one token with the present batch.
func (e *Engine) stepTime() time.Duration {
	share := float64(e.running.Load()) / float64(e.slots)
	return time.Duration(float64(e.tokenTime) * (1 + batchSlowdown*share) * e.factor())
}

// prefillTime returns the time to take in a prompt and caches its prefix.
func (e *Engine) prefillTime(prompt string) time.Duration {
	full := float64(e.prefill) * float64(len(prompt)) * e.factor()
	if len(prompt) < prefixBytes {
		return time.Duration(full)
	}
	prefix := prompt[:prefixBytes]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheAll++
	at := slices.Index(e.prefixes, prefix)
	if at >= 0 {
		e.cacheHit++
		e.prefixes = slices.Delete(e.prefixes, at, at+1)
		full *= cachedFactor
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > defaultCache {
		e.prefixes = e.prefixes[1:]
	}
	return time.Duration(full)
}

// pause waits; it reports false when the request is cancelled.
func (e *Engine) pause(r *http.Request, stop chan struct{}, d time.Duration) bool {
	const frozenStep = 20 * time.Millisecond
	for {
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return false
		case <-stop:
			timer.Stop()
			return false
		}
		if !e.stalled.Load() {
			return true
		}
		d = frozenStep
	}
}

// crash cuts all connections and comes back after a moment.
func (e *Engine) crash() {
	const downTime = 300 * time.Millisecond
	e.restarts.Lock()
	defer e.restarts.Unlock()
	e.crashes.Add(1)
	e.server.Close()
	time.AfterFunc(downTime, func() {
		e.restarts.Lock()
		defer e.restarts.Unlock()
		_ = e.listen(e.address)
	})
}

// cancel serves a cancellation.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var c engine.CancelRequest
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c) != nil {
		refuse(w, http.StatusBadRequest, "malformed cancellation")
		return
	}
	e.mu.Lock()
	if stop := e.cancels[c.ID]; stop != nil {
		close(stop)
		delete(e.cancels, c.ID)
	}
	e.mu.Unlock()
}

// order serves an order to load models.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o) != nil {
		refuse(w, http.StatusBadRequest, "malformed order")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	taken := !e.checksFence || o.Fence >= e.fence.Load()
	e.recorder.addOrder(ReceivedOrder{Backend: e.id, Fence: o.Fence, Load: o.Load, Accepted: taken})
	if !taken {
		refuse(w, http.StatusConflict, "old fencing number")
		return
	}
	e.fence.Store(max(e.fence.Load(), o.Fence))
	e.loadedModels = o.Load
	_ = json.NewEncoder(w).Encode(engine.OrderResponse{Fence: e.fence.Load(), Loaded: e.loadedModels})
}

// load serves the load report.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(engine.LoadReport{Running: e.Running(), Queued: e.Queued(), Leaving: e.leaving.Load()})
}

// refuse answers with an error status.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.ErrorResponse{Error: reason})
}
