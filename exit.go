package main

import (
	"papayaquay/core/outcome"
	"papayaquay/io/rpc"
	"papayaquay/io/settings"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Exit codes, as documented in man/papayaquay.md.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitNotRun         = 3 // nothing has run; the command can be retried
	exitOutcomeUnknown = 4 // the request may have run
	exitRejected       = 5 // rejected permanently, or cancelled
	exitNotFound       = 6
	exitConflict       = 7
)

// exitCode returns the exit code of the process for an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, settings.ErrInvalid):
		return exitUsage
	case errors.Is(err, outcome.ErrNotFound):
		return exitNotFound
	case errors.Is(err, outcome.ErrConflict):
		return exitConflict
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated:
		return exitUsage
	case connect.CodeNotFound:
		return exitNotFound
	}
	if failure, ok := rpc.FailureOf(err); ok {
		return outcomeExitCode(failure.GetCode())
	}
	return exitFailure
}

// outcomeExitCode returns the exit code for the outcome of a request.
func outcomeExitCode(code papayaquayv1.Code) int {
	switch code {
	case papayaquayv1.Code_CODE_OK:
		return 0
	case papayaquayv1.Code_CODE_NOT_RUN:
		return exitNotRun
	case papayaquayv1.Code_CODE_REFUSED, papayaquayv1.Code_CODE_CANCELLED:
		return exitRejected
	default:
		return exitOutcomeUnknown
	}
}

// errorMessage returns the text of an error. The text says so if the request may be
// sent again.
func errorMessage(err error) string {
	text := err.Error()
	if failure, ok := rpc.FailureOf(err); ok && failure.GetRetryLater() {
		text += " (may be sent again)"
	}
	return text
}
