package record

import (
	"slices"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// node is the wire format of directory.Instance.
type node struct {
	_           struct{} `cbor:",toarray"`
	Address     string
	Name        string
	DataCentre  string
	Kind        uint8 // the directory.Role
	Incarnation uint64
	Revision    uint64
	Replica     string
	Fresh       bool // the replica is uninitialized
	Term        uint64
}

// toNode returns the wire format of an instance.
func toNode(n directory.Instance) node {
	return node{Address: n.Address(), Name: n.Name(), DataCentre: n.DataCentre(), Kind: uint8(n.Role()),
		Incarnation: n.Incarnation(), Revision: n.Revision(), Replica: n.Replica(), Fresh: n.Uninitialized(), Term: n.Term()}
}

// node returns the instance.
func (n node) node() directory.Instance {
	return directory.NewInstance(n.Address, n.Name, n.DataCentre, directory.Role(n.Kind), n.Incarnation,
		directory.WithRevision(n.Revision), directory.WithReplica(n.Replica, n.Fresh), directory.WithTerm(n.Term))
}

// backend is the wire format of member.Backend.
type backend struct {
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

// toBackend returns the wire format of a backend server.
func toBackend(b member.Backend) backend {
	return backend{ID: b.ID(), Address: b.Address(), DataCentre: b.DataCentre(), Slots: b.Slots(), Services: b.Services(),
		Incarnation: b.Incarnation(), Sequence: b.Sequence(), Leaving: b.Leaving(), Gone: b.Gone()}
}

// backend returns the backend server.
func (b backend) backend() member.Backend {
	return member.NewBackend(b.ID, b.Address, b.DataCentre, member.ProtocolEngine, b.Slots, b.Incarnation, b.Sequence,
		member.WithServices(b.Services...), member.WithLeaving(b.Leaving), member.WithGone(b.Gone))
}

// pollRequest is the wire format of cluster.PollRequest.
type pollRequest struct {
	_       struct{} `cbor:",toarray"`
	Node    node
	Epoch   uint64
	Version uint64
	Number  uint64 // number of the configuration document
	Founded bool   // the instance has the initial members of the jobs ledger
}

// partsPollRequest is the wire format of a cluster.PollRequest of an instance that fetches
// documents in parts. Instances of earlier versions send a pollRequest.
type partsPollRequest struct {
	_    struct{} `cbor:",toarray"`
	Poll pollRequest
}

// arrayOf1 is the first byte of an array of one element (RFC 8949, section 3).
const arrayOf1 = 0x81

// encodePollRequest encodes a poll request.
func encodePollRequest(r cluster.PollRequest) ([]byte, error) {
	wire := pollRequest{Node: toNode(r.Instance()), Epoch: r.Epoch(), Version: r.Version(),
		Number: r.ConfigNumber(), Founded: r.HasInitialMembers()}
	var message any = wire
	if r.FetchesDocuments() {
		message = partsPollRequest{Poll: wire}
	}
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode poll request")
}

// decodePollRequest decodes a poll request.
func decodePollRequest(data []byte) (cluster.PollRequest, error) {
	var message partsPollRequest
	var target any = &message.Poll
	fetchesDocuments := len(data) > 0 && data[0] == arrayOf1
	if fetchesDocuments {
		target = &message
	}
	err := Decode(data, target)
	wire := message.Poll
	request := cluster.NewPollRequest(wire.Node.node(), wire.Epoch, wire.Version, wire.Number, wire.Founded)
	if fetchesDocuments {
		request = request.WithFetchedDocuments()
	}
	return request, err
}

// pollResponse is the wire format of cluster.PollResponse.
type pollResponse struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	Version  uint64
	Nodes    []node
	Servers  []backend
	Silent   []string // ids of stale backend servers
	Whole    bool     // a full update
	Document document
	Founders []Member // initial members of the jobs ledger
	AgeMS    int64    // staleness in milliseconds
}

// versionedPollResponse is the wire format of a cluster.PollResponse with the software versions
// of its backend servers, in the same order. Instances of earlier versions understand a
// pollResponse only.
type versionedPollResponse struct {
	_        struct{} `cbor:",toarray"`
	Response pollResponse
	Versions []string
}

// encodePollResponse encodes a poll response.
func encodePollResponse(r cluster.PollResponse) ([]byte, error) {
	u := r.Update()
	wire := pollResponse{Epoch: u.Epoch(), Version: u.Version(), Silent: u.Stale(), Whole: u.Full(), Document: toDocument(r.Document()), Founders: ToMembers(r.InitialMembers()),
		AgeMS: r.Staleness().Milliseconds()}
	var versions []string
	for _, n := range u.Instances() {
		wire.Nodes = append(wire.Nodes, toNode(n))
	}
	for _, b := range u.Backends() {
		wire.Servers = append(wire.Servers, toBackend(b))
		versions = append(versions, b.Version())
	}
	var message any = wire
	if r.HasVersions() {
		message = versionedPollResponse{Response: wire, Versions: versions}
	}
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode poll response")
}

// decodePollResponse decodes a poll response. Instances and backend servers that can't be read are left out.
func decodePollResponse(data []byte) (cluster.PollResponse, error) {
	var message versionedPollResponse
	var target any = &message.Response
	hasVersions := len(data) > 0 && data[0] == arrayOf2
	if hasVersions {
		target = &message
	}
	var bad unreadable
	if err := bad.decode(data, target); err != nil {
		return cluster.PollResponse{}, err
	}
	wire := message.Response
	if hasVersions && len(message.Versions) != len(wire.Servers) {
		return cluster.PollResponse{}, errors.Newf("%d versions of %d servers", len(message.Versions), len(wire.Servers))
	}
	for _, m := range wire.Founders {
		if bad.holds("member", m.Replica, m.Instance) {
			return cluster.PollResponse{}, bad.cause // the others alone are another list
		}
	}
	var nodes []directory.Instance
	for _, n := range wire.Nodes {
		if !bad.holds("instance", n.Name, n.Address, n.DataCentre, n.Replica) {
			nodes = append(nodes, n.node())
		}
	}
	var backends []member.Backend
	for i, b := range wire.Servers {
		server := b.backend()
		if hasVersions {
			server = server.WithVersion(message.Versions[i])
		}
		if !bad.holds("backend server", append([]string{b.ID, b.Address, b.DataCentre, server.Version()}, b.Services...)...) {
			backends = append(backends, server)
		}
	}
	response := cluster.NewPollResponse(directory.NewUpdate(wire.Epoch, wire.Version, nodes, backends,
		directory.WithStale(slices.DeleteFunc(wire.Silent, isNoUTF8)), directory.WithFull(wire.Whole)),
		wire.Document.document(), Members(wire.Founders), time.Duration(wire.AgeMS)*time.Millisecond)
	if hasVersions {
		response = response.WithVersions()
	}
	return response, bad.err()
}
