package record

import "papayaquay/core/ledger"

// Member is the wire format of ledger.Member, on disk and between instances.
type Member struct {
	_        struct{} `cbor:",toarray"`
	Replica  string
	Instance string
	Voter    bool
}

// ToMembers returns the wire format of a member list.
func ToMembers(members []ledger.Member) []Member {
	var out []Member
	for _, m := range members {
		out = append(out, Member{Replica: string(m.Replica()), Instance: m.Instance(), Voter: m.Voter()})
	}
	return out
}

// Members converts a member list from its wire format.
func Members(members []Member) []ledger.Member {
	var out []ledger.Member
	for _, m := range members {
		out = append(out, ledger.NewMember(ledger.ReplicaID(m.Replica), m.Instance, m.Voter))
	}
	return out
}
