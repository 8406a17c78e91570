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

// handleCompletion serves a completion request.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var c engine.CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c); err != nil || c.ID == "" {
		writeError(w, http.StatusBadRequest, "", "malformed request")
		return
	}
	if e.leaving.Load() {
		writeError(w, http.StatusServiceUnavailable, c.ID, "leaving")
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
	e.recorder.addAttempt(Attempt{Backend: e.id, ID: c.ID, Prompt: c.Prompt, Resume: c.Resume})
	if !e.admit(r, stop) {
		return
	}
	defer func() { <-e.slotSemaphore; e.running.Add(-1) }()
	e.generate(w, r, c, stop)
}

// admit waits for a slot, in order of arrival. It reports false when the request is
// cancelled.
func (e *Engine) admit(r *http.Request, stop chan struct{}) bool {
	concurrent := e.queued.Add(1) + e.running.Load()
	for {
		peak := e.peakRequests.Load()
		if concurrent <= peak || e.peakRequests.CompareAndSwap(peak, concurrent) {
			break
		}
	}
	defer e.queued.Add(-1)
	select {
	case e.slotSemaphore <- struct{}{}:
		e.running.Add(1)
		return true
	case <-r.Context().Done():
	case <-stop:
	}
	return false
}

// generate streams the answer, or crashes if the prompt contains the poison text.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, c engine.CompletionRequest, stop chan struct{}) {
	if poison := e.poisonText.Load(); poison != nil && strings.Contains(c.Prompt, *poison) {
		e.crash()
		return
	}
	if !e.wait(r, stop, e.prefillTime(c.Prompt)) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	resumed := len(strings.Fields(c.Resume))
	for i := range c.MaxTokens {
		if !e.wait(r, stop, e.stepTime()) {
			return
		}
		if !e.send(w, engine.Chunk{ID: c.ID, Text: Word(c.Prompt, resumed+i), Tokens: 1}) {
			return
		}
	}
	e.send(w, engine.Chunk{ID: c.ID, Done: true})
}

// send writes one server-sent event and reports whether it succeeded.
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

// slowdownFactor returns the current factor on all times.
func (e *Engine) slowdownFactor() float64 { return math.Float64frombits(e.slowdownBits.Load()) }

// stepTime returns the time per token with the current batch.
func (e *Engine) stepTime() time.Duration {
	load := float64(e.running.Load()) / float64(e.slots)
	return time.Duration(float64(e.tokenTime) * (1 + fullBatchSlowdown*load) * e.slowdownFactor())
}

// prefillTime returns the time to process a prompt and caches its prefix.
func (e *Engine) prefillTime(prompt string) time.Duration {
	duration := float64(e.prefillPerByte) * float64(len(prompt)) * e.slowdownFactor()
	if len(prompt) < cachedPrefixBytes {
		return time.Duration(duration)
	}
	prefix := prompt[:cachedPrefixBytes]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheLookups++
	index := slices.Index(e.cachedPrefixes, prefix)
	if index >= 0 {
		e.cacheHits++
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, index, index+1)
		duration *= cachedPrefillFactor
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return time.Duration(duration)
}

// wait waits for d, and longer while the engine is stalled. It reports false when the
// request is cancelled.
func (e *Engine) wait(r *http.Request, stop chan struct{}, d time.Duration) bool {
	const stalledInterval = 20 * time.Millisecond
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
		d = stalledInterval
	}
}

// crash closes all connections and restarts the server after downTime.
func (e *Engine) crash() {
	const downTime = 300 * time.Millisecond
	e.restartMutex.Lock()
	defer e.restartMutex.Unlock()
	e.crashes.Add(1)
	e.server.Close()
	time.AfterFunc(downTime, func() {
		e.restartMutex.Lock()
		defer e.restartMutex.Unlock()
		_ = e.listen(e.address)
	})
}

// handleCancel serves a cancel request.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c engine.CancelRequest
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c) != nil {
		writeError(w, http.StatusBadRequest, "", "malformed cancellation")
		return
	}
	e.mu.Lock()
	if stop := e.cancels[c.ID]; stop != nil {
		close(stop)
		delete(e.cancels, c.ID)
	}
	e.mu.Unlock()
}

// handleOrder serves an order to load models.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o) != nil {
		writeError(w, http.StatusBadRequest, "", "malformed order")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := !e.checksFence || o.Fence >= e.highestFence.Load()
	e.recorder.addOrder(ReceivedOrder{Backend: e.id, Fence: o.Fence, Load: o.Load, Accepted: accepted})
	if !accepted {
		writeError(w, http.StatusConflict, "", "old fencing number")
		return
	}
	e.highestFence.Store(max(e.highestFence.Load(), o.Fence))
	e.loadedModels = o.Load
	_ = json.NewEncoder(w).Encode(engine.OrderResponse{Fence: e.highestFence.Load(), Loaded: e.loadedModels})
}

// handleLoad serves the load report.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(engine.LoadReport{Running: e.Running(), Queued: e.Queued(), Leaving: e.leaving.Load()})
}

// writeError writes a response with an error status to the request with an id, empty if unknown.
func writeError(w http.ResponseWriter, status int, id, reason string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.ErrorResponse{ID: id, Error: reason})
}
