package ledger

import "time"

// Role is the part that a replica plays in its ledger.
type Role uint8

// Roles.
const (
	RoleUninitialized Role = iota + 1 // has no member list yet
	RoleFollower                      // follows a leader or waits for one
	RolePreCandidate                  // asks whether an election could be won
	RoleCandidate                     // asks for votes
	RoleLeader                        // orders the entries
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
	initialInstances []string // founders, by instance
	contactPoints    []string // other instances to ask for the ledger
	joinOnly         bool     // never founds the ledger itself
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
	snapshotReleased bool

	votes              map[ReplicaID]bool
	leadershipTransfer bool
	electionDue        time.Time
	lastHeardLeader    time.Time
	lastLeaderContact  time.Time // when a leader was heard, or a quorum confirmed this one
	transferDue        time.Time

	round          uint64
	confirmedRound uint64 // newest round that a quorum answered
	roundRequested bool   // a round must be opened in this tick
	rounds         []roundRow
	leaseUntil     time.Time
	termStart      uint64

	discoveryDue time.Time
	discoveries  map[string]discoveryRow
}

// roundRow remembers when a heartbeat round was sent.
type roundRow struct {
	round  uint64
	sentAt time.Time
}

// discoveryRow is the last answer of a configured instance to MessageDiscover.
type discoveryRow struct {
	replica     ReplicaID
	initialized bool
	receivedAt  time.Time
}

// progressKey finds what a leader knows of one other replica.
type progressKey struct {
	ledger  ID
	replica ReplicaID
}

// progressRow is a leader's view of one other replica.
type progressRow struct {
	instance    string
	nextIndex   uint64
	matchIndex  uint64
	ackedRound  uint64
	sentCommit  uint64 // commit index that was sent
	ackedAt     time.Time
	snapshotDue time.Time
	probing     bool      // refused the last entries; one message at a time is sent
	probeDue    time.Time // of the next message while probing
}

// initialized reports whether the replica knows a member list.
func (r *replicaRow) initialized() bool {
	members, _ := r.log.members()
	return len(members) > 0
}

// member returns the member entry of a replica in the newest member list.
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

// hasQuorum reports whether a majority of the voters satisfies agrees.
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
