// Package registry is the state machine of the control ledger: the
// configuration document, the founders of the jobs ledger and the backend
// servers that announced that they leave.
package registry

import "papayaquay/core/ledger"

// maxLeaving bounds the servers that are remembered as leaving; a server that
// leaves has ended long before so many others did.
const maxLeaving = 4096

// Document is a configuration as the operator sent it.
type Document struct {
	number  uint64
	content []byte
}

// NewDocument returns a document under the operator's number.
func NewDocument(number uint64, content []byte) Document {
	return Document{number: number, content: content}
}

// Number returns the operator's number; 0 means that there is no document.
func (d Document) Number() uint64 { return d.number }

// Content returns the document.
func (d Document) Content() []byte { return d.content }

// LeavingBackend is a backend server that takes no new work in one incarnation.
type LeavingBackend struct {
	backend     string
	incarnation uint64
}

// NewLeavingBackend returns a departure.
func NewLeavingBackend(backend string, incarnation uint64) LeavingBackend {
	return LeavingBackend{backend: backend, incarnation: incarnation}
}

// Backend returns the server's id.
func (d LeavingBackend) Backend() string { return d.backend }

// Incarnation returns the start of the server that ends.
func (d LeavingBackend) Incarnation() uint64 { return d.incarnation }

// Command is one change of the state; exactly one part is set.
type Command struct {
	document       Document
	initialMembers []ledger.Member
	leaving        LeavingBackend
}

// Configure returns the command that brings a document into force, if its
// number is the highest.
func Configure(d Document) Command { return Command{document: d} }

// SetInitialMembers returns the command that fixes the founders of the jobs ledger. Only
// the first one counts.
func SetInitialMembers(members []ledger.Member) Command { return Command{initialMembers: members} }

// Leave returns the command that marks a server as leaving.
func Leave(d LeavingBackend) Command { return Command{leaving: d} }

// Document returns the document of a Configure.
func (c Command) Document() Document { return c.document }

// InitialMembers returns the members of a Found.
func (c Command) InitialMembers() []ledger.Member { return c.initialMembers }

// LeavingBackend returns the server of a Depart.
func (c Command) Leaving() LeavingBackend { return c.leaving }

// State is the state machine.
type State struct {
	document       Document
	initialMembers []ledger.Member
	leaving        []LeavingBackend
}

// New returns the initial state.
func New() *State { return &State{} }

// Restore returns a state from a snapshot's content.
func Restore(d Document, founders []ledger.Member, leaving []LeavingBackend) *State {
	return &State{document: d, initialMembers: founders, leaving: leaving}
}

// Apply applies a command. A document that is not higher than the one in force
// changes nothing, so a repeated change is harmless.
func (s *State) Apply(c Command) {
	if c.document.number > s.document.number {
		s.document = c.document
	}
	if len(s.initialMembers) == 0 {
		s.initialMembers = c.initialMembers
	}
	if c.leaving.backend != "" {
		s.leaving = append(s.leaving, c.leaving)
		if len(s.leaving) > maxLeaving {
			s.leaving = append([]LeavingBackend(nil), s.leaving[len(s.leaving)-maxLeaving:]...)
		}
	}
}

// Document returns the document in force.
func (s *State) Document() Document { return s.document }

// InitialMembers returns the first members of the jobs ledger, if decided.
func (s *State) InitialMembers() []ledger.Member { return s.initialMembers }

// Leaving returns the servers that leave.
func (s *State) Leaving() []LeavingBackend { return s.leaving }
