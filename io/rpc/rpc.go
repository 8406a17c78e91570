// Package rpc contains the common parts of the services of the protobuf schema: the
// middleware of unary calls, the mapping of errors, and the check of secrets.
package rpc

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"papayaquay/core/outcome"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	"github.com/go-kit/kit/metrics"
)

// Names of request headers.
const (
	HeaderAccount        = "papayaquay-account"
	HeaderSecret         = "papayaquay-secret"
	HeaderOperatorSecret = "papayaquay-operator-secret"
	HeaderBackendSecret  = "papayaquay-backend-secret"
)

// MaxMessageBytes limits the size of incoming messages. retryAfter is the delay
// that a Failure asks for before a retry.
const (
	MaxMessageBytes = 16 << 20
	retryAfter      = 200 * time.Millisecond
)

// Meter records the number of calls, the number of errors, and the duration of
// calls in milliseconds.
type Meter struct {
	calls  metrics.Counter
	errors metrics.Counter
	millis metrics.Histogram
}

// NewMeter returns a meter that records into the given metrics.
func NewMeter(calls, failures metrics.Counter, millis metrics.Histogram) Meter {
	return Meter{calls: calls, errors: failures, millis: millis}
}

// Middleware returns endpoint middleware that records each call.
func (m Meter) Middleware() endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			start := time.Now()
			response, err := next(ctx, request)
			m.calls.Add(1)
			if err != nil {
				m.errors.Add(1)
			}
			m.millis.Observe(float64(time.Since(start).Microseconds()) / 1000)
			return response, err
		}
	}
}

// Unary runs one unary call through a middleware chain. It returns errors as
// connect errors.
func Unary[Req, Res any](ctx context.Context, request *connect.Request[Req], chain endpoint.Middleware,
	serve func(context.Context, *connect.Request[Req]) (*Res, error),
) (*connect.Response[Res], error) {
	if err := Received(ctx, request.Msg); err != nil {
		return nil, err
	}
	call := chain(func(ctx context.Context, _ any) (any, error) { return serve(ctx, request) })
	response, err := call(ctx, request.Msg)
	if err != nil {
		return nil, ConnectError(err)
	}
	return connect.NewResponse(response.(*Res)), nil
}

// ConnectError maps an error to a connect error with a Failure detail. The code
// CODE_NOT_RUN is used only if no attempt can have been sent to a backend server.
func ConnectError(err error) error {
	if err == nil {
		return nil
	}
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		return err
	}
	code, failure := classify(err)
	mapped := connect.NewError(code, err)
	if detail, detailErr := connect.NewErrorDetail(failure); detailErr == nil {
		mapped.AddDetail(detail)
	}
	return mapped
}

// classify returns the connect code and the Failure of an error.
func classify(err error) (connect.Code, *papayaquayv1.Failure) {
	notRun := func(retry bool) *papayaquayv1.Failure {
		f := &papayaquayv1.Failure{Code: papayaquayv1.Code_CODE_NOT_RUN, RetryLater: retry}
		if retry {
			f.RetryAfterMs = retryAfter.Milliseconds()
		}
		return f
	}
	switch {
	case errors.Is(err, outcome.ErrEarlierCallUnknown):
		return connect.CodeUnavailable, &papayaquayv1.Failure{Code: papayaquayv1.Code_CODE_UNKNOWN, RetryLater: true, RetryAfterMs: retryAfter.Milliseconds()}
	case errors.Is(err, outcome.ErrInvalid):
		return connect.CodeInvalidArgument, notRun(false)
	case errors.Is(err, outcome.ErrNotFound):
		return connect.CodeNotFound, notRun(false)
	case errors.Is(err, outcome.ErrConflict):
		return connect.CodeFailedPrecondition, notRun(false)
	case errors.Is(err, outcome.ErrRetryLater):
		return connect.CodeResourceExhausted, notRun(true)
	case errors.Is(err, outcome.ErrNotRun):
		return connect.CodeUnavailable, notRun(true)
	case errors.Is(err, outcome.ErrRefused):
		return connect.CodeFailedPrecondition, &papayaquayv1.Failure{Code: papayaquayv1.Code_CODE_REFUSED}
	case errors.Is(err, outcome.ErrCancelled):
		return connect.CodeCanceled, &papayaquayv1.Failure{Code: papayaquayv1.Code_CODE_CANCELLED}
	case errors.Is(err, outcome.ErrInProgress):
		return connect.CodeDeadlineExceeded, &papayaquayv1.Failure{RetryLater: true, RetryAfterMs: retryAfter.Milliseconds()}
	case errors.Is(err, outcome.ErrTimeout):
		return connect.CodeDeadlineExceeded, &papayaquayv1.Failure{Code: papayaquayv1.Code_CODE_UNKNOWN, RetryLater: true, RetryAfterMs: retryAfter.Milliseconds()}
	default:
		return connect.CodeAborted, &papayaquayv1.Failure{Code: papayaquayv1.Code_CODE_UNKNOWN}
	}
}

// FailureOf returns the Failure detail of an error that a client received, false
// if it has none.
func FailureOf(err error) (*papayaquayv1.Failure, bool) {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return nil, false
	}
	for _, detail := range connectErr.Details() {
		if value, valueErr := detail.Value(); valueErr == nil {
			if failure, ok := value.(*papayaquayv1.Failure); ok {
				return failure, true
			}
		}
	}
	return nil, false
}

// HashSecret returns the hex SHA-256 of a secret, as accounts store it.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// CheckHash reports whether a secret has the given hash, in constant time.
func CheckHash(secret, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashSecret(secret)), []byte(hash)) == 1
}

// CheckSecret reports whether the given secret is one of the accepted ones. If
// there are no accepted secrets, it returns true.
func CheckSecret(given string, accepted []string) bool {
	valid := len(accepted) == 0
	for _, secret := range accepted {
		valid = CheckHash(given, HashSecret(secret)) || valid
	}
	return valid
}

// NewUnauthenticatedError returns the error for a client without a valid secret.
func NewUnauthenticatedError() error {
	return connect.NewError(connect.CodeUnauthenticated, errors.New("secret missing or wrong"))
}
