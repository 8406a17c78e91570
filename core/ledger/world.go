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
	DefaultElectionTimeoutMin = 900 * time.Millisecond
	DefaultElectionTimeoutMax = 1400 * time.Millisecond
	DefaultLeaseDuration      = 700 * time.Millisecond

	appendEntries   = 512     // entries in one message
	appendBytes     = 1 << 20 // payload bytes in one message
	appendWindow    = 4096    // entries sent but not confirmed, for one replica
	helloInterval   = 300 * time.Millisecond
	helloFresh      = 2 * time.Second // age at which a hello answer is void
	snapshotRetry   = 5 * time.Second
	probeRetry      = 500 * time.Millisecond // between messages to a member that refused entries
	learnerLag      = 64                     // entries by which a learner may trail at promotion
	applyPerTick    = 2048
	transferRetry   = 5 * time.Second
	stepDownLeases  = 2 // leader gives up after this many election timeouts without a quorum
	maxRoundHistory = 64
	lostAfter       = 1500 * time.Millisecond // silence after which a voter is replaced
	forgetAfter     = 20 * time.Second        // silence after which a learner is dropped
	standbys        = 2                       // learners that wait to replace a voter
)

// Errors of Propose.
var (
	ErrNotLeader = errors.New("not the leader of the ledger")
	ErrNotHosted = errors.New("ledger is not hosted here")
)

// World hosts the replicas of one instance. It belongs to the control thread.
type World struct {
	instance string
	random   *rand.Rand

	heartbeat   time.Duration
	electionMin time.Duration
	electionMax time.Duration
	lease       time.Duration

	replicas *table.Table[ID, replicaRow]
	progress *table.Table[progressKey, progressRow]

	targetVoters int // voters to keep; 0 makes every learner a voter
	place        func(instance string) string
	retiring     func(instance string) bool

	passive   bool // never stands for election
	beatDue   time.Time
	beat      bool   // a heartbeat is due in this tick
	sequence  uint64 // last batch of records handed out
	synced    uint64 // last batch known to be durable
	records   []Record
	messages  []Message
	held      []heldRow
	syncs     []syncRow
	committed []Committed
}

// heldRow is a message that waits for a batch of records to be durable.
type heldRow struct {
	sequence uint64
	message  Message
}

// syncRow says up to which entry a batch makes a log durable.
type syncRow struct {
	sequence uint64
	ledger   ID
	index    uint64
	term     uint64
}

// Committed is one step for a state machine: a snapshot to load or an entry to apply.
type Committed struct {
	ledger   ID
	snapshot Snapshot
	entry    Entry
}

// Ledger returns the ledger's id.
func (c Committed) Ledger() ID { return c.ledger }

// Snapshot returns the snapshot to load; its index is zero when Entry counts.
func (c Committed) Snapshot() Snapshot { return c.snapshot }

// Entry returns the entry to apply.
func (c Committed) Entry() Entry { return c.entry }

// Option changes a world at construction.
type Option func(*World)

// WithSeed seeds the election jitter.
func WithSeed(seed uint64) Option {
	return func(w *World) { w.random = rand.New(rand.NewPCG(seed, 1)) }
}

// WithTiming sets heartbeat interval, the election timeout's range and the
// leader lease. The lease must be shorter than electionMin.
func WithTiming(heartbeat, electionMin, electionMax, lease time.Duration) Option {
	return func(w *World) {
		w.heartbeat, w.electionMin, w.electionMax, w.lease = heartbeat, electionMin, electionMax, lease
	}
}

// WithVoters keeps target voters in each ledger. A few further replicas are
// learners until a voter is lost; others are not taken in. place names the data centre of an instance, so that
// voters are spread; retiring marks instances whose replicas must be moved off.
func WithVoters(target int, place func(instance string) string, retiring func(instance string) bool) Option {
	return func(w *World) { w.targetVoters, w.place, w.retiring = target, place, retiring }
}

