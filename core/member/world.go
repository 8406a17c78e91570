package member

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"papayaquay/core/table"
	"papayaquay/core/timer"

	"github.com/cespare/xxhash/v2"
)

// Default timing and sizes.
const (
	DefaultProbeInterval  = 500 * time.Millisecond
	probeTimeout          = 250 * time.Millisecond // wait for an ack before indirect probes are requested
	indirectProbes        = 3                      // instances that are asked for an indirect probe
	suspectProbes         = 4                      // probe intervals in which a suspect may refute
	deadRetention         = 10 * time.Minute       // rows of dead instances and gone backend servers are kept this long
	deadProbeInterval     = 5 * time.Second        // time between probes of dead instances
	digestInterval        = 3 * time.Second
	digestBuckets         = 64
	backendTimeout        = 4 * time.Second // a backend server is gone after this time without an announcement
	refreshInterval       = 5 * time.Second // minimum time between rumors of an unchanged backend server
	refreshBytesPerSecond = 1500            // bandwidth of all such rumors
	backendRowBytes       = 90              // approximate size of a backend server's row in a message
	maxRumorsPerMessage   = 24
)

// instanceRow is an instance as seen here.
type instanceRow struct {
	instance   Instance
	stateSince time.Time // time of the last state change
	seed       bool      // known from settings only, no message received yet
}

// backendRow is a backend server as seen here.
type backendRow struct {
	backend     Backend
	updatedAt   time.Time // last newer announcement or row
	announcedAt time.Time // last announcement at the monitor; a new monitor starts with the current time
	rumoredAt   time.Time // last rumor started by this instance
}

// probeRow is a probe that waits for its ack.
type probeRow struct {
	target         string
	number         uint64
	requester      string // instance that requested an indirect probe
	requesterProbe uint64
	sentAt         time.Time
	indirectSent   bool
}

// rumorKey identifies the row that a rumor is about.
type rumorKey struct {
	backend bool
	id      string
}

// rumorRow is a rumor that still spreads.
type rumorRow struct {
	sendsLeft int  // remaining transmissions
	local     bool // spreads within the data centre only
}

// World is the membership as seen by one instance. Only the control thread may
// use it.
type World struct {
	self            Instance
	random          *rand.Rand
	probeInterval   time.Duration
	instances       *table.Table[string, instanceRow]
	addresses       map[string]string // from settings, by instance
	backends        *table.Table[string, backendRow]
	probes          *table.Table[uint64, probeRow]
	rumors          *table.Table[rumorKey, rumorRow]
	timers          *timer.Service
	probeDue        *timer.Subscription
	digestDue       *timer.Subscription
	deadProbeDue    *timer.Subscription
	localInstances  int // reachable instances in this data centre
	lastProbe       uint64
	version         uint64 // increased by every visible change
	lastContact     time.Time
	suppressRumors  bool      // merged rows start no rumors
	localBackends   int       // backend servers in this data centre that are not gone
	backendCheckDue time.Time // time of the next check for gone backend servers
	messages        []Message
}

// Option configures a world at construction.
type Option func(*World)

// WithSeed seeds the random choice of probe targets.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 2)) }
}

// WithProbeInterval sets the probe interval.
func WithProbeInterval(d time.Duration) Option { return func(w *World) { w.probeInterval = d } }

// WithSeeds adds instances known from settings. They are contacted until they
// are heard from.
func WithSeeds(seeds ...Instance) Option {
	return func(w *World) {
		for _, seed := range seeds {
			if seed.name != w.self.name {
				w.addresses[seed.name] = seed.address
				w.instances.Put(seed.name, instanceRow{instance: seed, seed: true})
			}
		}
	}
}

