package config

import (
	"time"

	"papayaquay/core/table"
)

// Retention limits for the data that the configuration ledger keeps in addition
// to the objects.
const (
	OperationRetention = 48 * time.Hour // results by operation id
	HistoryLength      = 10_000         // events; on overflow the older half is dropped

	reasonConflict = "the object was changed since the given revision"
	reasonMissing  = "the object does not exist"
)

// operationRow is the stored result of an operation id.
type operationRow struct {
	result ChangeResult
	at     time.Time
}

// State is the content of the configuration ledger. Only the control thread
// accesses it.
type State struct {
	revision       uint64
	objects        *table.Table[Ref, Object]
	operations     *table.Table[string, operationRow]
	operationOrder []string // operation ids, oldest first
	history        []Event  // oldest first
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

// Apply applies one committed change. A change with an operation id that was
// applied before gets the stored result.
func (s *State) Apply(c Change) ChangeResult {
	if row := s.operations.Get(c.operation); row != nil {
		return row.result
	}
	result := s.applyNew(c)
	s.removeExpiredOperations(c.at)
	s.operations.Put(c.operation, operationRow{result: result, at: c.at})
	s.operationOrder = append(s.operationOrder, c.operation)
	return result
}

// applyNew applies or rejects a change whose operation id is new.
func (s *State) applyNew(c Change) ChangeResult {
	current := s.objects.Get(c.ref)
	exists := current != nil && !current.deleted
	var revision uint64
	if current != nil {
		revision = current.revision
	}
	if c.deletion && !exists {
		return NewChangeResult(false, revision, reasonMissing)
	}
	// A deleted object may be created again with the expected revision 0.
	if c.expectedRevision != revision && (exists || c.expectedRevision != 0) {
		return NewChangeResult(false, revision, reasonConflict)
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

// removeExpiredOperations removes the operation results older than
// OperationRetention.
func (s *State) removeExpiredOperations(now time.Time) {
	for len(s.operationOrder) > 0 {
		row := s.operations.Get(s.operationOrder[0])
		if row != nil && now.Sub(row.at) <= OperationRetention {
			return
		}
		s.operations.Remove(s.operationOrder[0])
		s.operationOrder = s.operationOrder[1:]
	}
}

// Copy returns an independent copy of the state.
func (s *State) Copy() *State {
	return Restore(s.revision, s.Objects(), s.OperationResults(), s.History(len(s.history)))
}

// Objects returns all objects, including deleted ones.
func (s *State) Objects() []Object {
	objects := make([]Object, 0, s.objects.Len())
	s.objects.Each(func(_ Ref, o *Object) { objects = append(objects, *o) })
	return objects
}

// History returns the newest events, at most limit, newest first.
func (s *State) History(limit int) []Event {
	var events []Event
	for i := len(s.history) - 1; i >= 0 && len(events) < limit; i-- {
		events = append(events, s.history[i])
	}
	return events
}

// ChangedSince returns the objects changed after revision, oldest change first,
// and whether the history goes back to that revision. If it does not, the reader
// needs all objects.
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

// OperationResult is the stored result of an operation id, for snapshots.
type OperationResult struct {
	id     string
	result ChangeResult
	at     time.Time
}

// NewOperationResult returns a stored result.
func NewOperationResult(id string, result ChangeResult, at time.Time) OperationResult {
	return OperationResult{id: id, result: result, at: at}
}

// ID returns the operation id.
func (o OperationResult) ID() string { return o.id }

// Result returns the result of the change.
func (o OperationResult) Result() ChangeResult { return o.result }

// At returns the wall clock time at which the change was made.
func (o OperationResult) At() time.Time { return o.at }

// OperationResults returns the stored results, oldest first.
func (s *State) OperationResults() []OperationResult {
	operations := make([]OperationResult, 0, len(s.operationOrder))
	for _, id := range s.operationOrder {
		row := s.operations.Get(id)
		operations = append(operations, NewOperationResult(id, row.result, row.at))
	}
	return operations
}

// Restore returns the state from a snapshot. history is ordered newest first.
func Restore(revision uint64, objects []Object, operations []OperationResult, history []Event) *State {
	s := New()
	s.revision = revision
	for _, o := range objects {
		s.objects.Put(o.ref, o)
	}
	for _, o := range operations {
		s.operations.Put(o.id, operationRow{result: o.result, at: o.at})
		s.operationOrder = append(s.operationOrder, o.id)
	}
	for i := len(history) - 1; i >= 0; i-- {
		s.history = append(s.history, history[i])
	}
	return s
}
