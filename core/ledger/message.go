package ledger

// MessageKind is the purpose of a message between replicas.
type MessageKind uint8

// Message kinds.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageDiscover      // asks an instance whether its replica has a member list
	MessageDiscoverReply // answers MessageDiscover
	MessageJoin          // asks the leader to add a replica
	MessageTimeoutNow    // asks a replica to start an election immediately
	MessageSnapshotReply // answers a part of a snapshot; its snapshot is the part to send next
)

// Message is sent from one replica to another.
type Message struct {
	kind     MessageKind
	ledger   ID
	from     ReplicaID
	to       ReplicaID
	source   string // sending instance
	target   string // receiving instance
	term     uint64
	index    uint64
	logTerm  uint64
	commit   uint64
	round    uint64
	reject   bool
	transfer bool
	entries  []Entry
	snapshot Snapshot
}

// MessageOption sets optional fields of a message.
type MessageOption func(*Message)

// WithPosition sets the log position of the message: the last entry of a
// candidate, the entry before the appended ones, or the index that a reply
// confirms.
func WithPosition(index, logTerm uint64) MessageOption {
	return func(m *Message) { m.index, m.logTerm = index, logTerm }
}

// WithCommit sets the leader's commit index.
func WithCommit(commit uint64) MessageOption { return func(m *Message) { m.commit = commit } }

// WithRound sets the heartbeat round that a reply confirms.
func WithRound(round uint64) MessageOption { return func(m *Message) { m.round = round } }

// WithReject marks a negative reply.
func WithReject(reject bool) MessageOption { return func(m *Message) { m.reject = reject } }

// WithLeadershipTransfer marks a vote request that the leader caused by a
// leadership transfer.
func WithLeadershipTransfer(on bool) MessageOption { return func(m *Message) { m.transfer = on } }

// WithEntries attaches entries.
func WithEntries(entries []Entry) MessageOption { return func(m *Message) { m.entries = entries } }

// WithSnapshot attaches a snapshot.
func WithSnapshot(snapshot Snapshot) MessageOption {
	return func(m *Message) { m.snapshot = snapshot }
}

// WithRoute sets the sending and receiving instances.
func WithRoute(source, target string) MessageOption {
	return func(m *Message) { m.source, m.target = source, target }
}

// NewMessage returns a message of one ledger between two replicas.
func NewMessage(kind MessageKind, ledger ID, from, to ReplicaID, term uint64, options ...MessageOption) Message {
	m := Message{kind: kind, ledger: ledger, from: from, to: to, term: term}
	for _, option := range options {
		option(&m)
	}
	return m
}

// Kind returns the message's kind.
func (m Message) Kind() MessageKind { return m.kind }

// Ledger returns the ledger's id.
func (m Message) Ledger() ID { return m.ledger }

// From returns the sending replica.
func (m Message) From() ReplicaID { return m.from }

// To returns the receiving replica; empty in MessageDiscover and MessageJoin.
func (m Message) To() ReplicaID { return m.to }

// Source returns the sending instance.
func (m Message) Source() string { return m.source }

// Target returns the receiving instance.
func (m Message) Target() string { return m.target }

// Term returns the sender's term. In a pre-vote it is the term of the planned
// election.
func (m Message) Term() uint64 { return m.term }

// Index returns the log position that WithPosition set.
func (m Message) Index() uint64 { return m.index }

// LogTerm returns the term of the entry at Index.
func (m Message) LogTerm() uint64 { return m.logTerm }

// Commit returns the leader's commit index.
func (m Message) Commit() uint64 { return m.commit }

// Round returns the heartbeat round.
func (m Message) Round() uint64 { return m.round }

// Reject reports whether the message is a negative reply.
func (m Message) Reject() bool { return m.reject }

// LeadershipTransfer reports whether a leadership transfer caused the vote
// request.
func (m Message) LeadershipTransfer() bool { return m.transfer }

// Entries returns the appended entries.
func (m Message) Entries() []Entry { return m.entries }

// Snapshot returns the attached snapshot.
func (m Message) Snapshot() Snapshot { return m.snapshot }
