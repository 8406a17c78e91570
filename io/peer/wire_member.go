package peer

import (
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/io/record"
)

// instance is the wire format of member.Instance.
type instance struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	State       uint8
}

// backend is the wire format of member.Backend.
type backend struct {
	ID          string   `cbor:"1,keyasint"`
	Address     string   `cbor:"2,keyasint"`
	DataCentre  string   `cbor:"3,keyasint"`
	Protocol    uint8    `cbor:"4,keyasint"`
	Slots       int      `cbor:"5,keyasint"`
	Services    []string `cbor:"6,keyasint,omitempty"`
	Models      []string `cbor:"7,keyasint,omitempty"`
	Fences      bool     `cbor:"8,keyasint,omitempty"`
	Incarnation uint64   `cbor:"9,keyasint"`
	Sequence    uint64   `cbor:"10,keyasint"`
	Leaving     bool     `cbor:"11,keyasint,omitempty"`
	Gone        bool     `cbor:"12,keyasint,omitempty"`
	Running     int      `cbor:"13,keyasint,omitempty"`
	Queued      int      `cbor:"14,keyasint,omitempty"`
}

// memberMessage is the wire format of member.Message.
type memberMessage struct {
	Kind      uint8      `cbor:"1,keyasint"`
	Subject   string     `cbor:"2,keyasint,omitempty"`
	Number    uint64     `cbor:"3,keyasint,omitempty"`
	Digests   []uint64   `cbor:"4,keyasint,omitempty"`
	Buckets   []int      `cbor:"8,keyasint,omitempty"`
	Reply     bool       `cbor:"5,keyasint,omitempty"`
	Instances []instance `cbor:"6,keyasint,omitempty"`
	Backends  []backend  `cbor:"7,keyasint,omitempty"`
}

// toMember returns the wire format of a membership message.
func toMember(m member.Message) memberMessage {
	wire := memberMessage{Kind: uint8(m.Kind()), Subject: m.Subject(), Number: m.Number(), Digests: m.Digests(), Buckets: m.Buckets(), Reply: m.Reply()}
	for _, i := range m.Instances() {
		wire.Instances = append(wire.Instances, instance{Name: i.Name(), Address: i.Address(),
			DataCentre: i.DataCentre(), Incarnation: i.Incarnation(), State: uint8(i.State())})
	}
	for _, b := range m.Backends() {
		wire.Backends = append(wire.Backends, backend{ID: b.ID(), Address: b.Address(), DataCentre: b.DataCentre(),
			Protocol: uint8(b.Protocol()), Slots: b.Slots(), Services: b.Services(), Models: b.Models(), Fences: b.SupportsFencing(),
			Incarnation: b.Incarnation(), Sequence: b.Sequence(), Leaving: b.Leaving(), Gone: b.Gone(),
			Running: b.Load().Running(), Queued: b.Load().Queued()})
	}
	return wire
}

// message returns the membership message.
func (m memberMessage) message(from, to string) member.Message {
	var instances []member.Instance
	for _, i := range m.Instances {
		instances = append(instances, member.NewInstance(i.Name, i.Address, i.DataCentre, i.Incarnation, member.State(i.State)))
	}
	var backends []member.Backend
	for _, b := range m.Backends {
		backends = append(backends, member.NewBackend(b.ID, b.Address, b.DataCentre, member.Protocol(b.Protocol),
			b.Slots, b.Incarnation, b.Sequence, member.WithServices(b.Services...), member.WithModels(b.Models...),
			member.WithFencing(b.Fences), member.WithLeaving(b.Leaving), member.WithGone(b.Gone),
			member.WithLoad(member.NewLoad(b.Running, b.Queued))))
	}
	return member.NewMessage(member.MessageKind(m.Kind), from, to, member.WithProbe(m.Number, m.Subject),
		member.WithDigests(m.Digests), member.WithBuckets(m.Buckets), member.WithReply(m.Reply), member.WithRows(instances, backends))
}

// entry is the wire format of ledger.Entry.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Term    uint64
	Index   uint64
	Kind    uint8
	Payload []byte
	Members []record.Member
}

// snapshot is the wire format of ledger.Snapshot.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Index   uint64
	Term    uint64
	Members []record.Member
	Data    []byte
}

// ledgerMessage is the wire format of ledger.Message.
type ledgerMessage struct {
	Kind               uint8     `cbor:"1,keyasint"`
	Ledger             string    `cbor:"2,keyasint"`
	From               string    `cbor:"3,keyasint"`
	To                 string    `cbor:"4,keyasint,omitempty"`
	Term               uint64    `cbor:"5,keyasint,omitempty"`
	Index              uint64    `cbor:"6,keyasint,omitempty"`
	LogTerm            uint64    `cbor:"7,keyasint,omitempty"`
	Commit             uint64    `cbor:"8,keyasint,omitempty"`
	Round              uint64    `cbor:"9,keyasint,omitempty"`
	Reject             bool      `cbor:"10,keyasint,omitempty"`
	LeadershipTransfer bool      `cbor:"11,keyasint,omitempty"`
	Entries            []entry   `cbor:"12,keyasint,omitempty"`
	Snapshot           *snapshot `cbor:"13,keyasint,omitempty"`
	Part               int       `cbor:"14,keyasint,omitempty"` // of the snapshot
	Parts              int       `cbor:"15,keyasint,omitempty"`
}

// toLedger returns the wire format of a message between replicas.
func toLedger(m ledger.Message) ledgerMessage {
	wire := ledgerMessage{Kind: uint8(m.Kind()), Ledger: string(m.Ledger()), From: string(m.From()), To: string(m.To()),
		Term: m.Term(), Index: m.Index(), LogTerm: m.LogTerm(), Commit: m.Commit(), Round: m.Round(),
		Reject: m.Reject(), LeadershipTransfer: m.LeadershipTransfer()}
	for _, e := range m.Entries() {
		wire.Entries = append(wire.Entries, entry{Term: e.Term(), Index: e.Index(), Kind: uint8(e.Kind()),
			Payload: e.Payload(), Members: record.ToMembers(e.Members())})
	}
	if s := m.Snapshot(); s.Index() > 0 {
		wire.Snapshot = &snapshot{Index: s.Index(), Term: s.Term(), Members: record.ToMembers(s.Members()), Data: s.Data()}
		wire.Part, wire.Parts = s.Part(), s.Parts()
	}
	return wire
}

// message returns the message between replicas.
func (m ledgerMessage) message(from, to string) ledger.Message {
	var entries []ledger.Entry
	for _, e := range m.Entries {
		entries = append(entries, ledger.NewEntry(e.Term, e.Index, ledger.EntryKind(e.Kind), e.Payload, record.Members(e.Members)))
	}
	options := []ledger.MessageOption{ledger.WithRoute(from, to), ledger.WithPosition(m.Index, m.LogTerm),
		ledger.WithCommit(m.Commit), ledger.WithRound(m.Round), ledger.WithReject(m.Reject),
		ledger.WithLeadershipTransfer(m.LeadershipTransfer), ledger.WithEntries(entries)}
	if s := m.Snapshot; s != nil {
		options = append(options, ledger.WithSnapshot(ledger.NewSnapshotPart(s.Index, s.Term, record.Members(s.Members), m.Part, m.Parts, s.Data)))
	}
	return ledger.NewMessage(ledger.MessageKind(m.Kind), ledger.ID(m.Ledger), ledger.ReplicaID(m.From), ledger.ReplicaID(m.To), m.Term, options...)
}
