package config

import "time"

// Change is a command of the configuration ledger: an operator's change of one
// object, based on the revision of the object that the operator saw.
type Change struct {
	operation        string
	operator         string
	ref              Ref
	spec             Spec
	deletion         bool
	expectedRevision uint64
	at               time.Time
}

// NewChange returns a change that sets an object. expectedRevision is the object's
// revision as last seen, zero for a new object. The operation id makes a
// resent change return the first answer.
func NewChange(operation, operator string, ref Ref, spec Spec, basedOn uint64, at time.Time) Change {
	return Change{operation: operation, operator: operator, ref: ref, spec: spec, expectedRevision: basedOn, at: at}
}

// NewDeletion returns a change that deletes an object.
func NewDeletion(operation, operator string, ref Ref, basedOn uint64, at time.Time) Change {
	return Change{operation: operation, operator: operator, ref: ref, deletion: true, expectedRevision: basedOn, at: at}
}

// OperationResult returns the operation id.
func (c Change) Operation() string { return c.operation }

// Operator returns who made the change.
func (c Change) Operator() string { return c.operator }

// Ref returns the changed object.
func (c Change) Ref() Ref { return c.ref }

// Spec returns the new settings.
func (c Change) Spec() Spec { return c.spec }

// IsDeletion reports whether the object is deleted.
func (c Change) IsDeletion() bool { return c.deletion }

// ExpectedRevision returns the object's revision as the operator saw it.
func (c Change) ExpectedRevision() uint64 { return c.expectedRevision }

// At returns the wall time of the change.
func (c Change) At() time.Time { return c.at }

// ChangeResult is the answer to a change.
type ChangeResult struct {
	applied  bool
	revision uint64
	reason   string
}

// NewChangeResult returns an answer. revision is the new revision of an applied
// change, else the object's current one.
func NewChangeResult(applied bool, revision uint64, reason string) ChangeResult {
	return ChangeResult{applied: applied, revision: revision, reason: reason}
}

// Applied reports whether the change took effect.
func (v ChangeResult) Applied() bool { return v.applied }

// Revision returns the new or current revision.
func (v ChangeResult) Revision() uint64 { return v.revision }

// Reason explains a refused change.
func (v ChangeResult) Reason() string { return v.reason }

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
