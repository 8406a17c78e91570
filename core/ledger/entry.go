package ledger

// ID names a ledger.
type ID string

// ReplicaID names one copy of a ledger on one disk. An instance that lost its
// disk restarts with a new replica id.
type ReplicaID string

// EntryKind is the type of an entry's content.
type EntryKind uint8

// Entry kinds.
const (
	EntryCommand EntryKind = iota + 1 // command for the state machine
	EntryMembers                      // a new member list
	EntryNoOp                         // first entry of a leader in its term
)

// Entry is one position of a log.
type Entry struct {
	term    uint64
	index   uint64
	kind    EntryKind
	payload []byte
	members []Member
}

// NewEntry returns an entry. payload is used by EntryCommand and members by
// EntryMembers.
func NewEntry(term, index uint64, kind EntryKind, payload []byte, members []Member) Entry {
	return Entry{term: term, index: index, kind: kind, payload: payload, members: members}
}

// Term returns the term of the leader that created the entry.
func (e Entry) Term() uint64 { return e.term }

// Index returns the position in the log; the first position is 1.
func (e Entry) Index() uint64 { return e.index }

// Kind returns the entry's kind.
func (e Entry) Kind() EntryKind { return e.kind }

// Payload returns the encoded command.
func (e Entry) Payload() []byte { return e.payload }

// Members returns the member list of an EntryMembers.
func (e Entry) Members() []Member { return e.members }

// Member is one replica in a member list.
type Member struct {
	replica  ReplicaID
	instance string
	voter    bool
}

// NewMember returns a member. A member with voter false is a learner.
func NewMember(replica ReplicaID, instance string, voter bool) Member {
	return Member{replica: replica, instance: instance, voter: voter}
}

// Replica returns the replica id.
func (m Member) Replica() ReplicaID { return m.replica }

// Instance returns the name of the instance that holds the replica.
func (m Member) Instance() string { return m.instance }

// Voter reports whether the replica counts for quorums.
func (m Member) Voter() bool { return m.voter }

// Snapshot is the state of a ledger after it applied the entry at Index, or one part of
// that state.
type Snapshot struct {
	index   uint64
	term    uint64
	members []Member
	data    []byte
	part    int
	parts   int
}

// NewSnapshot returns a snapshot; data is the encoded state machine.
func NewSnapshot(index, term uint64, members []Member, data []byte) Snapshot {
	return Snapshot{index: index, term: term, members: members, data: data}
}

// NewSnapshotPart returns one part of a snapshot; part counts from 0 up to parts.
func NewSnapshotPart(index, term uint64, members []Member, part, parts int, data []byte) Snapshot {
	return Snapshot{index: index, term: term, members: members, data: data, part: part, parts: parts}
}

// Part returns the position of this part among the parts of the snapshot.
func (s Snapshot) Part() int { return s.part }

// Parts returns the number of parts; 0 and 1 mean that the snapshot is whole.
func (s Snapshot) Parts() int { return s.parts }

// IsLast reports whether the snapshot is complete with this part.
func (s Snapshot) IsLast() bool { return s.part+1 >= s.parts }

// withoutData returns the position of the snapshot in the log.
func (s Snapshot) withoutData() Snapshot {
	return Snapshot{index: s.index, term: s.term, members: s.members}
}

// Index returns the index of the last entry that the snapshot covers; zero
// means that there is no snapshot.
func (s Snapshot) Index() uint64 { return s.index }

// Term returns the term of the entry at Index.
func (s Snapshot) Term() uint64 { return s.term }

// Members returns the member list that applies at Index.
func (s Snapshot) Members() []Member { return s.members }

// Data returns the encoded state machine.
func (s Snapshot) Data() []byte { return s.data }
