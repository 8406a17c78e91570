// Package registry is the state machine of the control ledger. It holds the
// configuration document, the initial members of the jobs ledger and the backend
// servers that announced that they are leaving.
package registry

import "papayaquay/core/ledger"

// maxLeaving bounds the leaving servers that are remembered. By the time that so
// many others have left, a server has ended.
const maxLeaving = 4096

// Document is a configuration as the operator sent it.
type Document struct {
	number  uint64
	content []byte
}

// NewDocument returns a document with the number that the operator gave it.
func NewDocument(number uint64, content []byte) Document {
	return Document{number: number, content: content}
}

// Number returns the operator's number of the document; 0 means that there is no
// document.
func (d Document) Number() uint64 { return d.number }

// Content returns the content of the document.
func (d Document) Content() []byte { return d.content }

// LeavingBackend is a backend server that takes no new work in one incarnation.
type LeavingBackend struct {
	backend     string
	incarnation uint64
}

// NewLeavingBackend returns a leaving server.
func NewLeavingBackend(backend string, incarnation uint64) LeavingBackend {
	return LeavingBackend{backend: backend, incarnation: incarnation}
}

// Backend returns the server's id.
func (b LeavingBackend) Backend() string { return b.backend }

// Incarnation returns the incarnation of the server that is leaving.
func (b LeavingBackend) Incarnation() uint64 { return b.incarnation }

// Command is one change of the state. Exactly one field is set.
type Command struct {
	document       Document
	initialMembers []ledger.Member
	leaving        LeavingBackend
}

// Configure returns the command that puts a document in force if it has the
// highest number.
func Configure(d Document) Command { return Command{document: d} }

// SetInitialMembers returns the command that fixes the initial members of the
// jobs ledger. Only the first such command has an effect.
func SetInitialMembers(members []ledger.Member) Command { return Command{initialMembers: members} }

// Leave returns the command that marks a server as leaving.
func Leave(b LeavingBackend) Command { return Command{leaving: b} }

// Document returns the document of a Configure command.
func (c Command) Document() Document { return c.document }

// InitialMembers returns the members of a SetInitialMembers command.
func (c Command) InitialMembers() []ledger.Member { return c.initialMembers }

// Leaving returns the server of a Leave command.
func (c Command) Leaving() LeavingBackend { return c.leaving }

// State is the state machine.
type State struct {
	document       Document
	initialMembers []ledger.Member
	leaving        []LeavingBackend
}

// New returns the initial state.
func New() *State { return &State{} }

// Restore returns the state from the content of a snapshot.
func Restore(d Document, initialMembers []ledger.Member, leaving []LeavingBackend) *State {
	return &State{document: d, initialMembers: initialMembers, leaving: leaving}
}

// Apply applies a command. A document whose number is not higher than the
// present one changes nothing, so a repeated command is harmless.
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

// InitialMembers returns the initial members of the jobs ledger, if they are
// set.
func (s *State) InitialMembers() []ledger.Member { return s.initialMembers }

// Leaving returns the leaving servers, the oldest first.
func (s *State) Leaving() []LeavingBackend { return s.leaving }
