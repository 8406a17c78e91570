package ledger

// RecordKind is the type of a disk record's content.
type RecordKind uint8

// Record kinds.
const (
	RecordEntry    RecordKind = iota + 1 // an entry; it replaces all entries at and after its index
	RecordVote                           // the current term and the vote in it
	RecordSnapshot                       // a snapshot; it replaces all entries up to its index
)

// IsValid reports whether k is the kind of a record.
func (k RecordKind) IsValid() bool { return k >= RecordEntry && k <= RecordSnapshot }

// Record is one durable change of a replica.
type Record struct {
	kind     RecordKind
	ledger   ID
	replica  ReplicaID
	term     uint64
	vote     ReplicaID
	entry    Entry
	snapshot Snapshot
}

// NewEntryRecord returns a record that stores an entry.
func NewEntryRecord(ledger ID, replica ReplicaID, entry Entry) Record {
	return Record{kind: RecordEntry, ledger: ledger, replica: replica, entry: entry}
}

// NewVoteRecord returns a record that stores a term and the vote in it.
func NewVoteRecord(ledger ID, replica ReplicaID, term uint64, vote ReplicaID) Record {
	return Record{kind: RecordVote, ledger: ledger, replica: replica, term: term, vote: vote}
}

// NewSnapshotRecord returns a record that stores a snapshot.
func NewSnapshotRecord(ledger ID, replica ReplicaID, snapshot Snapshot) Record {
	return Record{kind: RecordSnapshot, ledger: ledger, replica: replica, snapshot: snapshot}
}

// Kind returns the record's kind.
func (r Record) Kind() RecordKind { return r.kind }

// Ledger returns the ledger's id.
func (r Record) Ledger() ID { return r.ledger }

// Replica returns the replica that wrote the record.
func (r Record) Replica() ReplicaID { return r.replica }

// Term returns the term of a RecordVote.
func (r Record) Term() uint64 { return r.term }

// Vote returns the vote of a RecordVote; it is empty if the replica has not
// voted in the term.
func (r Record) Vote() ReplicaID { return r.vote }

// Entry returns the entry of a RecordEntry.
func (r Record) Entry() Entry { return r.entry }

// Snapshot returns the snapshot of a RecordSnapshot.
func (r Record) Snapshot() Snapshot { return r.snapshot }
