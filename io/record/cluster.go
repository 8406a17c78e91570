package record

import (
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/registry"
	"papayaquay/core/usage"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// NewClusterCodec returns the functions that a cluster world stores and sends
// with.
func NewClusterCodec() cluster.Codec {
	return cluster.Codec{
		Registry:      cluster.NewEncoding(encodeRegistry, decodeRegistry),
		RegistryState: cluster.NewEncoding(encodeRegistryState, decodeRegistryState),
		Batch:         cluster.NewEncoding(encodeBatch, decodeBatch),
		BatchSnapshot: cluster.NewEncoding(encodeBatchState, decodeBatchState),
		PollRequest:   cluster.NewEncoding(encodeFollowing, decodeFollowing),
		PollResponse:  cluster.NewEncoding(encodeNews, decodeNews),
		UsageRequest:  cluster.NewEncoding(encodeEnquiry, decodeEnquiry),
		LoadUpdate:    cluster.NewEncoding(encodeSums, decodeSums),
		Query:         cluster.NewEncoding(encodeQuery, decodeQuery),
		Page:          cluster.NewEncoding(encodePage, decodePage),
	}
}

// document is the wire form of registry.Document.
type document struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Content []byte
}

// toDocument returns the wire form of a document.
func toDocument(d registry.Document) document {
	return document{Number: d.Number(), Content: d.Content()}
}

// document returns the document.
func (d document) document() registry.Document { return registry.NewDocument(d.Number, d.Content) }

// departure is the wire form of registry.LeavingBackend.
type departure struct {
	_           struct{} `cbor:",toarray"`
	Backend     string
	Incarnation uint64
}

// registryCommand is the wire form of registry.Command.
type registryCommand struct {
	_         struct{} `cbor:",toarray"`
	Document  document
	Founders  []Member
	Departure departure
}

// encodeRegistry encodes a command of the control ledger.
func encodeRegistry(c registry.Command) ([]byte, error) {
	wire := registryCommand{Document: toDocument(c.Document()), Founders: ToMembers(c.InitialMembers()),
		Departure: departure{Backend: c.Leaving().Backend(), Incarnation: c.Leaving().Incarnation()}}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode registry command")
}

// decodeRegistry decodes a command of the control ledger.
func decodeRegistry(data []byte) (registry.Command, error) {
	var wire registryCommand
	if err := Decode(data, &wire); err != nil {
		return registry.Command{}, err
	}
	switch {
	case wire.Document.Number > 0:
		return registry.Configure(wire.Document.document()), nil
	case len(wire.Founders) > 0:
		return registry.SetInitialMembers(Members(wire.Founders)), nil
	}
	return registry.Leave(registry.NewLeavingBackend(wire.Departure.Backend, wire.Departure.Incarnation)), nil
}

// registryState is the wire form of registry.State.
type registryState struct {
	_        struct{} `cbor:",toarray"`
	Document document
	Founders []Member
	Leaving  []departure
}

