// Package instance puts the parts of one instance together: the control
// thread, the traffic threads, the disk, the connections to peers, and the
// servers for callers, operators and backend servers.
package instance

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/tick"
	"papayaquay/core/traffic"
	"papayaquay/io/disk"
	"papayaquay/io/engine"
	"papayaquay/io/otlp"
	"papayaquay/io/peer"
	"papayaquay/io/plain"
	"papayaquay/io/record"
	"papayaquay/io/settings"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
)

// Timing of the end of a graceful shutdown.
const (
	stopGrace  = 2 * time.Second       // for servers to close
	leavePause = 50 * time.Millisecond // for the last packets to leave
)

// Instance is one running instance.
type Instance struct {
	settings *settings.Settings
	secrets  atomic.Pointer[settings.Settings] // reloaded for its keys
	version  string
	logger   *slog.Logger
	policy   traffic.Policy
	owner    string
	start    time.Time

	store    *disk.Store
	exporter *otlp.Exporter
	tracer   trace.Tracer
	client   *peer.Client
	engines  *engine.Client
	plains   *plain.Client

	controlInbox *tick.Inbox[control.Input]
	control      *control.World
	threads      []*thread
	snapshot     atomic.Pointer[control.Snapshot]
	spans        spanMap

	ready     atomic.Bool
	draining  chan struct{}
	drainOnce sync.Once
	wait      sync.WaitGroup

	peerListener net.Listener
	httpListener net.Listener
	httpServer   *http.Server
	failure      atomic.Pointer[error]
}

// thread is one traffic thread.
type thread struct {
	inbox *tick.Inbox[traffic.Input]
	world *traffic.World
}

// Option changes an instance at construction.
type Option func(*Instance)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(i *Instance) { i.logger = logger } }

// WithPolicy sets the traffic policy instead of the settings' one.
func WithPolicy(policy traffic.Policy) Option { return func(i *Instance) { i.policy = policy } }

// WithVersion sets the program version that status reports.
func WithVersion(version string) Option { return func(i *Instance) { i.version = version } }

// New prepares an instance: it opens the data folder and the listeners.
func New(ctx context.Context, s *settings.Settings, options ...Option) (*Instance, error) {
	i := &Instance{
		settings: s, logger: slog.New(slog.DiscardHandler), start: time.Now(),
		policy:       traffic.NewPolicy(traffic.WithQueueLimit(s.QueueLimit()), traffic.WithBudgetShares(s.HedgeShare(), s.RetryShare())),
		controlInbox: tick.NewInbox[control.Input](),
		draining:     make(chan struct{}),
		spans:        spanMap{open: make(map[string]trace.Span)},
	}
	i.secrets.Store(s)
	for _, option := range options {
		option(i)
	}
	i.owner = fmt.Sprintf("%s#%d", s.Name(), i.start.UnixMilli())
	if err := i.open(ctx); err != nil {
		i.close()
		return nil, err
	}
	i.build()
	return i, nil
}

