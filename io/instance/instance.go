// Package instance assembles one instance: the control thread, the traffic
// threads, the disk, the connections to peers, and the servers for callers,
// operators and backend servers.
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

	"papayaquay/core/budget"
	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/tick"
	"papayaquay/core/traffic"
	"papayaquay/io/client"
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

// Times at the end of a graceful shutdown.
const (
	closeTimeout    = 2 * time.Second       // for leaving, and again for the trace exporter
	lastPacketDelay = 50 * time.Millisecond // until the last packets are sent
)

// Instance is one running instance.
type Instance struct {
	settings  *settings.Settings
	secrets   atomic.Pointer[settings.Settings] // latest settings; only keys and secrets are read from it
	version   string
	logger    *slog.Logger
	policy    traffic.Policy
	owner     string // identifies this process: instance name and start time
	startTime time.Time

	store        *disk.Store
	exporter     *otlp.Exporter
	tracer       trace.Tracer
	peerClient   *peer.Client
	engineClient *engine.Client
	plainClient  *plain.Client

	controlInbox *tick.Inbox[control.Input]
	control      *control.World
	threads      []*thread
	snapshot     atomic.Pointer[control.Snapshot]
	spans        spanMap

	ready     atomic.Bool
	draining  chan struct{}
	drainOnce sync.Once
	waitGroup sync.WaitGroup

	peerListener    net.Listener
	httpListener    net.Listener
	httpServer      *http.Server
	gate            *client.Gate // takes what clients send
	listenerFailure atomic.Pointer[error]
}

// thread is one traffic thread.
type thread struct {
	inbox *tick.Inbox[traffic.Input]
	world *traffic.World
}

// Option configures an instance.
type Option func(*Instance)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(i *Instance) { i.logger = logger } }

// WithPolicy sets the traffic policy. The default is built from the settings.
func WithPolicy(policy traffic.Policy) Option { return func(i *Instance) { i.policy = policy } }

// WithVersion sets the program version that the operator service reports.
func WithVersion(version string) Option { return func(i *Instance) { i.version = version } }

// New returns an instance that has opened its data folder and listeners. Run starts it.
func New(ctx context.Context, s *settings.Settings, options ...Option) (*Instance, error) {
	i := &Instance{
		settings: s, logger: slog.New(slog.DiscardHandler), startTime: time.Now(),
		policy:       traffic.NewPolicy(traffic.WithQueueLimit(s.QueueLimit()), traffic.WithBudgetShares(s.HedgeShare(), s.RetryShare())),
		controlInbox: tick.NewInbox[control.Input](),
		draining:     make(chan struct{}),
		spans:        spanMap{open: make(map[string]trace.Span)},
	}
	i.secrets.Store(s)
	for _, option := range options {
		option(i)
	}
	i.gate = client.NewGate(s.MemoryBytes(), 0, i.logger)
	i.owner = fmt.Sprintf("%s#%d", s.Name(), i.startTime.UnixMilli())
	if err := i.acquire(ctx); err != nil {
		i.release()
		return nil, err
	}
	i.createWorlds()
	return i, nil
}

