// Package directory knows the instances and backend servers of a deployment
// that has control instances. Every instance tells a control instance who it
// is and takes the changes from there; control instances exchange theirs.
package directory

// Role is the role of an instance.
type Role uint8

// Kinds of instances.
const (
	RoleEntry   Role = iota + 1 // takes requests of callers
	RoleControl                 // takes calls of operators and announcements
	RoleStore                   // keeps batch jobs
)

// String returns the kind's name for logs.
func (k Role) String() string {
	names := [...]string{"unknown", "entry", "control", "store"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Node is one instance as it describes itself.
type Node struct {
	address     string // peer address, identifies the instance
	name        string
	dataCentre  string
	role        Role
	incarnation uint64
	revision    uint64
	replica     string
	fresh       bool
	term        uint64
}

// NodeOption sets optional fields of a node.
type NodeOption func(*Node)

// WithReplica sets the replica of the node's ledger and whether that has no
// members yet.
func WithReplica(replica string, fresh bool) NodeOption {
	return func(n *Node) { n.replica, n.fresh = replica, fresh }
}

// WithRevision numbers the descriptions that a node gives of itself in one
// incarnation.
func WithRevision(revision uint64) NodeOption { return func(n *Node) { n.revision = revision } }

// WithTerm sets the term in which the node leads its ledger, 0 for none.
func WithTerm(term uint64) NodeOption { return func(n *Node) { n.term = term } }

// NewNode returns an instance; incarnation grows with each start.
func NewNode(address, name, dataCentre string, kind Role, incarnation uint64, options ...NodeOption) Node {
	n := Node{address: address, name: name, dataCentre: dataCentre, role: kind, incarnation: incarnation}
	for _, option := range options {
		option(&n)
	}
	return n
}

// Address returns the peer address.
func (n Node) Address() string { return n.address }

// Name returns the name that operators use.
func (n Node) Name() string { return n.name }

// DataCentre returns the data centre.
func (n Node) DataCentre() string { return n.dataCentre }

// Role returns the role.
func (n Node) Role() Role { return n.role }

// Incarnation returns the number of the start.
func (n Node) Incarnation() uint64 { return n.incarnation }

// Revision returns the number of the description within the incarnation.
func (n Node) Revision() uint64 { return n.revision }

// Replica returns the replica of the node's ledger.
func (n Node) Replica() string { return n.replica }

// Fresh reports whether the replica has no members yet.
func (n Node) Fresh() bool { return n.fresh }

// Term returns the term in which the node leads its ledger, 0 for none.
func (n Node) Term() uint64 { return n.term }

// newer reports whether n replaces other, which has the same address.
func (n Node) newer(other Node) bool {
	if n.incarnation != other.incarnation {
		return n.incarnation > other.incarnation
	}
	return n.revision > other.revision
}
