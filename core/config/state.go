package config

import (
	"time"

	"papayaquay/core/table"
)

// Bounds of what the configuration ledger keeps beside the objects.
const (
	OperationRetention = 48 * time.Hour // answers to operation ids
	HistoryLength      = 10_000         // newest events

	reasonNewer   = "the object was changed since the given revision"
	reasonMissing = "the object does not exist"
)

// operationRow is the kept answer to an operation id.
type operationRow struct {
	verdict ChangeResult
	at      time.Time
}

// State is the content of the configuration ledger. It belongs to the control
// thread.
type State struct {
	revision   uint64
	objects    *table.Table[Ref, Object]
	operations *table.Table[string, operationRow]
	order      []string // operation ids, oldest first
	history    []Event  // oldest first
}

// New returns an empty state.
func New() *State {
	return &State{
		objects:    table.New[Ref, Object](),
		operations: table.New[string, operationRow](),
	}
}

// Revision returns the revision of the newest applied change.
func (s *State) Revision() uint64 { return s.revision }

// Apply changes the state by one committed change. A resent operation gets the
// answer that its first copy got.
func (s *State) Apply(c Change) ChangeResult {
	if row := s.operations.Get(c.operation); row != nil {
		return row.verdict
	}
	verdict := s.decide(c)
	s.forget(c.at)
	s.operations.Put(c.operation, operationRow{verdict: verdict, at: c.at})
	s.order = append(s.order, c.operation)
	return verdict
}

// decide applies a change that was not seen before, or refuses it.
func (s *State) decide(c Change) ChangeResult {
	current := s.objects.Get(c.ref)
	exists := current != nil && !current.deleted
	var revision uint64
	if current != nil {
		revision = current.revision
	}
	if c.deletion && !exists {
		return NewChangeResult(false, revision, reasonMissing)
	}
	// A deleted object may be created again without naming its last revision.
	if c.expectedRevision != revision && (exists || c.expectedRevision != 0) {
		return NewChangeResult(false, revision, reasonNewer)
	}
	s.revision++
	object := NewObject(c.ref, c.spec, s.revision, c.deletion)
	s.objects.Put(c.ref, object)
	s.history = append(s.history, NewEvent(object, c.operator, c.at))
	if len(s.history) > HistoryLength {
		s.history = append([]Event(nil), s.history[len(s.history)-HistoryLength/2:]...)
	}
	return NewChangeResult(true, s.revision, "")
}

// forget drops operation answers past their retention.
func (s *State) forget(at time.Time) {
	for len(s.order) > 0 {
		row := s.operations.Get(s.order[0])
		if row != nil && at.Sub(row.at) <= OperationRetention {
			return
		}
		s.operations.Remove(s.order[0])
		s.order = s.order[1:]
	}
}

// Copy returns an independent copy of the state.
func (s *State) Copy() *State {
	return Restore(s.revision, s.Objects(), s.OperationResults(), s.History(len(s.history)))
}

// Objects returns all objects, deleted ones included.
func (s *State) Objects() []Object {
	objects := make([]Object, 0, s.objects.Len())
	s.objects.Each(func(_ Ref, o *Object) { objects = append(objects, *o) })
	return objects
}

// History returns at most limit newest events, newest first.
func (s *State) History(limit int) []Event {
	var events []Event
	for i := len(s.history) - 1; i >= 0 && len(events) < limit; i-- {
		events = append(events, s.history[i])
	}
	return events
}

// ChangedSince returns the objects changed after revision, oldest change first, and
// whether the history reaches back that far. If not, all objects are needed.
func (s *State) ChangedSince(revision uint64) ([]Object, bool) {
	if revision > s.revision {
		return nil, true
	}
	missing := s.revision - revision
	if missing > uint64(len(s.history)) {
		return nil, false
	}
	var objects []Object
	for _, event := range s.history[uint64(len(s.history))-missing:] {
		objects = append(objects, event.object)
	}
	return objects, true
}

// OperationResult is the kept answer to an operation id, for snapshots.
type OperationResult struct {
	id      string
	verdict ChangeResult
	at      time.Time
}

// NewOperationResult returns a kept answer.
func NewOperationResult(id string, verdict ChangeResult, at time.Time) OperationResult {
	return OperationResult{id: id, verdict: verdict, at: at}
}

// ID returns the operation id.
func (o OperationResult) ID() string { return o.id }

// ChangeResult returns the answer.
func (o OperationResult) Result() ChangeResult { return o.verdict }

// At returns when the change was issued.
func (o OperationResult) At() time.Time { return o.at }

// OperationResults returns the kept answers, oldest first.
func (s *State) OperationResults() []OperationResult {
	operations := make([]OperationResult, 0, len(s.order))
	for _, id := range s.order {
		row := s.operations.Get(id)
		operations = append(operations, NewOperationResult(id, row.verdict, row.at))
	}
	return operations
}

// Restore returns the state of a snapshot; history is newest first.
func Restore(revision uint64, objects []Object, operations []OperationResult, history []Event) *State {
	s := New()
	s.revision = revision
	for _, o := range objects {
		s.objects.Put(o.ref, o)
	}
	for _, o := range operations {
		s.operations.Put(o.id, operationRow{verdict: o.verdict, at: o.at})
		s.order = append(s.order, o.id)
	}
	for i := len(history) - 1; i >= 0; i-- {
		s.history = append(s.history, history[i])
	}
	return s
}
