// Package outcome names the ways in which a request can end and the errors
// that tell a caller what may be done next.
package outcome

import "github.com/cockroachdb/errors"

// Code is the way in which a request or an item ended.
type Code uint8

// Codes. NotRun is only used where no attempt left this system.
const (
	Pending   Code = iota // no answer yet
	OK                    // answered
	NotRun                // refused, no backend server saw the request
	Unknown               // an attempt may have run, its answer is lost
	Refused               // refused for ever
	Cancelled             // stopped by the caller
)

// String returns the code's name as used in results and logs.
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

// Err returns the sentinel error for a final code, or nil for OK.
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
