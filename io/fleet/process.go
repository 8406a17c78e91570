// Package fleet runs one instance of a deployment that consists of entry,
// control and store instances. It starts the control thread, the traffic thread
// of an entry, the disk, the connections to other instances, and the HTTP
// servers with the handlers of the front end.
package fleet

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/budget"
	"papayaquay/core/cluster"
	"papayaquay/core/entry"
	"papayaquay/core/event"
	"papayaquay/core/quarantine"
	"papayaquay/core/routing"
	"papayaquay/core/stream"
	"papayaquay/core/tick"
	"papayaquay/io/boottime"
	"papayaquay/io/client"
	"papayaquay/io/disk"
	"papayaquay/io/forward"
	"papayaquay/io/peer"
	"papayaquay/io/settings"
	"papayaquay/io/socket"

	"github.com/cockroachdb/errors"
)

// peerKey signs the handshake between instances. The network of a deployment is
// private and its settings contain no secret, so the key only rejects clients of
// other protocols.
const peerKey = "papayaquay-fleet"

// ackTimeout is the time after which a connection is closed whose caller or peer
// acknowledges no sent bytes.
const ackTimeout = 5 * time.Second

// FrontEnd holds what depends on the platform: how to read its configuration
// documents, and its HTTP interface.
type FrontEnd struct {
	decode       func([]byte) (*routing.Config, error)
	backendCodec forward.Codec
	callers      func(*Process) http.Handler
	control      func(*Process) http.Handler
	reject       func(w http.ResponseWriter, r *http.Request, err error)
}

// NewFrontEnd returns a front end. decode reads a configuration document,
// backendCodec encodes requests to backend servers and decodes their responses, callers
// returns the handler for callers, control returns the handler for operators
// and backend servers, and reject answers a request for which there is no room.
func NewFrontEnd(decode func([]byte) (*routing.Config, error), backendCodec forward.Codec, callers, control func(*Process) http.Handler,
	reject func(w http.ResponseWriter, r *http.Request, err error),
) FrontEnd {
	return FrontEnd{decode: decode, backendCodec: backendCodec, callers: callers, control: control, reject: reject}
}

// Process is a running instance.
type Process struct {
	settings    *settings.Fleet
	front       FrontEnd
	logger      *slog.Logger
	startedAt   time.Time
	wallClock   func() time.Time // returns the time of day
	diskOptions []disk.Option

	store          *disk.Store
	peerClient     *peer.Client
	forward        *forward.Client
	spans          *spans
	inbox          *tick.Inbox[cluster.Input] // of the control thread
	controlWorld   *cluster.World
	traffic        *tick.Inbox[entry.Input] // of the traffic thread
	trafficWorld   *entry.World
	itemAttempts   itemAttempts
	snapshot       atomic.Pointer[cluster.Snapshot]
	stopping       atomic.Bool
	shutdownWindow atomic.Pointer[shutdownWindow] // nil until the shutdown starts
	requestContext context.Context                // of all requests of HTTP servers
	endRequests    context.CancelFunc
	listenerErrors chan error
	wait           sync.WaitGroup
	listeners      []net.Listener
	servers        []*http.Server
	shutdownGuard  *socket.ShutdownGuard
	gate           *client.Gate // takes what clients send
	outgoing       *budget.Hold // large packets that wait to be sent
}

// Option changes a process at construction.
type Option func(*Process)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(p *Process) { p.logger = logger } }

// WithWallClock sets the function that returns the time of day.
func WithWallClock(wall func() time.Time) Option { return func(p *Process) { p.wallClock = wall } }

// WithDiskOptions sets the options for opening the data folder.
func WithDiskOptions(options ...disk.Option) Option {
	return func(p *Process) { p.diskOptions = options }
}

// New returns an instance that is ready to run: it opens the data folder and
// creates the worlds.
func New(s *settings.Fleet, front FrontEnd, options ...Option) (*Process, error) {
	p := &Process{
		settings: s, front: front, logger: slog.New(slog.DiscardHandler), wallClock: time.Now,
		inbox: tick.NewInbox[cluster.Input](), listenerErrors: make(chan error, 1), shutdownGuard: socket.NewShutdownGuard(),
		itemAttempts: itemAttempts{cancels: make(map[uint64]context.CancelFunc)},
	}
	for _, option := range options {
		option(p)
	}
	p.gate = client.NewGate(s.MemoryBytes(), s.MaxDescriptors(), p.logger)
	p.outgoing = p.gate.Outgoing()
	p.startedAt = p.wallClock()
	p.requestContext, p.endRequests = context.WithCancel(context.Background())
	p.snapshot.Store(cluster.NewSnapshot(nil, nil, nil))
	p.peerClient = peer.NewClient(s.PeerAddress(), peerKeys, peer.WithSourceIP(s.SourceIP()))
	p.forward = forward.New(front.backendCodec, forward.WithSourceIP(s.SourceIP()), forward.WithLogger(p.logger))
	var err error
	if p.spans, err = newSpans(s.Name(), s.TraceFile(), s.TraceEndpoint()); err != nil {
		return nil, err
	}
	if err := p.openStore(); err != nil {
		return nil, err
	}
	p.buildControlWorld()
	if s.Role() == settings.RoleEntry {
		p.buildTrafficWorld()
	}
	return p, nil
}

// peerKeys returns the keys of the handshake between instances.
func peerKeys() []string { return []string{peerKey} }

