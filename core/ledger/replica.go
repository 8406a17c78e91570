package ledger

import "time"

// Role is the Raft role of a replica in its ledger.
type Role uint8

// Roles.
const (
	RoleUninitialized Role = iota + 1 // has no member list yet
	RoleFollower                      // follows a leader or waits for one
	RolePreCandidate                  // asks voters whether it would win an election
	RoleCandidate                     // asks for votes
	RoleLeader                        // decides the order of the entries
)

// String returns the role's name for status output.
func (r Role) String() string {
	names := [...]string{"unknown", "fresh", "follower", "pre-candidate", "candidate", "leader"}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// replicaRow is the state of one hosted replica.
type replicaRow struct {
	id               ID
	self             ReplicaID
	initialInstances []string // instances that bootstrap the ledger
	contactPoints    []string // further instances to ask for the ledger
	joinOnly         bool     // never bootstraps the ledger
	preferredLeader  string

	role             Role
	term             uint64
	vote             ReplicaID
	leader           ReplicaID
	leaderInstance   string
	log              entryLog
	commit           uint64
	applied          uint64
	durableIndex     uint64
	snapshotReleased bool           // the log's snapshot was passed to the state machine if it is newer
	loadedParts      [][]byte       // of the log's snapshot, until they are released
	compaction       *compactionRow // nil if no snapshot is being written
	incoming         incomingRow
	transfer         *transferRow // nil if no snapshot is being sent

	votes              map[ReplicaID]bool
	leadershipTransfer bool
	electionDue        time.Time
	lastHeardLeader    time.Time
	lastLeaderContact  time.Time // last time a leader sent a message or a quorum confirmed this leader
	transferDue        time.Time

	round          uint64
	confirmedRound uint64 // newest round that a quorum confirmed
	roundRequested bool   // replicate starts a round when it runs next
	rounds         []roundRow
	leaseUntil     time.Time
	termStart      uint64 // index of the first entry of this leader's term

	discoveryDue time.Time
	discoveries  map[string]discoveryRow
}

// roundRow holds the time at which a heartbeat round was sent.
type roundRow struct {
	round  uint64
	sentAt time.Time
}

// discoveryRow is the last reply of an instance to MessageDiscover.
type discoveryRow struct {
	replica     ReplicaID
	initialized bool
	receivedAt  time.Time
}

// progressKey is the key of a leader's progress row for another replica.
type progressKey struct {
	ledger  ID
	replica ReplicaID
}

// progressRow is a leader's view of the replication progress of another
// replica.
type progressRow struct {
	instance    string
	nextIndex   uint64
	matchIndex  uint64
	ackedRound  uint64
	sentCommit  uint64 // last commit index sent to the replica
	ackedAt     time.Time
	snapshotDue time.Time
	probing     bool      // the replica rejected entries; the leader sends one message at a time
	probeDue    time.Time // time of the next message while probing
}

// initialized reports whether the replica has a member list.
func (r *replicaRow) initialized() bool {
	members, _ := r.log.members()
	return len(members) > 0
}

// member returns a replica's entry in the newest member list.
func (r *replicaRow) member(replica ReplicaID) (Member, bool) {
	members, _ := r.log.members()
	for _, m := range members {
		if m.replica == replica {
			return m, true
		}
	}
	return Member{}, false
}

// isVoter reports whether this replica counts for quorums.
func (r *replicaRow) isVoter() bool {
	m, ok := r.member(r.self)
	return ok && m.voter
}

// voterCount returns the number of voters.
func (r *replicaRow) voterCount() int {
	members, _ := r.log.members()
	count := 0
	for _, m := range members {
		if m.voter {
			count++
		}
	}
	return count
}

// hasQuorum reports whether agrees returns true for a majority of the voters.
func (r *replicaRow) hasQuorum(agrees func(Member) bool) bool {
	members, _ := r.log.members()
	voters, count := 0, 0
	for _, m := range members {
		if !m.voter {
			continue
		}
		voters++
		if agrees(m) {
			count++
		}
	}
	return count > voters/2
}