// acquire opens the trace exporter, the listeners and the data folder.
func (i *Instance) acquire(ctx context.Context) error {
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

// openStore opens the data folder. It renames a corrupt log, so that the instance
// joins its ledgers as a new replica. It returns an error instead if the instance
// holds the only replica of a ledger.
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

// release closes the listeners, data folder and exporter of an instance that failed
// to start.
func (i *Instance) release() {
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

// homeMemoryDivisor gives a quarter of an instance's memory to what callers store, with its log. While a snapshot is encoded,
// written and replaced, it is in memory several times; another quarter is for clients.
const homeMemoryDivisor = 4

// createWorlds creates the control world, the traffic threads and their clients, and
// connects them.
func (i *Instance) createWorlds() {
	s := i.settings
	keys := func() []string { return i.secrets.Load().PeerKeys() }
	i.peerClient = peer.NewClient(s.Name(), keys)
	transport := engine.NewTransport()
	i.engineClient = engine.New(i.owner, transport)
	i.plainClient = plain.New(transport)
	i.snapshot.Store(control.NewSnapshot(config.NewView(0, nil), nil, homeLedgers(s.Placements())))

	now := time.Now()
	self := member.NewInstance(s.Name(), i.peerListener.Addr().String(), s.DataCentre(), uint64(i.startTime.UnixMilli()), member.StateAlive)
	members := member.New(now, self, member.WithSeed(uint64(i.startTime.UnixNano())), member.WithSeeds(s.Seeds()...), member.WithProbeInterval(s.ProbeInterval()))
	i.control = control.New(now, i.owner, record.NewControlCodec(), members, i.hostLedgers(now),
		control.WithLogger(i.logger), control.WithPlacements(s.Placements()...),
		control.WithCompactAfter(s.CompactAfter()), control.WithLease(s.ItemLease()),
		control.WithMaxHomeBytes(int(s.MemoryBytes()/homeMemoryDivisor)),
		control.WithPersist(i.persist), control.WithSend(func(p control.Packet) {
			i.peerClient.Send(context.Background(), p.Address(), func() ([][]byte, error) { return i.encode(p) }, func() {})
		}),
		control.WithPublish(i.publish), control.WithPost(i.controlInbox.Post),
		control.WithBackground(func(work func()) { go work() }),
		control.WithItems(i.startItem, i.stopItem))
	for n := range s.TrafficThreads() {
		i.threads = append(i.threads, i.newThread(n))
	}
}

// encode encodes a packet. One that cannot be encoded or received is dropped.
func (i *Instance) encode(packet control.Packet) ([][]byte, error) {
	data, err := peer.Encode(packet)
	if err != nil {
		event.CallEncodingFailed.Log(i.logger, "call", "packet", "to", packet.To(), "error", err)
	}
	return [][]byte{data}, err
}

// homeLedgers returns the ids of the home ledgers among the placements.
func homeLedgers(placements []control.Placement) []ledger.ID {
	var homes []ledger.ID
	for _, p := range placements {
		if control.IsHome(p.Ledger()) {
			homes = append(homes, p.Ledger())
		}
	}
	return homes
}

// hostLedgers creates the ledger world with the replicas of this instance, from their
// persisted state if there is one. Without a disk it hosts none.
func (i *Instance) hostLedgers(now time.Time) *ledger.World {
	world := ledger.New(i.settings.Name(), ledger.WithSeed(uint64(i.startTime.UnixNano())))
	if i.store == nil {
		return world
	}
	persisted := make(map[ledger.ID]disk.PersistedState)
	for _, state := range i.store.TakeLoaded() {
		persisted[state.Ledger()] = state
	}
	for _, p := range i.settings.Placements() {
		for _, name := range p.Replicas() {
			if name != i.settings.Name() {
				continue
			}
			replica := ledger.ReplicaID(i.settings.Name() + "#" + i.store.Nonce())
			options := []ledger.HostOption{ledger.WithPreferredLeader(p.PreferredLeader())}
			if state, ok := persisted[p.Ledger()]; ok {
				replica = state.Replica()
				options = append(options, ledger.WithPersistedState(state.Term(), state.Vote(), state.Snapshot(), state.Entries()))
			}
			world.Host(now, p.Ledger(), replica, p.Replicas(), options...)
		}
	}
	return world
}

// persist queues records for the disk.
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

// Run runs the instance until Drain is called, a listener fails or the context ends.
// Then it shuts the instance down. It returns the listener's error, if any, or that of
// the trace exporter.
func (i *Instance) Run(ctx context.Context) error {
	runContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	i.startGoroutines(runContext)
	event.Started.Log(i.logger, "instance", i.settings.Name(), "dc", i.settings.DataCentre(),
		"peer", i.peerListener.Addr().String(), "http", i.httpListener.Addr().String())
	select {
	case <-ctx.Done():
	case <-i.draining:
	}
	i.shutdown(runContext)
	cancel()
	i.waitGroup.Wait()
	if i.store != nil {
		i.store.Close()
	}
	closeContext, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	err := i.exporter.Stop(closeContext)
	event.Stopped.Log(i.logger, "instance", i.settings.Name())
	if failure := i.listenerFailure.Load(); failure != nil {
		return *failure
	}
	return err
}

// startGoroutines starts the disk, all threads and all servers.
func (i *Instance) startGoroutines(ctx context.Context) {
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
	i.spawn(func() { i.recordFailure(server.Serve(ctx, i.gate.Listener(i.peerListener, budget.Inside))) })
	i.spawn(func() { i.gate.Run(ctx) })
	i.httpServer = i.newHTTPServer()
	i.spawn(func() {
		if err := i.httpServer.Serve(i.gate.Listener(i.httpListener, budget.Outside)); !errors.Is(err, http.ErrServerClosed) {
			i.recordFailure(errors.Wrap(err, "serve HTTP"))
		}
	})
	i.ready.Store(true)
}

// spawn runs work in a goroutine that Run waits for.
func (i *Instance) spawn(work func()) {
	i.waitGroup.Add(1)
	go func() {
		defer i.waitGroup.Done()
		work()
	}()
}

// recordFailure logs the error of a listener, keeps the first one for Run and drains the
// instance. It ignores nil.
func (i *Instance) recordFailure(err error) {
	if err == nil {
		return
	}
	event.ListenerFailed.Log(i.logger, "error", err)
	i.listenerFailure.CompareAndSwap(nil, &err)
	i.Drain()
}

// Drain starts a graceful shutdown.
func (i *Instance) Drain() { i.drainOnce.Do(func() { close(i.draining) }) }

// Reload replaces the keys and secrets with those of new settings.
func (i *Instance) Reload(s *settings.Settings) { i.secrets.Store(s) }

// HTTPAddress returns the address that callers use.
func (i *Instance) HTTPAddress() string { return i.httpListener.Addr().String() }

// shutdown drains the instance. It reports not ready first and waits until the load
// balancer has had time to notice. Then it rejects new requests, finishes the running
// ones, transfers the leadership of its ledgers, releases its items, and leaves.
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
		default: // an older report has not been read yet
		}
	}))
	shutdownContext, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := i.httpServer.Shutdown(shutdownContext)
	select {
	case <-progress: // requests that have ended since may have left more to move
	default:
	}
	for done := false; !done && err == nil; {
		select {
		case d := <-progress:
			done = d.Done()
		case <-shutdownContext.Done():
			err = shutdownContext.Err()
		}
	}
	if err != nil {
		event.ShutdownTimedOut.Log(i.logger, "bound", i.settings.ShutdownTimeout())
		i.httpServer.Close()
	}
	i.leave()
}

// leave announces the planned stop to the other instances.
func (i *Instance) leave() {
	leaveSent := make(chan struct{})
	i.controlInbox.Post(control.StartLeave(func() { close(leaveSent) }))
	select {
	case <-leaveSent:
	case <-time.After(closeTimeout):
	}
	time.Sleep(lastPacketDelay)
}