// open acquires files and addresses.
func (i *Instance) open(ctx context.Context) error {
	var err error
	if i.exporter, err = otlp.New(ctx, i.settings.Name(), i.settings.TraceFile(), i.settings.TraceEndpoint()); err != nil {
		return err
	}
	i.tracer = i.exporter.Tracer()
	if i.peerListener, err = net.Listen("tcp", i.settings.PeerAddress()); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if i.httpListener, err = net.Listen("tcp", i.settings.HTTPAddress()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if i.settings.DataFolder() == "" {
		return nil
	}
	i.store, err = i.openStore()
	return err
}

// openStore opens the data folder. A corrupt log is set aside and the instance
// joins its ledgers anew, unless it holds the only replica of one.
func (i *Instance) openStore() (*disk.Store, error) {
	folder := i.settings.DataFolder()
	open := func() (*disk.Store, error) {
		return disk.Open(folder, disk.WithLogger(i.logger), disk.WithCallbacks(
			func(sequence uint64) { i.controlInbox.Post(control.Synced(sequence)) },
			func(err error) { i.controlInbox.Post(control.DiskStatus(err)) }))
	}
	store, err := open()
	if !errors.Is(err, disk.ErrCorrupt) {
		return store, err
	}
	for _, p := range i.settings.Placements() {
		if len(p.Replicas()) == 1 && p.Replicas()[0] == i.settings.Name() {
			return nil, errors.Wrapf(err, "%s has its only replica here, restore the data folder", p.Ledger())
		}
	}
	if err := disk.RenameCorruptLog(folder); err != nil {
		return nil, err
	}
	return open()
}

// close releases files and addresses of an instance that did not start.
func (i *Instance) close() {
	for _, l := range []net.Listener{i.peerListener, i.httpListener} {
		if l != nil {
			l.Close()
		}
	}
	if i.store != nil {
		i.store.Close()
	}
	if i.exporter != nil {
		_ = i.exporter.Stop(context.Background())
	}
}

// build creates the worlds and connects them.
func (i *Instance) build() {
	s := i.settings
	keys := func() []string { return i.secrets.Load().PeerKeys() }
	i.client = peer.NewClient(s.Name(), keys)
	transport := engine.NewTransport()
	i.engines = engine.New(i.owner, transport)
	i.plains = plain.New(transport)
	i.snapshot.Store(control.NewSnapshot(config.NewView(0, nil), nil, homesOf(s.Placements())))

	now := time.Now()
	self := member.NewInstance(s.Name(), i.peerListener.Addr().String(), s.DataCentre(), uint64(i.start.UnixMilli()), member.StateAlive)
	members := member.New(now, self, member.WithSeed(uint64(i.start.UnixNano())), member.WithSeeds(s.Seeds()...), member.WithProbeInterval(s.ProbeInterval()))
	i.control = control.New(now, i.owner, record.NewControlCodec(), members, i.hostLedgers(now),
		control.WithLogger(i.logger), control.WithPlacements(s.Placements()...),
		control.WithCompactAfter(s.CompactAfter()), control.WithLease(s.ItemLease()),
		control.WithPersist(i.persist), control.WithSend(func(p control.Packet) {
			i.client.Send(context.Background(), p.Address(), func() ([]byte, error) { return peer.Encode(p) })
		}),
		control.WithPublish(i.publish), control.WithPost(i.controlInbox.Post),
		control.WithBackground(func(work func()) { go work() }),
		control.WithItems(i.startItem, i.stopItem))
	for n := range s.TrafficThreads() {
		i.threads = append(i.threads, i.newThread(n))
	}
}

// homesOf returns the home ledgers of a placement.
func homesOf(placements []control.Placement) []ledger.ID {
	var homes []ledger.ID
	for _, p := range placements {
		if control.IsHome(p.Ledger()) {
			homes = append(homes, p.Ledger())
		}
	}
	return homes
}

// hostLedgers creates the ledger world with the replicas of this instance.
func (i *Instance) hostLedgers(now time.Time) *ledger.World {
	world := ledger.New(i.settings.Name(), ledger.WithSeed(uint64(i.start.UnixNano())))
	if i.store == nil {
		return world
	}
	stored := make(map[ledger.ID]disk.PersistedState)
	for _, row := range i.store.TakeLoaded() {
		stored[row.Ledger()] = row
	}
	for _, p := range i.settings.Placements() {
		for _, name := range p.Replicas() {
			if name != i.settings.Name() {
				continue
			}
			replica := ledger.ReplicaID(i.settings.Name() + "#" + i.store.Nonce())
			options := []ledger.HostOption{ledger.WithPreferredLeader(p.PreferredLeader())}
			if row, ok := stored[p.Ledger()]; ok {
				replica = row.Replica()
				options = append(options, ledger.WithPersistedState(row.Term(), row.Vote(), row.Snapshot(), row.Entries()))
			}
			world.Host(now, p.Ledger(), replica, p.Replicas(), options...)
		}
	}
	return world
}

// persist hands records to the disk.
func (i *Instance) persist(sequence uint64, records []ledger.Record) {
	i.store.Append(sequence, records)
}

// publish stores a snapshot and wakes the traffic threads.
func (i *Instance) publish(snapshot *control.Snapshot) {
	i.snapshot.Store(snapshot)
	for _, t := range i.threads {
		t.inbox.Post(traffic.SnapshotChanged())
	}
}

// Run runs the instance until it was drained or the context ended.
func (i *Instance) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	i.launch(inner)
	event.Started.Log(i.logger, "instance", i.settings.Name(), "dc", i.settings.DataCentre(),
		"peer", i.peerListener.Addr().String(), "http", i.httpListener.Addr().String())
	select {
	case <-ctx.Done():
	case <-i.draining:
	}
	i.shutdown(inner)
	cancel()
	i.wait.Wait()
	if i.store != nil {
		i.store.Close()
	}
	stopped, stop := context.WithTimeout(context.Background(), stopGrace)
	defer stop()
	err := i.exporter.Stop(stopped)
	event.Stopped.Log(i.logger, "instance", i.settings.Name())
	if failure := i.failure.Load(); failure != nil {
		return *failure
	}
	return err
}