// openStore opens the data folder. If the log is corrupt, openStore renames it,
// and the instance joins its ledger as a new replica.
func (p *Process) openStore() error {
	folder := p.settings.DataFolder()
	if folder == "" || p.settings.Role() == settings.RoleEntry {
		return nil
	}
	open := func() (*disk.Store, error) {
		options := append([]disk.Option{disk.WithLogger(p.logger), disk.WithCallbacks(
			func(sequence uint64) { p.inbox.Post(cluster.Synced(sequence)) }, func(error) {})}, p.diskOptions...)
		return disk.Open(folder, options...)
	}
	store, err := open()
	if errors.Is(err, disk.ErrCorrupt) {
		if err := disk.RenameCorruptLog(folder); err != nil {
			return err
		}
		store, err = open()
	}
	p.store = store
	return err
}

// buildTrafficWorld creates the world and the inbox of an entry's traffic thread.
func (p *Process) buildTrafficWorld() {
	p.traffic = tick.NewInbox[entry.Input]()
	p.trafficWorld = entry.New(p.settings.DataCentre(), p.snapshot.Load,
		entry.WithLogger(p.logger), entry.WithSeed(uint64(p.startedAt.UnixNano())),
		entry.WithReport(func(r usageReport) { p.inbox.Post(cluster.UsageChanged(r)) }),
		entry.WithStreamSearch(func(number uint64, q stream.Query) {
			p.inbox.Post(cluster.FindStream(q, func(a stream.Answer) { p.traffic.Post(entry.StreamFound(number, a)) }))
		}),
		entry.WithLeaveReport(func(backend string, incarnation uint64) {
			p.inbox.Post(cluster.ServerSaidLeaving(backend, incarnation))
		}),
		entry.WithObserver(metrics().requestEnded, metrics().attemptEnded),
		entry.WithQuarantine(p.checkCrash,
			func(c quarantine.Crash) { p.inbox.Post(cluster.ServerCrashed(c)) },
			func(parts []quarantine.Part) { p.inbox.Post(cluster.AnswerBegan(parts)) },
			func(parts []quarantine.Part) { p.inbox.Post(cluster.AnswerCompleted(parts)) },
			func(id quarantine.CrashID) { p.inbox.Post(cluster.ServerAnswered(id)) }),
		entry.WithSoundParts(func(parts []quarantine.Part) { p.inbox.Post(cluster.PartsSound(parts)) }),
		entry.WithProbe(func(backend, address string) {
			go func() { p.traffic.Post(entry.ProbeEnded(backend, p.forward.CanConnect(context.Background(), address))) }()
		}))
}

// checkCrash tells the traffic thread whether a backend server refuses connections while
// one of the others, if there are any, accepts them.
func (p *Process) checkCrash(id quarantine.CrashID, address string, others []string) {
	go func() { p.traffic.Post(entry.CrashChecked(id, p.hasEnded(context.Background(), address, others))) }()
}

// hasEnded reports whether the process of a backend server has ended: it refuses connections
// although one of the others, if there are any, accepts them.
func (p *Process) hasEnded(ctx context.Context, address string, others []string) bool {
	if !p.forward.Refuses(ctx, address) {
		return false
	}
	return len(others) == 0 || slices.ContainsFunc(others, func(other string) bool { return p.forward.CanConnect(ctx, other) })
}

// Snapshot returns the newest snapshot of the control world.
func (p *Process) Snapshot() *cluster.Snapshot { return p.snapshot.Load() }

// Logger returns the logger.
func (p *Process) Logger() *slog.Logger { return p.logger }

// SetSeeds replaces the seeds by those of newer settings.
func (p *Process) SetSeeds(s *settings.Fleet) { p.inbox.Post(cluster.SeedsChanged(s.Seeds())) }

// Run runs the instance until the context ends, then shuts it down gracefully.
// It returns an error if a listener fails.
func (p *Process) Run(ctx context.Context) error {
	threadsCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.listen(threadsCtx); err != nil {
		return err
	}
	p.startThreads(threadsCtx)
	event.Started.Log(p.logger, "instance", p.settings.Name(), "role", p.settings.Role(), "dc", p.settings.DataCentre(),
		"peer", p.settings.PeerAddress(), "seeds", p.settings.Seeds(), "founds", p.settings.IsInitialMember())
	var err error
	select {
	case <-ctx.Done():
		p.shutdown()
	case err = <-p.listenerErrors:
		event.ListenerFailed.Log(p.logger, "error", err)
	}
	cancel()
	p.wait.Wait()
	if p.store != nil {
		p.store.Close()
	}
	if exportErr := p.spans.close(); exportErr != nil {
		event.SpanExportFailed.Log(p.logger, "error", exportErr)
	}
	event.Stopped.Log(p.logger, "instance", p.settings.Name())
	return err
}

// startThreads starts the goroutines of the disk and of the worlds.
func (p *Process) startThreads(ctx context.Context) {
	if p.store != nil {
		p.spawn(func() { p.store.Run(ctx) })
	}
	p.spawn(func() { p.gate.Run(ctx) })
	p.spawn(func() {
		tick.New(p.inbox, p.controlWorld.Step, p.controlWorld.Next, tick.WithClock[cluster.Input](boottime.Now)).Run(ctx)
	})
	if p.trafficWorld != nil {
		p.spawn(func() { tick.New(p.traffic, p.trafficWorld.Step, p.trafficWorld.Next).Run(ctx) })
	}
}

// spawn runs work in a goroutine that Run waits for.
func (p *Process) spawn(work func()) {
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		work()
	}()
}
