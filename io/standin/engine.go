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

// Defaults and limits of an engine.
const (
	DefaultSlots          = 8
	DefaultTokenTime      = 8 * time.Millisecond  // between tokens of a request that runs alone
	DefaultPrefillPerByte = 20 * time.Microsecond // per prompt byte that is not cached
	fullBatchSlowdown     = 1.0                   // a full batch doubles the time between tokens
	cachedPrefixBytes     = 256                   // length of the prompt prefix that is the cache key
	cachedPrefillFactor   = 0.1                   // of the prefill time, for a prompt with a cached prefix
	maxCachedPrefixes     = 32
	distinctWords         = 9973 // in generated text
	maxRequestBytes       = 4 << 20
)

// Engine is a substitute model engine with continuous batching: every running request
// gets a token each step, and a step takes longer the more requests run. It admits
// requests in order of arrival and queues those beyond its slots.
type Engine struct {
	id             string
	recorder       *Recorder
	slots          int
	tokenTime      time.Duration
	prefillPerByte time.Duration
	checksFence    bool

	slotSemaphore chan struct{}
	queued        atomic.Int32
	running       atomic.Int32
	peakRequests  atomic.Int32
	slowdownBits  atomic.Uint64 // float64 bits of a factor on all times
	stalled       atomic.Bool
	leaving       atomic.Bool
	poisonText    atomic.Pointer[string]
	crashes       atomic.Int32
	highestFence  atomic.Uint64
	restartMutex  sync.Mutex

	mu             sync.Mutex
	cancels        map[string]chan struct{}
	cachedPrefixes []string
	cacheHits      int
	cacheLookups   int
	loadedModels   []string

	listener net.Listener
	server   *http.Server
	address  string
}

// EngineOption configures an engine.
type EngineOption func(*Engine)

// WithSlots sets how many requests run at the same time.
func WithSlots(slots int) EngineOption { return func(e *Engine) { e.slots = slots } }

// WithSpeed sets the time between tokens of a request that runs alone and the prefill
// time per prompt byte.
func WithSpeed(tokenTime, prefillPerByte time.Duration) EngineOption {
	return func(e *Engine) { e.tokenTime, e.prefillPerByte = tokenTime, prefillPerByte }
}

// WithFenceCheck sets whether the engine rejects orders with an old fencing number.
func WithFenceCheck(check bool) EngineOption { return func(e *Engine) { e.checksFence = check } }

// WithRecorder sets the recorder of attempts and orders.
func WithRecorder(r *Recorder) EngineOption { return func(e *Engine) { e.recorder = r } }

// NewEngine starts an engine on a free loopback port.
func NewEngine(id string, options ...EngineOption) (*Engine, error) {
	e := &Engine{id: id, recorder: &Recorder{}, slots: DefaultSlots, tokenTime: DefaultTokenTime,
		prefillPerByte: DefaultPrefillPerByte, cancels: make(map[string]chan struct{})}
	for _, option := range options {
		option(e)
	}
	e.slotSemaphore = make(chan struct{}, e.slots)
	e.SetSlowdown(1)
	return e, e.listen("127.0.0.1:0")
}

// listen starts the HTTP server on an address.
func (e *Engine) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.listener = listener
	e.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.handleCompletion)
	mux.HandleFunc("POST "+engine.PathCancel, e.handleCancel)
	mux.HandleFunc("POST "+engine.PathOrders, e.handleOrder)
	mux.HandleFunc("GET "+engine.PathLoad, e.handleLoad)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go e.server.Serve(listener)
	return nil
}

// Close stops the engine and closes its connections.
func (e *Engine) Close() { e.server.Close() }

// Restart starts the engine again on the same port after Close or a crash.
func (e *Engine) Restart() error { return e.listen(e.address) }

// ID returns the engine's id.
func (e *Engine) ID() string { return e.id }

// URL returns the engine's base URL.
func (e *Engine) URL() string { return "http://" + e.address }

// SetSlowdown sets a factor on all times; 1 is the normal speed.
func (e *Engine) SetSlowdown(factor float64) { e.slowdownBits.Store(math.Float64bits(factor)) }

// SetStalled stops the progress of all requests, or lets them continue.
func (e *Engine) SetStalled(stalled bool) { e.stalled.Store(stalled) }

// SetLeaving sets whether the engine rejects new requests and reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// SetPoison makes requests whose prompt contains text crash the engine. It restarts after
// 300 ms.
func (e *Engine) SetPoison(text string) { e.poisonText.Store(&text) }

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int { return int(e.crashes.Load()) }

// Running returns the number of running requests.
func (e *Engine) Running() int { return int(e.running.Load()) }

// Queued returns the number of requests that wait for a slot.
func (e *Engine) Queued() int { return int(e.queued.Load()) }

// PeakRequests returns the greatest number of requests that ran or waited at one time.
func (e *Engine) PeakRequests() int { return int(e.peakRequests.Load()) }

// CacheStats returns how many requests found their prefix in the cache, and how many had
// a prefix to look up.
func (e *Engine) CacheStats() (hits, lookups int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cacheHits, e.cacheLookups
}

// Word returns word i of the answer to a prompt. Answers depend only on the prompt, so
// that every attempt gives the same text, also when it resumes.
func Word(prompt string, i int) string {
	h := xxhash.Sum64String(prompt)
	return fmt.Sprintf("w%d ", (h>>7+uint64(i)*2654435761)%distinctWords)
}

// ExpectedAnswer returns the whole answer to a prompt.
func ExpectedAnswer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Word(prompt, i))
	}
	return text.String()
}

// LoadedModels returns the models of the last accepted order.
func (e *Engine) LoadedModels() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loadedModels)
}
