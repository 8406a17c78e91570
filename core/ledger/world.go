package ledger

import (
	"math/rand/v2"
	"time"

	"papayaquay/core/table"

	"github.com/cockroachdb/errors"
)

// Default protocol timing and sizes.
const (
	DefaultHeartbeatInterval  = 250 * time.Millisecond
	DefaultMinElectionTimeout = 900 * time.Millisecond
	DefaultMaxElectionTimeout = 1400 * time.Millisecond
	DefaultLeaseDuration      = 700 * time.Millisecond

	maxAppendEntries      = 512     // entries per message
	maxAppendBytes        = 1 << 20 // payload bytes per message
	maxInFlightEntries    = 4096    // unconfirmed entries per replica
	discoveryInterval     = 300 * time.Millisecond
	discoveryMaxAge       = 2 * time.Second // older discovery replies are ignored
	snapshotRetryInterval = 5 * time.Second
	probeRetryInterval    = 500 * time.Millisecond // between messages to a member that rejected entries
	maxLearnerLag         = 64                     // entries that a learner may lack when it is promoted
	maxApplyPerTick       = 2048
	transferRetryInterval = 5 * time.Second
	stepDownTimeouts      = 2 // a leader steps down this many maximum election timeouts after its lease expired
	maxRoundHistory       = 64
	minCompactBytes       = 8 << 20                 // of entries, for a snapshot that the number of entries does not require
	voterTimeout          = 1500 * time.Millisecond // a voter that has not replied for this time is replaced
	learnerTimeout        = 20 * time.Second        // a learner that has not replied for this time is removed
	spareLearners         = 2                       // learners ready to replace a voter, per ledger
)

// Errors of Propose.
var (
	ErrNotLeader = errors.New("not the leader of the ledger")
	ErrNotHosted = errors.New("ledger is not hosted here")
)

// World holds the replicas hosted by one instance. Only the control thread may
// use it.
type World struct {
	instance string
	random   *rand.Rand

	heartbeatInterval  time.Duration
	minElectionTimeout time.Duration
	maxElectionTimeout time.Duration
	leaseDuration      time.Duration

	replicas *table.Table[ID, replicaRow]
	progress *table.Table[progressKey, progressRow]

	targetVoters int // voters per ledger; 0 promotes every learner
	dataCentreOf func(instance string) string
	retiring     func(instance string) bool
	export       func(ID) Parts // nil: snapshots are whole and stay in memory

	electionsDisabled bool // this instance starts no elections
	heartbeatDue      time.Time
	sendHeartbeats    bool   // heartbeats are due in this tick
	lastSequence      uint64 // last batch of records returned by Output
	durableSequence   uint64 // last batch that is durable
	records           []Record
	messages          []Message
	deferred          []deferredRow
	pendingSyncs      []syncRow
	committed         []Committed
}

// deferredRow is a message to send once a batch of records is durable.
type deferredRow struct {
	sequence uint64
	message  Message
}

// syncRow is the last entry of a ledger in a batch of records.
type syncRow struct {
	sequence uint64
	ledger   ID
	index    uint64
	term     uint64
}

// Committed is one step for a state machine: a snapshot to restore or an entry
// to apply.
type Committed struct {
	ledger   ID
	snapshot Snapshot
	entry    Entry
}

// Ledger returns the ledger's id.
func (c Committed) Ledger() ID { return c.ledger }

// Snapshot returns the snapshot to restore; its index is zero if the step is an
// entry.
func (c Committed) Snapshot() Snapshot { return c.snapshot }

// Entry returns the entry to apply.
func (c Committed) Entry() Entry { return c.entry }

// Option configures a world at construction.
type Option func(*World)

// WithSeed seeds the random part of election timeouts.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 1)) }
}

// WithTiming sets the heartbeat interval, the range of the election timeout and
// the duration of the leader lease. The lease must be shorter than
// minElectionTimeout.
func WithTiming(heartbeatInterval, minElectionTimeout, maxElectionTimeout, leaseDuration time.Duration) Option {
	return func(w *World) {
		w.heartbeatInterval, w.minElectionTimeout, w.maxElectionTimeout, w.leaseDuration = heartbeatInterval, minElectionTimeout, maxElectionTimeout, leaseDuration
	}
}

