// Package member tracks the instances of the system and the backend servers
// that announced themselves. Instances probe each other at random and spread
// changes as rumors on the probes.
//
// Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002.
package member

// State is how an instance is judged.
type State uint8

// States in the order in which they override each other within an incarnation.
const (
	StateAlive   State = iota + 1
	StateSuspect       // missed probes, may still refute
	StateDead          // did not refute in time
	StateLeft          // stopped as planned
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Instance is what is known of one instance.
type Instance struct {
	name        string
	address     string // peer address, IP and port
	dataCentre  string
	incarnation uint64
	state       State
}

// NewInstance returns an instance; a restart uses a higher incarnation.
func NewInstance(name, address, dataCentre string, incarnation uint64, state State) Instance {
	return Instance{name: name, address: address, dataCentre: dataCentre, incarnation: incarnation, state: state}
}

// Name returns the instance's name.
func (i Instance) Name() string { return i.name }

// Address returns the peer address.
func (i Instance) Address() string { return i.address }

// DataCentre returns the instance's data centre.
func (i Instance) DataCentre() string { return i.dataCentre }

// Incarnation returns the number that a restart or refutation raises.
func (i Instance) Incarnation() uint64 { return i.incarnation }

// State returns the judgement.
func (i Instance) State() State { return i.state }

// Reachable reports whether messages to the instance make sense.
func (i Instance) Reachable() bool { return i.state == StateAlive || i.state == StateSuspect }

// newer reports whether i overrides old.
func (i Instance) newer(old Instance) bool {
	if i.incarnation != old.incarnation {
		return i.incarnation > old.incarnation
	}
	return i.state > old.state
}