// launch starts the goroutines.
func (i *Instance) launch(ctx context.Context) {
	if i.store != nil {
		i.spawn(func() { i.store.Run(ctx) })
	}
	i.spawn(func() {
		tick.New(i.controlInbox, i.control.Step, i.control.Next).Run(ctx)
	})
	for _, t := range i.threads {
		i.spawn(func() { tick.New(t.inbox, t.world.Step, t.world.Next).Run(ctx) })
	}
	server := peer.NewServer(i.settings.Name(), func() []string { return i.secrets.Load().PeerKeys() },
		peer.PacketHandler(i.settings.Name(), func(p control.Packet) { i.controlInbox.Post(control.PacketReceived(p)) }), i.logger)
	i.spawn(func() { i.note(server.Serve(ctx, i.peerListener)) })
	i.httpServer = i.newHTTPServer()
	i.spawn(func() {
		if err := i.httpServer.Serve(i.httpListener); !errors.Is(err, http.ErrServerClosed) {
			i.note(errors.Wrap(err, "serve HTTP"))
		}
	})
	i.ready.Store(true)
}

// spawn runs a part of the instance in a goroutine that Run waits for.
func (i *Instance) spawn(work func()) {
	i.wait.Add(1)
	go func() {
		defer i.wait.Done()
		work()
	}()
}

// note remembers the first failure of a listener and stops the instance.
func (i *Instance) note(err error) {
	if err == nil {
		return
	}
	event.ListenerFailed.Log(i.logger, "error", err)
	i.failure.CompareAndSwap(nil, &err)
	i.Drain()
}

// Drain starts a graceful shutdown.
func (i *Instance) Drain() { i.drainOnce.Do(func() { close(i.draining) }) }

// Reload takes new keys and secrets from settings.
func (i *Instance) Reload(s *settings.Settings) { i.secrets.Store(s) }

// HTTPAddress returns the address that callers use.
func (i *Instance) HTTPAddress() string { return i.httpListener.Addr().String() }

// shutdown drains the instance: it is reported as not ready first, refuses new
// requests when the balancer had time to notice, finishes what runs, hands
// over ledgers and items, and closes.
func (i *Instance) shutdown(ctx context.Context) {
	i.ready.Store(false)
	deadline := time.Now().Add(i.settings.ShutdownTimeout())
	select {
	case <-time.After(i.settings.LoadBalancerDelay()):
	case <-ctx.Done():
	}
	progress := make(chan control.DrainProgress, 1)
	i.controlInbox.Post(control.StartDrain(func(d control.DrainProgress) {
		select {
		case progress <- d:
		default: // an older report is still unread
		}
	}))
	bounded, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := i.httpServer.Shutdown(bounded)
	for done := false; !done && err == nil; {
		select {
		case d := <-progress:
			done = d.Done()
		case <-bounded.Done():
			err = bounded.Err()
		}
	}
	if err != nil {
		event.ShutdownTimedOut.Log(i.logger, "bound", i.settings.ShutdownTimeout())
		i.httpServer.Close()
	}
	i.leave()
}

// leave tells the other instances of the planned stop.
func (i *Instance) leave() {
	left := make(chan struct{})
	i.controlInbox.Post(control.StartLeave(func() { close(left) }))
	select {
	case <-left:
	case <-time.After(stopGrace):
	}
	time.Sleep(leavePause)
}
