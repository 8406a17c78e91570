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
	id              ID
	self            ReplicaID
	configured      []string // founders, by instance
	contactPoints   []string // other instances to ask for the ledger
	joins           bool     // never founds the ledger itself
	preferredLeader string

	role           Role
	term           uint64
	vote           ReplicaID
	leader         ReplicaID
	leaderInstance string
	log            entryLog
	commit         uint64
	applied        uint64
	durable        uint64
	restored       bool

	votes         map[ReplicaID]bool
	force         bool
	electionDue   time.Time
	heardLeader   time.Time
	leaderContact time.Time // when a leader was heard, or a quorum confirmed this one
	transferDue   time.Time

	round      uint64
	confirmed  uint64 // newest round that a quorum answered
	asked      bool   // a round must be opened in this tick
	rounds     []roundRow
	leaseUntil time.Time
	termStart  uint64

	helloDue time.Time
	hellos   map[string]helloRow
}

// roundRow remembers when a heartbeat round was sent.
type roundRow struct {
	round uint64
	sent  time.Time
}

// helloRow is the last answer of a configured instance to MessageDiscover.
type helloRow struct {
	replica ReplicaID
	formed  bool
	at      time.Time
}

// progressKey finds what a leader knows of one other replica.
type progressKey struct {
	ledger  ID
	replica ReplicaID
}

// progressRow is a leader's view of one other replica.
type progressRow struct {
	instance    string
	next        uint64
	match       uint64
	round       uint64
	told        uint64 // commit index that was sent
	ackedAt     time.Time
	snapshotDue time.Time
	probing     bool      // refused the last entries; one message at a time is sent
	probeDue    time.Time // of the next message while probing
}

// formed reports whether the replica knows a member list.
func (r *replicaRow) formed() bool {
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

// voters returns the number of voters.
func (r *replicaRow) voters() int {
	members, _ := r.log.members()
	count := 0
	for _, m := range members {
		if m.voter {
			count++
		}
	}
	return count
}

// quorum reports whether a majority of the voters satisfies agrees.
func (r *replicaRow) quorum(agrees func(Member) bool) bool {
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
