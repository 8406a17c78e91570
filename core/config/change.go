package config

import "time"

// Change is a command of the configuration ledger. It sets or deletes one object
// if the object still has the expected revision.
type Change struct {
	operation        string
	operator         string
	ref              Ref
	spec             Spec
	deletion         bool
	expectedRevision uint64
	at               time.Time
}

// NewChange returns a change that sets an object. expectedRevision is the
// object's revision that the operator read, or 0 for a new object. A change that
// is sent again with the same operation id gets the result of the first one.
func NewChange(operation, operator string, ref Ref, spec Spec, expectedRevision uint64, at time.Time) Change {
	return Change{operation: operation, operator: operator, ref: ref, spec: spec, expectedRevision: expectedRevision, at: at}
}

// NewDeletion returns a change that deletes an object. See NewChange for the
// arguments.
func NewDeletion(operation, operator string, ref Ref, expectedRevision uint64, at time.Time) Change {
	return Change{operation: operation, operator: operator, ref: ref, deletion: true, expectedRevision: expectedRevision, at: at}
}

// Operation returns the operation id.
func (c Change) Operation() string { return c.operation }

// Operator returns the name of the operator who made the change.
func (c Change) Operator() string { return c.operator }

// Ref returns the changed object.
func (c Change) Ref() Ref { return c.ref }

// Spec returns the new settings.
func (c Change) Spec() Spec { return c.spec }

// IsDeletion reports whether the change deletes the object.
func (c Change) IsDeletion() bool { return c.deletion }

// ExpectedRevision returns the revision that the object must have for the change
// to apply, or 0 for a new object.
func (c Change) ExpectedRevision() uint64 { return c.expectedRevision }

// At returns the wall clock time at which the change was made.
func (c Change) At() time.Time { return c.at }

// ChangeResult is the result of a change.
type ChangeResult struct {
	applied  bool
	revision uint64
	reason   string
}

// NewChangeResult returns a result. revision is the new revision if the change
// was applied, otherwise the object's current revision.
func NewChangeResult(applied bool, revision uint64, reason string) ChangeResult {
	return ChangeResult{applied: applied, revision: revision, reason: reason}
}

// Applied reports whether the change took effect.
func (r ChangeResult) Applied() bool { return r.applied }

// Revision returns the new or current revision.
func (r ChangeResult) Revision() uint64 { return r.revision }

// Reason returns why the change was rejected, or the empty string.
func (r ChangeResult) Reason() string { return r.reason }

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

// Operator returns the name of the operator who made the change.
func (e Event) Operator() string { return e.operator }

// At returns the wall clock time at which the change was made.
func (e Event) At() time.Time { return e.at }
