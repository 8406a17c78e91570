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

// silenceTimeout ends a connection of a caller or peer that confirms nothing.
const silenceTimeout = 5 * time.Second

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
	settings *settings.Fleet
	front    FrontEnd
	logger   *slog.Logger
	start    time.Time
	wall     func() time.Time // time of day
	disk     []disk.Option

	store     *disk.Store
	client    *peer.Client
	forward   *forward.Client
	spans     *spans
	inbox     *tick.Inbox[cluster.Input]
	world     *cluster.World
	traffic   *tick.Inbox[entry.Input]
	requests  *entry.World
	items     itemRuns
	snapshot  atomic.Pointer[cluster.Snapshot]
	leaving   atomic.Bool
	served    chan error
	wait      sync.WaitGroup
	listeners []net.Listener
	servers   []*http.Server
	held      *socket.Held
}

// Option changes a process at construction.
type Option func(*Process)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(p *Process) { p.logger = logger } }

// WithWallClock sets the clock that tells the time of day.
func WithWallClock(wall func() time.Time) Option { return func(p *Process) { p.wall = wall } }

// WithDiskOptions sets options of the data folder.
func WithDiskOptions(options ...disk.Option) Option { return func(p *Process) { p.disk = options } }

// New prepares an instance: it opens the data folder and builds the worlds.
func New(s *settings.Fleet, front FrontEnd, options ...Option) (*Process, error) {
	p := &Process{
		settings: s, front: front, logger: slog.New(slog.DiscardHandler), wall: time.Now,
		inbox: tick.NewInbox[cluster.Input](), served: make(chan error, 1), held: socket.NewHeld(),
		items: itemRuns{cancels: make(map[uint64]context.CancelFunc)},
	}
	for _, option := range options {
		option(p)
	}
	p.start = p.wall()
	p.snapshot.Store(cluster.NewSnapshot(nil, nil, nil))
	p.client = peer.NewClient(s.PeerAddress(), peerKeys, peer.WithSource(s.Source()))
	p.forward = forward.New(front.dialect, forward.WithSource(s.Source()))
	var err error
	if p.spans, err = newSpans(s.Name(), s.TraceFile(), s.TraceEndpoint()); err != nil {
		return nil, err
	}
	if err := p.openStore(); err != nil {
		return nil, err
	}
	p.buildWorld()
	if s.Role() == settings.RoleEntry {
		p.buildTraffic()
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
			func(sequence uint64) { p.inbox.Post(cluster.Synced(sequence)) }, func(error) {})}, p.disk...)
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

// buildTraffic creates the traffic thread of an entry.
func (p *Process) buildTraffic() {
	p.traffic = tick.NewInbox[entry.Input]()
	p.requests = entry.New(p.settings.DataCentre(), p.snapshot.Load,
		entry.WithLogger(p.logger), entry.WithSeed(uint64(p.start.UnixNano())),
		entry.WithReport(func(r usageReport) { p.inbox.Post(cluster.UsageChanged(r)) }),
		entry.WithObserver(metrics().served, metrics().tried),
		entry.WithProbe(func(backend, address string) {
			go func() { p.traffic.Post(entry.ProbeEnded(backend, p.forward.Reaches(context.Background(), address))) }()
		}))
}

// Snapshot returns the newest view of the control world.
func (p *Process) Snapshot() *cluster.Snapshot { return p.snapshot.Load() }

// Logger returns the logger.
func (p *Process) Logger() *slog.Logger { return p.logger }

// SetSeeds takes newer seeds from settings.
func (p *Process) SetSeeds(s *settings.Fleet) { p.inbox.Post(cluster.SeedsChanged(s.Seeds())) }

// Run runs the instance until the context ends and the graceful shutdown is
// over.
func (p *Process) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.listen(inner); err != nil {
		return err
	}
	p.launch(inner)
	event.Started.Log(p.logger, "instance", p.settings.Name(), "role", p.settings.Role(), "dc", p.settings.DataCentre(),
		"peer", p.settings.PeerAddress(), "seeds", p.settings.Seeds(), "founds", p.settings.Founds())
	var err error
	select {
	case <-ctx.Done():
		p.shutdown()
	case err = <-p.served:
		event.ListenerFailed.Log(p.logger, "error", err)
	}
	cancel()
	p.wait.Wait()
	if p.store != nil {
		p.store.Close()
	}
	if lost := p.spans.close(); lost != nil {
		event.SpanExportFailed.Log(p.logger, "error", lost)
	}
	event.Stopped.Log(p.logger, "instance", p.settings.Name())
	return err
}

// launch starts the goroutines of the worlds and of the disk.
func (p *Process) launch(ctx context.Context) {
	if p.store != nil {
		p.spawn(func() { p.store.Run(ctx) })
	}
	p.spawn(func() {
		tick.New(p.inbox, p.world.Step, p.world.Next, tick.WithClock[cluster.Input](boottime.Now)).Run(ctx)
	})
	if p.requests != nil {
		p.spawn(func() { tick.New(p.traffic, p.requests.Step, p.requests.Next).Run(ctx) })
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