// New returns the membership world of instance self. now is the start time.
func New(now time.Time, self Instance, options ...Option) *World {
	w := &World{
		self:          self,
		random:        rand.New(rand.NewPCG(1, 2)),
		probeInterval: DefaultProbeInterval,
		instances:     table.New[string, instanceRow](),
		addresses:     make(map[string]string),
		backends:      table.New[string, backendRow](),
		probes:        table.New[uint64, probeRow](),
		rumors:        table.New[rumorKey, rumorRow](),
		timers:        timer.New(),
		lastContact:   now,
	}
	w.instances.Put(self.name, instanceRow{instance: self, stateSince: now})
	for _, option := range options {
		option(w)
	}
	w.probeDue = w.timers.Subscribe("probe", w.probeRandom)
	w.digestDue = w.timers.Subscribe("digest", w.sendDigest)
	w.deadProbeDue = w.timers.Subscribe("revive", w.probeDead)
	w.probeDue.Arm(now)
	w.digestDue.Arm(now.Add(w.probeInterval))
	w.deadProbeDue.Arm(now.Add(deadProbeInterval))
	w.startRumor(rumorKey{id: self.name}, false)
	return w
}

// Run runs the systems of one tick.
func (w *World) Run(now time.Time) {
	w.timers.Fire(now)
	w.checkProbes(now)
	w.checkSuspects(now)
	w.checkBackends(now)
}

// Next returns the time at which the next tick is due.
func (w *World) Next() time.Time {
	next, _ := w.timers.Next()
	w.probes.Each(func(_ uint64, p *probeRow) {
		if due := p.sentAt.Add(probeTimeout); !p.indirectSent && due.Before(next) {
			next = due
		}
	})
	return next
}

// Output returns and removes the queued messages.
func (w *World) Output() []Message {
	messages := w.messages
	w.messages = nil
	return messages
}

// Version returns a number that increases with every visible change of an
// instance or backend server row.
func (w *World) Version() uint64 { return w.version }

// LastContact returns when this instance last received a message from another
// one.
func (w *World) LastContact() time.Time { return w.lastContact }

// Self returns this instance's own row.
func (w *World) Self() Instance { return w.self }

// Get returns the row of a known instance.
func (w *World) Get(name string) (Instance, bool) {
	row := w.instances.Get(name)
	if row == nil {
		return Instance{}, false
	}
	return row.instance, true
}

// AddressOf returns the peer address of an instance: the address in the
// settings if there is one, else the one that the instance announced. It is
// empty if neither is known.
func (w *World) AddressOf(name string) string {
	if address := w.addresses[name]; address != "" {
		return address
	}
	if row := w.instances.Get(name); row != nil {
		return row.instance.address
	}
	return ""
}

// Instances returns all known instances.
func (w *World) Instances() []Instance {
	instances := make([]Instance, 0, w.instances.Len())
	w.instances.Each(func(_ string, row *instanceRow) { instances = append(instances, row.instance) })
	return instances
}

// Backends returns all known backend servers, including those that are gone.
func (w *World) Backends() []Backend {
	backends := make([]Backend, 0, w.backends.Len())
	w.backends.Each(func(_ string, row *backendRow) { backends = append(backends, row.backend) })
	return backends
}

// digests returns one digest per bucket. A digest covers the key, incarnation
// and state of all rows of the bucket and does not depend on their order.
func (w *World) digests() []uint64 {
	sums := make([]uint64, digestBuckets)
	w.instances.Each(func(name string, row *instanceRow) {
		if row.instance.state != 0 && !row.seed {
			sums[bucketOf(name)] ^= hashRow(name, row.instance.incarnation, uint64(row.instance.state))
		}
	})
	w.backends.Each(func(id string, row *backendRow) {
		flags := uint64(0)
		if row.backend.leaving {
			flags |= 1
		}
		if row.backend.gone {
			flags |= 2
		}
		sums[bucketOf(id)] ^= hashRow(id, row.backend.incarnation, flags)
	})
	return sums
}

// bucketOf returns the digest bucket of a row's key.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// hashRow hashes one row.
func hashRow(name string, a, b uint64) uint64 {
	h := xxhash.Sum64String(name)
	return bits.RotateLeft64(h^a*0x9e3779b97f4a7c15, 31) * (b + 0x632be59bd9b4e019)
}
