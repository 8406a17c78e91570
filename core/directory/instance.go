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

// Instance is the description that an instance gives of itself.
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

// InstanceOption sets optional fields of an instance's description.
type InstanceOption func(*Instance)

// WithReplica sets the instance's replica of its ledger and whether the replica is
// uninitialized, that is, has no members yet.
func WithReplica(replica string, uninitialized bool) InstanceOption {
	return func(i *Instance) { i.replica, i.uninitialized = replica, uninitialized }
}

// WithRevision sets the number of the description within the incarnation.
func WithRevision(revision uint64) InstanceOption { return func(i *Instance) { i.revision = revision } }

// WithTerm sets the term in which the instance is the leader of its ledger, 0 if
// it is not the leader.
func WithTerm(term uint64) InstanceOption { return func(i *Instance) { i.term = term } }

// NewInstance returns the description of an instance. The incarnation must grow
// with each start of the instance.
func NewInstance(address, name, dataCentre string, role Role, incarnation uint64, options ...InstanceOption) Instance {
	i := Instance{address: address, name: name, dataCentre: dataCentre, role: role, incarnation: incarnation}
	for _, option := range options {
		option(&i)
	}
	return i
}

// Address returns the peer address, which identifies the instance.
func (i Instance) Address() string { return i.address }

// Name returns the instance's name for operators.
func (i Instance) Name() string { return i.name }

// DataCentre returns the instance's data centre.
func (i Instance) DataCentre() string { return i.dataCentre }

// Role returns the instance's role.
func (i Instance) Role() Role { return i.role }

// Incarnation returns the number that grows with each start of the instance.
func (i Instance) Incarnation() uint64 { return i.incarnation }

// Revision returns the number of the description within the incarnation.
func (i Instance) Revision() uint64 { return i.revision }

// Replica returns the instance's replica of its ledger.
func (i Instance) Replica() string { return i.replica }

// Uninitialized reports whether the replica has no members yet.
func (i Instance) Uninitialized() bool { return i.uninitialized }

// Term returns the term in which the instance is the leader of its ledger, 0 if it
// is not the leader.
func (i Instance) Term() uint64 { return i.term }

// newer reports whether n replaces other, which has the same address.
func (i Instance) newer(other Instance) bool {
	if i.incarnation != other.incarnation {
		return i.incarnation > other.incarnation
	}
	return i.revision > other.revision
}