// encodeRegistryState encodes a snapshot of the control ledger.
func encodeRegistryState(s *registry.State) ([]byte, error) {
	wire := registryState{Document: toDocument(s.Document()), Founders: ToMembers(s.InitialMembers())}
	for _, d := range s.Leaving() {
		wire.Leaving = append(wire.Leaving, departure{Backend: d.Backend(), Incarnation: d.Incarnation()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode registry state")
}

// decodeRegistryState decodes a snapshot of the control ledger.
func decodeRegistryState(data []byte) (*registry.State, error) {
	var wire registryState
	if err := Decode(data, &wire); err != nil {
		return nil, err
	}
	var leaving []registry.LeavingBackend
	for _, d := range wire.Leaving {
		leaving = append(leaving, registry.NewLeavingBackend(d.Backend, d.Incarnation))
	}
	return registry.Restore(wire.Document.document(), Members(wire.Founders), leaving), nil
}

// node is the wire form of directory.Node.
type node struct {
	_           struct{} `cbor:",toarray"`
	Address     string
	Name        string
	DataCentre  string
	Kind        uint8
	Incarnation uint64
	Revision    uint64
	Replica     string
	Fresh       bool
	Term        uint64
}

// toNode returns the wire form of an instance.
func toNode(n directory.Node) node {
	return node{Address: n.Address(), Name: n.Name(), DataCentre: n.DataCentre(), Kind: uint8(n.Role()),
		Incarnation: n.Incarnation(), Revision: n.Revision(), Replica: n.Replica(), Fresh: n.Fresh(), Term: n.Term()}
}

// node returns the instance.
func (n node) node() directory.Node {
	return directory.NewNode(n.Address, n.Name, n.DataCentre, directory.Role(n.Kind), n.Incarnation,
		directory.WithRevision(n.Revision), directory.WithReplica(n.Replica, n.Fresh), directory.WithTerm(n.Term))
}

// server is the wire form of member.Backend.
type server struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Address     string
	DataCentre  string
	Slots       int
	Services    []string
	Incarnation uint64
	Sequence    uint64
	Leaving     bool
	Gone        bool
}

// toServer returns the wire form of a backend server.
func toServer(b member.Backend) server {
	return server{ID: b.ID(), Address: b.Address(), DataCentre: b.DataCentre(), Slots: b.Slots(), Services: b.Services(),
		Incarnation: b.Incarnation(), Sequence: b.Sequence(), Leaving: b.Leaving(), Gone: b.Gone()}
}

// server returns the backend server.
func (s server) server() member.Backend {
	return member.NewBackend(s.ID, s.Address, s.DataCentre, member.ProtocolEngine, s.Slots, s.Incarnation, s.Sequence,
		member.WithServices(s.Services...), member.WithLeaving(s.Leaving), member.WithGone(s.Gone))
}

// following is the wire form of cluster.PollRequest.
type following struct {
	_       struct{} `cbor:",toarray"`
	Node    node
	Epoch   uint64
	Version uint64
	Number  uint64
	Founded bool
}

// encodeFollowing encodes a poll.
func encodeFollowing(f cluster.PollRequest) ([]byte, error) {
	data, err := cbor.Marshal(following{Node: toNode(f.Node()), Epoch: f.Epoch(), Version: f.Version(),
		Number: f.ConfigNumber(), Founded: f.HasInitialMembers()})
	return data, errors.Wrap(err, "encode poll")
}

// decodeFollowing decodes a poll.
func decodeFollowing(data []byte) (cluster.PollRequest, error) {
	var wire following
	err := Decode(data, &wire)
	return cluster.NewPollRequest(wire.Node.node(), wire.Epoch, wire.Version, wire.Number, wire.Founded), err
}

// news is the wire form of cluster.PollResponse.
type news struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	Version  uint64
	Nodes    []node
	Servers  []server
	Silent   []string
	Whole    bool
	Document document
	Founders []Member
	AgeMS    int64
}

// encodeNews encodes the answer to a poll.
func encodeNews(n cluster.PollResponse) ([]byte, error) {
	u := n.Update()
	wire := news{Epoch: u.Epoch(), Version: u.Version(), Silent: u.Stale(), Whole: u.Full(), Document: toDocument(n.Document()), Founders: ToMembers(n.InitialMembers()),
		AgeMS: n.Staleness().Milliseconds()}
	for _, x := range u.Nodes() {
		wire.Nodes = append(wire.Nodes, toNode(x))
	}
	for _, b := range u.Backends() {
		wire.Servers = append(wire.Servers, toServer(b))
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode news")
}

// decodeNews decodes the answer to a poll.
func decodeNews(data []byte) (cluster.PollResponse, error) {
	var wire news
	if err := Decode(data, &wire); err != nil {
		return cluster.PollResponse{}, err
	}
	var nodes []directory.Node
	for _, n := range wire.Nodes {
		nodes = append(nodes, n.node())
	}
	var servers []member.Backend
	for _, s := range wire.Servers {
		servers = append(servers, s.server())
	}
	return cluster.NewPollResponse(directory.NewUpdate(wire.Epoch, wire.Version, nodes, servers,
		directory.WithStale(wire.Silent), directory.WithFull(wire.Whole)),
		wire.Document.document(), Members(wire.Founders), time.Duration(wire.AgeMS)*time.Millisecond), nil
}

// enquiry is the wire form of usage.SyncRequest.
type enquiry struct {
	_       struct{} `cbor:",toarray"`
	Running map[string]int
	Epoch   uint64
	Version uint64
}

// encodeEnquiry encodes an instance's load and what it heard of the sums.
func encodeEnquiry(e usage.SyncRequest) ([]byte, error) {
	data, err := cbor.Marshal(enquiry{Running: e.Report().Running(), Epoch: e.Cursor().Epoch(), Version: e.Cursor().Version()})
	return data, errors.Wrap(err, "encode enquiry")
}

// decodeEnquiry decodes an instance's load and what it heard of the sums.
func decodeEnquiry(data []byte) (usage.SyncRequest, error) {
	var wire enquiry
	err := Decode(data, &wire)
	return usage.NewSyncRequest(usage.NewReport(wire.Running), usage.NewCursor(wire.Epoch, wire.Version)), err
}

// sums is the wire form of cluster.LoadUpdate: online and batch by server.
type sums struct {
	_         struct{} `cbor:",toarray"`
	Reporters int
	Epoch     uint64
	Version   uint64
	Whole     bool
	Loads     map[string][2]int
}

// encodeSums encodes what changed of the load of all instances.
func encodeSums(s cluster.LoadUpdate) ([]byte, error) {
	c := s.Change()
	wire := sums{Reporters: s.Reporters(), Epoch: c.Cursor().Epoch(), Version: c.Cursor().Version(), Whole: c.Full(),
		Loads: make(map[string][2]int, len(c.Loads()))}
	for id, load := range c.Loads() {
		wire.Loads[id] = [2]int{load.Online(), load.Batch()}
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode sums")
}

// decodeSums decodes what changed of the load of all instances.
func decodeSums(data []byte) (cluster.LoadUpdate, error) {
	var wire sums
	if err := Decode(data, &wire); err != nil {
		return cluster.LoadUpdate{}, err
	}
	loads := make(map[string]usage.Load, len(wire.Loads))
	for id, counts := range wire.Loads {
		loads[id] = usage.NewLoad(counts[0], counts[1])
	}
	return cluster.NewLoadUpdate(wire.Reporters, usage.NewUpdate(usage.NewCursor(wire.Epoch, wire.Version), wire.Whole, loads)), nil
}
