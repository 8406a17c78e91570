package standin

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/io/engine"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Default speeds of an engine.
const (
	DefaultSlots     = 8
	DefaultTokenTime = 8 * time.Millisecond  // between tokens of a lone request
	DefaultPrefillPerByte   = 20 * time.Microsecond // for a prompt byte that is not cached
	batchSlowdown    = 1.0                   // a full batch doubles the time between tokens
	prefixBytes      = 256                   // of a prompt that the cache knows it by
	cachedFactor     = 0.1                   // on the prefill time of a cached prefix
	defaultCache     = 32                    // prefixes
	wordsModulus     = 9973                  // distinct generated words
	maxRequestBytes  = 4 << 20
)

// Engine is a model engine with continuous batching: every running request
// gets a token each step, and a step takes longer the more of them run. It
// admits requests in their order and queues those beyond its slots.
type Engine struct {
	id        string
	recorder  *Recorder
	slots     int
	tokenTime time.Duration
	prefill   time.Duration
	checksFence    bool

	slot     chan struct{}
	queued   atomic.Int32
	running  atomic.Int32
	peakRequests     atomic.Int32
	slowdown     atomic.Uint64 // float64 bits, factor on all times
	stalled   atomic.Bool
	leaving  atomic.Bool
	poison   atomic.Pointer[string]
	crashes  atomic.Int32
	fence    atomic.Uint64
	restarts sync.Mutex

	mu       sync.Mutex
	cancels  map[string]chan struct{}
	prefixes []string
	cacheHit int
	cacheAll int
	loadedModels   []string

	listener net.Listener
	server   *http.Server
	address  string
}

// EngineOption changes an engine at construction.
type EngineOption func(*Engine)

// WithSlots sets how many requests run at the same time.
func WithSlots(slots int) EngineOption { return func(e *Engine) { e.slots = slots } }

// WithSpeed sets the time between tokens of a lone request and the prefill
// time of a prompt byte.
func WithSpeed(token, prefill time.Duration) EngineOption {
	return func(e *Engine) { e.tokenTime, e.prefill = token, prefill }
}

// WithFenceCheck makes the engine refuse orders with an old fencing number.
func WithFenceCheck(fences bool) EngineOption { return func(e *Engine) { e.checksFence = fences } }

// WithRecorder sets the recorder of runs.
func WithRecorder(r *Recorder) EngineOption { return func(e *Engine) { e.recorder = r } }

// NewEngine starts an engine on a loopback port.
func NewEngine(id string, options ...EngineOption) (*Engine, error) {
	e := &Engine{id: id, recorder: &Recorder{}, slots: DefaultSlots, tokenTime: DefaultTokenTime,
		prefill: DefaultPrefillPerByte, cancels: make(map[string]chan struct{})}
	for _, option := range options {
		option(e)
	}
	e.slot = make(chan struct{}, e.slots)
	e.SetSlowdown(1)
	return e, e.listen("127.0.0.1:0")
}

// listen starts to serve on an address.
func (e *Engine) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.listener = listener
	e.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.complete)
	mux.HandleFunc("POST "+engine.PathCancel, e.cancel)
	mux.HandleFunc("POST "+engine.PathOrders, e.order)
	mux.HandleFunc("GET "+engine.PathLoad, e.load)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go e.server.Serve(listener)
	return nil
}

// Close ends the engine and cuts its connections.
func (e *Engine) Close() { e.server.Close() }

// Restart opens the engine again on the same port after Close or a crash.
func (e *Engine) Restart() error { return e.listen(e.address) }

// ID returns the engine's id.
func (e *Engine) ID() string { return e.id }

// URL returns the engine's base URL.
func (e *Engine) URL() string { return "http://" + e.address }

// SetSlowdown sets a factor on all times; 1 is the normal speed.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown.Store(math.Float64bits(factor)) }

// SetStalled makes all requests stand still, or go on.
func (e *Engine) SetStalled(frozen bool) { e.stalled.Store(frozen) }

// SetLeaving makes the engine say that it takes no new work.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// SetPoison makes requests whose prompt contains text crash the engine; it
// comes back after a moment.
func (e *Engine) SetPoison(text string) { e.poison.Store(&text) }

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int { return int(e.crashes.Load()) }

// Running returns the number of running requests.
func (e *Engine) Running() int { return int(e.running.Load()) }

// Queued returns the number of requests that wait for a slot.
func (e *Engine) Queued() int { return int(e.queued.Load()) }

// PeakRequests returns the greatest number of requests that ran or waited together.
func (e *Engine) PeakRequests() int { return int(e.peakRequests.Load()) }

// CacheStats returns how many requests found their prefix cached, and how many
// had one.
func (e *Engine) CacheStats() (hits, all int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheHit, e.cacheAll
}

// Word returns word i of the answer to a prompt. Answers depend on the prompt
// only, so that every run and every resumed run gives the same text.
func Word(prompt string, i int) string {
	h := xxhash.Sum64String(prompt)
	return fmt.Sprintf("w%d ", (h>>7+uint64(i)*2654435761)%wordsModulus)
}

// ExpectedAnswer returns the whole answer to a prompt.
func ExpectedAnswer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Word(prompt, i))
	}
	return text.String()
}

// LoadedModels returns the models that orders loaded.
func (e *Engine) LoadedModels() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loadedModels)
}
