package config

import "time"

// Change is a command of the configuration ledger: an operator's change of one
// object, based on the revision of the object that the operator saw.
type Change struct {
	operation string
	operator  string
	ref       Ref
	spec      Spec
	remove    bool
	basedOn   uint64
	at        time.Time
}

// NewChange returns a change that sets an object. basedOn is the object's
// revision as last seen, zero for a new object. The operation id makes a
// resent change return the first answer.
func NewChange(operation, operator string, ref Ref, spec Spec, basedOn uint64, at time.Time) Change {
	return Change{operation: operation, operator: operator, ref: ref, spec: spec, basedOn: basedOn, at: at}
}

// NewRemoval returns a change that deletes an object.
func NewRemoval(operation, operator string, ref Ref, basedOn uint64, at time.Time) Change {
	return Change{operation: operation, operator: operator, ref: ref, remove: true, basedOn: basedOn, at: at}
}

// Operation returns the operation id.
func (c Change) Operation() string { return c.operation }

// Operator returns who made the change.
func (c Change) Operator() string { return c.operator }

// Ref returns the changed object.
func (c Change) Ref() Ref { return c.ref }

// Spec returns the new settings.
func (c Change) Spec() Spec { return c.spec }

// Remove reports whether the object is deleted.
func (c Change) Remove() bool { return c.remove }

// BasedOn returns the object's revision as the operator saw it.
func (c Change) BasedOn() uint64 { return c.basedOn }

// At returns the wall time of the change.
func (c Change) At() time.Time { return c.at }

// Verdict is the answer to a change.
type Verdict struct {
	applied  bool
	revision uint64
	reason   string
}

// NewVerdict returns an answer. revision is the new revision of an applied
// change, else the object's current one.
func NewVerdict(applied bool, revision uint64, reason string) Verdict {
	return Verdict{applied: applied, revision: revision, reason: reason}
}

// Applied reports whether the change took effect.
func (v Verdict) Applied() bool { return v.applied }

// Revision returns the new or current revision.
func (v Verdict) Revision() uint64 { return v.revision }

// Reason explains a refused change.
func (v Verdict) Reason() string { return v.reason }

// Event is one applied change in the history.
type Event struct {
	object   Object
	operator string
	at       time.Time
}

// NewEvent returns a history event.
func NewEvent(object Object, operator string, at time.Time) Event {
	return Event{object: object, operator: operator, at: at}
}

// Object returns the object after the change.
func (e Event) Object() Object { return e.object }

// Operator returns who made the change.
func (e Event) Operator() string { return e.operator }

// At returns when the change was issued.
func (e Event) At() time.Time { return e.at }
