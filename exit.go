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
	exitFailure  = 1
	exitUsage    = 2
	exitNotRun   = 3 // nothing ran, the command may be repeated
	exitUnknown  = 4 // it may have run
	exitRefused  = 5 // refused for ever
	exitNotFound = 6
	exitConflict = 7
)

// exitCode maps an error to the exit code of the process.
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
		return failureExit(failure.GetCode())
	}
	return exitFailure
}

// failureExit maps the outcome of a request to an exit code.
func failureExit(code papayaquayv1.Code) int {
	switch code {
	case papayaquayv1.Code_CODE_OK:
		return 0
	case papayaquayv1.Code_CODE_NOT_RUN:
		return exitNotRun
	case papayaquayv1.Code_CODE_REFUSED, papayaquayv1.Code_CODE_CANCELLED:
		return exitRefused
	default:
		return exitUnknown
	}
}

// describe returns the text of an error for people.
func describe(err error) string {
	text := err.Error()
	if failure, ok := rpc.FailureOf(err); ok && failure.GetRetryLater() {
		text += " (may be sent again)"
	}
	return text
}
