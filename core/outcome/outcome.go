// Package outcome defines the outcomes of requests and items, and the errors that
// tell a caller whether a request may be sent again.
package outcome

import "github.com/cockroachdb/errors"

// Code is the outcome of a request or an item.
type Code uint8

// Codes. NotRun is used only if no attempt was sent to a backend server.
const (
	Pending   Code = iota // no answer yet
	OK                    // answered
	NotRun                // refused, no backend server received the request
	Unknown               // an attempt may have run, but its answer is lost
	Refused               // permanently refused, must not be sent again
	Cancelled             // cancelled by the caller
)

// String returns the code's name as used in results and logs, or "invalid" for an
// unknown code.
func (c Code) String() string {
	names := [...]string{"pending", "ok", "not-run", "unknown", "refused", "cancelled"}
	if int(c) >= len(names) {
		return "invalid"
	}
	return names[c]
}

// Sentinel errors; test with errors.Is.
var (
	ErrNotRun             = errors.New("not run")
	ErrUnknown            = errors.New("may have run")
	ErrRefused            = errors.New("refused for ever")
	ErrRetryLater         = errors.New("not run, retry later")
	ErrEarlierCallUnknown = errors.New("not run by this call, an earlier call with the same key may have run")
	ErrNotFound           = errors.New("not found")
	ErrConflict           = errors.New("conflict")
	ErrInvalid            = errors.New("invalid argument")
	ErrCancelled          = errors.New("cancelled")
	ErrTimeout            = errors.New("no reply in time")
	ErrInProgress         = errors.New("still running")
)

// Err returns the sentinel error of a code, or nil for OK. Unknown and undefined
// codes return ErrUnknown.
func (c Code) Err() error {
	switch c {
	case OK:
		return nil
	case NotRun:
		return ErrNotRun
	case Refused:
		return ErrRefused
	case Cancelled:
		return ErrCancelled
	case Pending:
		return ErrInProgress
	default:
		return ErrUnknown
	}
}