// WithVoters keeps targetVoters voters in each ledger. A few more replicas are
// kept as learners that can replace a lost voter; further replicas may not
// join. dataCentreOf returns the data centre of an instance and is used to
// spread the voters. Replicas of instances for which retiring returns true are
// replaced.
func WithVoters(targetVoters int, dataCentreOf func(instance string) string, retiring func(instance string) bool) Option {
	return func(w *World) { w.targetVoters, w.dataCentreOf, w.retiring = targetVoters, dataCentreOf, retiring }
}

// New returns a world without replicas for the named instance.
func New(instance string, options ...Option) *World {
	w := &World{
		instance:           instance,
		random:             rand.New(rand.NewPCG(1, 1)),
		heartbeatInterval:  DefaultHeartbeatInterval,
		minElectionTimeout: DefaultMinElectionTimeout,
		maxElectionTimeout: DefaultMaxElectionTimeout,
		leaseDuration:      DefaultLeaseDuration,
		dataCentreOf:       func(string) string { return "" },
		retiring:           func(string) bool { return false },
		replicas:           table.New[ID, replicaRow](),
		progress:           table.New[progressKey, progressRow](),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// HostOption configures the initial state of a hosted replica.
type HostOption func(*replicaRow)

// WithPersistedState restores the replica's state from disk.
func WithPersistedState(term uint64, vote ReplicaID, snapshot Snapshot, entries []Entry) HostOption {
	return func(r *replicaRow) {
		r.term, r.vote = term, vote
		r.log = newEntryLog(snapshot, entries)
		r.commit, r.durableIndex = snapshot.index, r.log.lastIndex()
	}
}

// WithSnapshotParts restores the content of the persisted snapshot from its parts.
func WithSnapshotParts(parts [][]byte) HostOption {
	return func(r *replicaRow) {
		r.loadedParts = parts
		for _, part := range parts {
			r.log.snapshotBytes += len(part)
		}
	}
}

// WithPreferredLeader names the instance that should lead the ledger when it
// can.
func WithPreferredLeader(instance string) HostOption {
	return func(r *replicaRow) { r.preferredLeader = instance }
}

// WithJoinOnly makes a replica join an existing ledger and never bootstrap one.
func WithJoinOnly() HostOption { return func(r *replicaRow) { r.joinOnly = true } }

// SetContactPoints sets further instances to ask for a ledger.
func (w *World) SetContactPoints(ledger ID, instances []string) {
	if row := w.replicas.Get(ledger); row != nil {
		row.contactPoints = instances
	}
}

// Host adds a replica of a ledger. initialInstances lists the instances that
// bootstrap the ledger if it does not exist.
func (w *World) Host(now time.Time, ledger ID, self ReplicaID, initialInstances []string, options ...HostOption) {
	row := replicaRow{id: ledger, self: self, initialInstances: initialInstances, discoveries: make(map[string]discoveryRow)}
	for _, option := range options {
		option(&row)
	}
	row.role = RoleUninitialized
	if row.initialized() {
		row.role = RoleFollower
	}
	// A restarted replica may have confirmed a lease before the restart, so it
	// waits until that lease has expired before it votes.
	row.lastHeardLeader = now
	row.electionDue = now.Add(w.electionTimeout())
	w.replicas.Put(ledger, row)
}

// electionTimeout returns a random timeout within the configured range.
func (w *World) electionTimeout() time.Duration {
	spread := int64(w.maxElectionTimeout - w.minElectionTimeout)
	return w.minElectionTimeout + time.Duration(w.random.Int64N(max(spread, 1)))
}

// Propose appends a command and returns its term and index. It returns
// ErrNotHosted or ErrNotLeader if this instance does not lead the ledger.
func (w *World) Propose(ledger ID, payload []byte) (term, index uint64, err error) {
	row := w.replicas.Get(ledger)
	if row == nil {
		return 0, 0, ErrNotHosted
	}
	if row.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	entry := w.appendAsLeader(row, Entry{kind: EntryCommand, payload: payload})
	return entry.term, entry.index, nil
}

// appendAsLeader appends an entry with the current term at the next index and
// returns it.
func (w *World) appendAsLeader(row *replicaRow, entry Entry) Entry {
	entry.term, entry.index = row.term, row.log.lastIndex()+1
	row.log.add(entry)
	w.queueRecord(row, NewEntryRecord(row.id, row.self, entry))
	return entry
}

// queueRecord queues a record for the disk.
func (w *World) queueRecord(row *replicaRow, record Record) {
	w.records = append(w.records, record)
	switch record.kind {
	case RecordEntry:
		w.trackSync(row.id, record.entry.index, record.entry.term)
	case RecordSnapshot:
		if record.snapshot.IsLast() && record.snapshot.index > row.durableIndex && record.snapshot.index == row.log.lastIndex() {
			w.trackSync(row.id, record.snapshot.index, record.snapshot.term)
		}
	}
}

// trackSync stores the last entry of a ledger in the batch of records that
// Output returns next.
func (w *World) trackSync(ledger ID, index, term uint64) {
	sequence := w.lastSequence + 1
	for i := len(w.pendingSyncs) - 1; i >= 0 && w.pendingSyncs[i].sequence == sequence; i-- {
		if w.pendingSyncs[i].ledger == ledger {
			w.pendingSyncs[i].index, w.pendingSyncs[i].term = index, term
			return
		}
	}
	w.pendingSyncs = append(w.pendingSyncs, syncRow{sequence: sequence, ledger: ledger, index: index, term: term})
}

// queueVoteRecord queues a record of the replica's term and vote.
func (w *World) queueVoteRecord(row *replicaRow) {
	w.queueRecord(row, NewVoteRecord(row.id, row.self, row.term, row.vote))
}

// MarkDurable marks all record batches up to sequence as durable. It releases
// the messages that wait for them.
func (w *World) MarkDurable(sequence uint64) {
	w.durableSequence = max(w.durableSequence, sequence)
	pending := w.pendingSyncs[:0]
	for _, s := range w.pendingSyncs {
		if s.sequence > sequence {
			pending = append(pending, s)
			continue
		}
		row := w.replicas.Get(s.ledger)
		if row != nil && s.index > row.durableIndex && row.log.termAt(s.index) == s.term {
			row.durableIndex = s.index
		}
	}
	w.pendingSyncs = pending
	deferred := w.deferred[:0]
	for _, d := range w.deferred {
		if d.sequence > sequence {
			deferred = append(deferred, d)
			continue
		}
		w.messages = append(w.messages, d.message)
	}
	w.deferred = deferred
}

// Output returns and removes the queued messages, records and committed steps.
// The caller must make the records durable in order and then call
// MarkDurable(sequence); sequence is zero if there are no records.
func (w *World) Output() (messages []Message, records []Record, sequence uint64, committed []Committed) {
	messages, records, committed = w.messages, w.records, w.committed
	w.messages, w.records, w.committed = nil, nil, nil
	if len(records) > 0 {
		w.lastSequence++
		sequence = w.lastSequence
	}
	return messages, records, sequence, committed
}

// Run runs the systems of one tick.
func (w *World) Run(now time.Time) {
	w.sendHeartbeats = !now.Before(w.heartbeatDue)
	if w.sendHeartbeats {
		w.heartbeatDue = now.Add(w.heartbeatInterval)
	}
	w.replicas.Each(func(_ ID, row *replicaRow) {
		w.discover(now, row)
		w.elect(now, row)
		w.renewLease(now, row)
		w.repair(now, row)
		w.transferToPreferred(now, row)
		w.advanceCommit(row)
		w.replicate(now, row)
		w.compact(row)
		w.releaseCommitted(row)
	})
}

// Next returns the time at which the next tick is due.
func (w *World) Next(now time.Time) time.Time {
	next := w.heartbeatDue
	w.replicas.Each(func(_ ID, row *replicaRow) {
		if row.applied < row.commit {
			next = now
		}
		if row.role != RoleLeader && row.role != RoleUninitialized && row.electionDue.Before(next) {
			next = row.electionDue
		}
	})
	return next
}
