// Package member tracks the instances of the system and the backend servers
// that announced themselves. Instances probe each other at random and spread
// changes as rumors on the probes.
//
// Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002.
package member

// State is the state of an instance as seen by other instances.
type State uint8

// States. Within an incarnation, a later state overrides an earlier one.
const (
	StateAlive   State = iota + 1
	StateSuspect       // missed probes, may still refute the suspicion
	StateDead          // did not refute the suspicion in time
	StateLeft          // was shut down
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Instance is what an instance knows about one instance.
type Instance struct {
	name        string
	address     string // peer address, IP and port
	dataCentre  string
	incarnation uint64
	state       State
}

// NewInstance returns an instance. A restarted instance must use a higher
// incarnation.
func NewInstance(name, address, dataCentre string, incarnation uint64, state State) Instance {
	return Instance{name: name, address: address, dataCentre: dataCentre, incarnation: incarnation, state: state}
}

// Name returns the instance's name.
func (i Instance) Name() string { return i.name }

// Address returns the peer address.
func (i Instance) Address() string { return i.address }

// DataCentre returns the instance's data centre.
func (i Instance) DataCentre() string { return i.dataCentre }

// Incarnation returns the incarnation; each restart and each refutation
// increases it.
func (i Instance) Incarnation() uint64 { return i.incarnation }

// State returns the instance's state.
func (i Instance) State() State { return i.state }

// Reachable reports whether other instances should send messages to the
// instance.
func (i Instance) Reachable() bool { return i.state == StateAlive || i.state == StateSuspect }

// newer reports whether i overrides old.
func (i Instance) newer(old Instance) bool {
	if i.incarnation != old.incarnation {
		return i.incarnation > old.incarnation
	}
	return i.state > old.state
}
