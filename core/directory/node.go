// Package directory keeps the list of instances and backend servers of a
// deployment that has control instances. Every instance registers with a control
// instance and receives updates from it; control instances exchange updates with
// each other.
package directory

// Role is the role of an instance.
type Role uint8

// Roles of instances.
const (
	RoleEntry   Role = iota + 1 // serves callers
	RoleControl                 // serves operators and receives announcements
	RoleStore                   // stores batch jobs
)

// String returns the role's name for logs.
func (r Role) String() string {
	names := [...]string{"unknown", "entry", "control", "store"}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// Instance is the description of an instance by itself.
type Instance struct {
	address       string // peer address, identifies the instance
	name          string
	dataCentre    string
	role          Role
	incarnation   uint64
	revision      uint64
	replica       string
	uninitialized bool
	term          uint64
}

// InstanceOption sets optional fields of a node.
type InstanceOption func(*Instance)

// WithReplica sets the replica of the node's ledger and whether it is
// uninitialized, that is, has no members yet.
func WithReplica(replica string, uninitialized bool) InstanceOption {
	return func(n *Instance) { n.replica, n.uninitialized = replica, uninitialized }
}

// WithRevision sets the number of the node's description within its incarnation.
func WithRevision(revision uint64) InstanceOption { return func(n *Instance) { n.revision = revision } }

// WithTerm sets the term in which the node is the leader of its ledger, 0 if it is
// not the leader.
func WithTerm(term uint64) InstanceOption { return func(n *Instance) { n.term = term } }

// NewInstance returns a node. The incarnation must grow with each start of the
// instance.
func NewInstance(address, name, dataCentre string, role Role, incarnation uint64, options ...InstanceOption) Instance {
	n := Instance{address: address, name: name, dataCentre: dataCentre, role: role, incarnation: incarnation}
	for _, option := range options {
		option(&n)
	}
	return n
}

// Address returns the peer address, which identifies the instance.
func (n Instance) Address() string { return n.address }

// Name returns the instance's name for operators.
func (n Instance) Name() string { return n.name }

// DataCentre returns the instance's data centre.
func (n Instance) DataCentre() string { return n.dataCentre }

// Role returns the instance's role.
func (n Instance) Role() Role { return n.role }

// Incarnation returns the number that grows with each start of the instance.
func (n Instance) Incarnation() uint64 { return n.incarnation }

// Revision returns the number of the description within the incarnation.
func (n Instance) Revision() uint64 { return n.revision }

// Replica returns the replica of the node's ledger.
func (n Instance) Replica() string { return n.replica }

// Uninitialized reports whether the replica has no members yet.
func (n Instance) Uninitialized() bool { return n.uninitialized }

// Term returns the term in which the node is the leader of its ledger, 0 if it is
// not the leader.
func (n Instance) Term() uint64 { return n.term }

// newer reports whether n replaces other, which has the same address.
func (n Instance) newer(other Instance) bool {
	if n.incarnation != other.incarnation {
		return n.incarnation > other.incarnation
	}
	return n.revision > other.revision
}
