// Package fleet runs one instance of a deployment with entry, control and
// store instances: its control thread, the traffic thread of an entry, the
// disk, the connections to other instances, and the servers whose handlers the
// front end brings.
package fleet

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/entry"
	"papayaquay/core/event"
	"papayaquay/core/routing"
	"papayaquay/core/tick"
	"papayaquay/io/boottime"
	"papayaquay/io/disk"
	"papayaquay/io/forward"
	"papayaquay/io/peer"
	"papayaquay/io/settings"
	"papayaquay/io/socket"

	"github.com/cockroachdb/errors"
)

// peerKey signs the greeting between instances. The deployments' network is
// private and their settings bring no secret, so it only keeps strangers of
// other protocols out.
const peerKey = "papayaquay-fleet"

// ackTimeout ends a connection of a caller or peer that confirms nothing.
const ackTimeout = 5 * time.Second

// FrontEnd is what a platform brings: its documents and its HTTP interface.
type FrontEnd struct {
	decode  func([]byte) (*routing.Config, error)
	dialect forward.Dialect
	callers func(*Process) http.Handler
	control func(*Process) http.Handler
}

// NewFrontEnd returns a front end: how to read a configuration document, how
// requests and answers of backend servers are marked, and the handlers of
// callers and of operators and backend servers.
func NewFrontEnd(decode func([]byte) (*routing.Config, error), dialect forward.Dialect, callers, control func(*Process) http.Handler) FrontEnd {
	return FrontEnd{decode: decode, dialect: dialect, callers: callers, control: control}
}

// Process is one running instance.
type Process struct {
	settings  *settings.Fleet
	front     FrontEnd
	logger    *slog.Logger
	startedAt time.Time
	wallClock func() time.Time // time of day
	disk      []disk.Option

	store          *disk.Store
	peerClient     *peer.Client
	backendClient  *forward.Client
	spans          *spans
	controlInbox   *tick.Inbox[cluster.Input]
	controlWorld   *cluster.World
	trafficInbox   *tick.Inbox[entry.Input]
	trafficWorld   *entry.World
	itemAttempts   itemAttempts
	snapshot       atomic.Pointer[cluster.Snapshot]
	stopping       atomic.Bool
	listenerErrors chan error
	wait           sync.WaitGroup
	listeners      []net.Listener
	servers        []*http.Server
	connections    *socket.Held
}

// Option changes a process at construction.
type Option func(*Process)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(p *Process) { p.logger = logger } }

// WithWallClock sets the clock that tells the time of day.
func WithWallClock(wall func() time.Time) Option { return func(p *Process) { p.wallClock = wall } }

// WithDiskOptions sets options of the data folder.
func WithDiskOptions(options ...disk.Option) Option { return func(p *Process) { p.disk = options } }

// New prepares an instance: it opens the data folder and builds the worlds.
func New(s *settings.Fleet, front FrontEnd, options ...Option) (*Process, error) {
	p := &Process{
		settings: s, front: front, logger: slog.New(slog.DiscardHandler), wallClock: time.Now,
		controlInbox: tick.NewInbox[cluster.Input](), listenerErrors: make(chan error, 1), connections: socket.NewHeld(),
		itemAttempts: itemAttempts{cancels: make(map[uint64]context.CancelFunc)},
	}
	for _, option := range options {
		option(p)
	}
	p.startedAt = p.wallClock()
	p.snapshot.Store(cluster.NewSnapshot(nil, nil, nil))
	p.peerClient = peer.NewClient(s.PeerAddress(), peerKeys, peer.WithSource(s.Source()))
	p.backendClient = forward.New(front.dialect, forward.WithSource(s.Source()))
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

// peerKeys returns the keys of the greeting.
func peerKeys() []string { return []string{peerKey} }

// openStore opens the data folder. A corrupt log is set aside and the instance
// joins its ledger anew.
func (p *Process) openStore() error {
	folder := p.settings.DataFolder()
	if folder == "" || p.settings.Role() == settings.RoleEntry {
		return nil
	}
	open := func() (*disk.Store, error) {
		options := append([]disk.Option{disk.WithLogger(p.logger), disk.WithCallbacks(
			func(sequence uint64) { p.controlInbox.Post(cluster.Synced(sequence)) }, func(error) {})}, p.disk...)
		return disk.Open(folder, options...)
	}
	store, err := open()
	if errors.Is(err, disk.ErrCorrupt) {
		if err := disk.SetAside(folder); err != nil {
			return err
		}
		store, err = open()
	}
	p.store = store
	return err
}

// buildTrafficWorld creates the traffic thread of an entry.
func (p *Process) buildTrafficWorld() {
	p.trafficInbox = tick.NewInbox[entry.Input]()
	p.trafficWorld = entry.New(p.settings.DataCentre(), p.snapshot.Load,
		entry.WithLogger(p.logger), entry.WithSeed(uint64(p.startedAt.UnixNano())),
		entry.WithReport(func(r usageReport) { p.controlInbox.Post(cluster.UsageChanged(r)) }),
		entry.WithObserver(metrics().requestEnded, metrics().attemptEnded),
		entry.WithProbe(func(backend, address string) {
			go func() {
				p.trafficInbox.Post(entry.ProbeEnded(backend, p.backendClient.Reaches(context.Background(), address)))
			}()
		}))
}

// Snapshot returns the newest view of the control world.
func (p *Process) Snapshot() *cluster.Snapshot { return p.snapshot.Load() }

// Logger returns the logger.
func (p *Process) Logger() *slog.Logger { return p.logger }

// SetSeeds takes newer seeds from settings.
func (p *Process) SetSeeds(s *settings.Fleet) { p.controlInbox.Post(cluster.SeedsChanged(s.Seeds())) }

// Run runs the instance until the context ends and the graceful shutdown is
// over.
func (p *Process) Run(ctx context.Context) error {
	threadsCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.listen(threadsCtx); err != nil {
		return err
	}
	p.startThreads(threadsCtx)
	event.Started.Log(p.logger, "instance", p.settings.Name(), "role", p.settings.Role(), "dc", p.settings.DataCentre(),
		"peer", p.settings.PeerAddress(), "seeds", p.settings.Seeds(), "founds", p.settings.Founds())
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

// startThreads starts the goroutines of the worlds and of the disk.
func (p *Process) startThreads(ctx context.Context) {
	if p.store != nil {
		p.spawn(func() { p.store.Run(ctx) })
	}
	p.spawn(func() {
		tick.New(p.controlInbox, p.controlWorld.Step, p.controlWorld.Next, tick.WithClock[cluster.Input](boottime.Now)).Run(ctx)
	})
	if p.trafficWorld != nil {
		p.spawn(func() { tick.New(p.trafficInbox, p.trafficWorld.Step, p.trafficWorld.Next).Run(ctx) })
	}
}

// spawn runs a part of the instance in a goroutine that Run waits for.
func (p *Process) spawn(work func()) {
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		work()
	}()
}