// New returns a world without replicas for the named instance.
func New(instance string, options ...Option) *World {
	w := &World{
		instance:    instance,
		random:      rand.New(rand.NewPCG(1, 1)),
		heartbeat:   DefaultHeartbeatInterval,
		electionMin: DefaultElectionTimeoutMin,
		electionMax: DefaultElectionTimeoutMax,
		lease:       DefaultLeaseDuration,
		place:       func(string) string { return "" },
		retiring:    func(string) bool { return false },
		replicas:    table.New[ID, replicaRow](),
		progress:    table.New[progressKey, progressRow](),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// HostOption sets what a hosted replica starts from.
type HostOption func(*replicaRow)

// WithPersistedState restores what the disk holds of the replica.
func WithPersistedState(term uint64, vote ReplicaID, snapshot Snapshot, entries []Entry) HostOption {
	return func(r *replicaRow) {
		r.term, r.vote = term, vote
		r.log = newLog(snapshot, entries)
		r.commit, r.durable = snapshot.index, r.log.lastIndex()
	}
}

// WithPreferredLeader names the instance that should lead the ledger when it can.
func WithPreferredLeader(instance string) HostOption {
	return func(r *replicaRow) { r.preferredLeader = instance }
}

// WithJoinOnly makes a replica join an existing ledger and never found one.
func WithJoinOnly() HostOption { return func(r *replicaRow) { r.joins = true } }

// SetContactPoints names further instances to ask for a ledger.
func (w *World) SetContactPoints(ledger ID, instances []string) {
	if row := w.replicas.Get(ledger); row != nil {
		row.contactPoints = instances
	}
}

// Host adds a replica. configured lists the instances that form a new ledger.
func (w *World) Host(now time.Time, ledger ID, self ReplicaID, configured []string, options ...HostOption) {
	row := replicaRow{id: ledger, self: self, configured: configured, hellos: make(map[string]helloRow)}
	for _, option := range options {
		option(&row)
	}
	row.role = RoleUninitialized
	if row.formed() {
		row.role = RoleFollower
	}
	// A restarted replica may have confirmed a lease just before, so it waits
	// out that lease before it votes.
	row.heardLeader = now
	row.electionDue = now.Add(w.electionTimeout())
	w.replicas.Put(ledger, row)
}

// electionTimeout draws a timeout from the configured range.
func (w *World) electionTimeout() time.Duration {
	spread := int64(w.electionMax - w.electionMin)
	return w.electionMin + time.Duration(w.random.Int64N(max(spread, 1)))
}

// Propose appends a command at the leader and returns its position.
func (w *World) Propose(ledger ID, payload []byte) (term, index uint64, err error) {
	row := w.replicas.Get(ledger)
	if row == nil {
		return 0, 0, ErrNotHosted
	}
	if row.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	entry := w.appendOwn(row, Entry{kind: EntryCommand, payload: payload})
	return entry.term, entry.index, nil
}

// appendOwn appends an entry of the leader's own.
func (w *World) appendOwn(row *replicaRow, entry Entry) Entry {
	entry.term, entry.index = row.term, row.log.lastIndex()+1
	row.log.add(entry)
	w.save(row, NewEntryRecord(row.id, row.self, entry))
	return entry
}

// save queues a record for the disk.
func (w *World) save(row *replicaRow, record Record) {
	w.records = append(w.records, record)
	switch record.kind {
	case RecordEntry:
		w.noteSync(row.id, record.entry.index, record.entry.term)
	case RecordSnapshot:
		if record.snapshot.index > row.durable && record.snapshot.index == row.log.lastIndex() {
			w.noteSync(row.id, record.snapshot.index, record.snapshot.term)
		}
	}
}

// noteSync remembers the newest entry of a ledger in the batch being built.
func (w *World) noteSync(ledger ID, index, term uint64) {
	sequence := w.sequence + 1
	for i := len(w.syncs) - 1; i >= 0 && w.syncs[i].sequence == sequence; i-- {
		if w.syncs[i].ledger == ledger {
			w.syncs[i].index, w.syncs[i].term = index, term
			return
		}
	}
	w.syncs = append(w.syncs, syncRow{sequence: sequence, ledger: ledger, index: index, term: term})
}

// saveVote queues the replica's term and vote.
func (w *World) saveVote(row *replicaRow) {
	w.save(row, NewVoteRecord(row.id, row.self, row.term, row.vote))
}

// MarkDurable reports that all record batches up to sequence are durable.
func (w *World) MarkDurable(sequence uint64) {
	w.synced = max(w.synced, sequence)
	rest := w.syncs[:0]
	for _, s := range w.syncs {
		if s.sequence > sequence {
			rest = append(rest, s)
			continue
		}
		row := w.replicas.Get(s.ledger)
		if row != nil && s.index > row.durable && row.log.termAt(s.index) == s.term {
			row.durable = s.index
		}
	}
	w.syncs = rest
	held := w.held[:0]
	for _, h := range w.held {
		if h.sequence > sequence {
			held = append(held, h)
			continue
		}
		w.messages = append(w.messages, h.message)
	}
	w.held = held
}

// Output takes what the tick produced. records must be made durable in order
// and confirmed with Stable(sequence); sequence is zero without records.
func (w *World) Output() (messages []Message, records []Record, sequence uint64, committed []Committed) {
	messages, records, committed = w.messages, w.records, w.committed
	w.messages, w.records, w.committed = nil, nil, nil
	if len(records) > 0 {
		w.sequence++
		sequence = w.sequence
	}
	return messages, records, sequence, committed
}

// Run runs the systems of one tick.
func (w *World) Run(now time.Time) {
	w.beat = !now.Before(w.beatDue)
	if w.beat {
		w.beatDue = now.Add(w.heartbeat)
	}
	w.replicas.Each(func(_ ID, row *replicaRow) {
		w.form(now, row)
		w.elect(now, row)
		w.confirmLease(now, row)
		w.repair(now, row)
		w.transfer(now, row)
		w.advanceCommit(row)
		w.replicate(now, row)
		w.release(row)
	})
}

// Next returns the earliest deadline of any replica.
func (w *World) Next(now time.Time) time.Time {
	next := w.beatDue
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
