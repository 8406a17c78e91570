// Package caller serves the schema's CallerService: online requests and jobs.
package caller

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"
	"papayaquay/core/traffic"
	"papayaquay/io/rpc"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
)

// Limits and defaults of requests.
const (
	DefaultTimeout   = time.Minute
	MaxTimeout       = 10 * time.Minute
	DefaultMaxTokens = 256
	MaxTokens        = 32768
	MaxJobItems      = 100_000
	MaxNameBytes     = 256

	ledgerTimeout   = 5 * time.Second // for a call to a ledger
	resultsPageSize = 256             // answers per call
)

// Server serves callers.
type Server struct {
	dataCentre     string
	requireAccount bool
	chain          endpoint.Middleware
	submit         func(request traffic.Request, sink func(traffic.Event), accepted func(uint64))
	cancel         func(account string, number uint64)
	call           func(context.Context, control.Call) (control.Result, error)
	snapshot       func() *control.Snapshot
}

// Option configures a server in New.
type Option func(*Server)

// WithTraffic sets the functions that start an online request and cancel it when
// its caller has disconnected.
func WithTraffic(submit func(traffic.Request, func(traffic.Event), func(uint64)), cancel func(account string, number uint64)) Option {
	return func(s *Server) { s.submit, s.cancel = submit, cancel }
}

// WithControl sets the functions that call ledgers and read the snapshot.
func WithControl(call func(context.Context, control.Call) (control.Result, error), snapshot func() *control.Snapshot) Option {
	return func(s *Server) { s.call, s.snapshot = call, snapshot }
}

// WithRequireAccount sets whether callers without a configured account are
// rejected.
func WithRequireAccount(require bool) Option { return func(s *Server) { s.requireAccount = require } }

// WithChain sets the middleware chain of unary calls.
func WithChain(chain endpoint.Middleware) Option { return func(s *Server) { s.chain = chain } }

// New returns a server for callers of an instance in the given data centre.
func New(dataCentre string, options ...Option) *Server {
	s := &Server{dataCentre: dataCentre, chain: func(e endpoint.Endpoint) endpoint.Endpoint { return e }}
	for _, option := range options {
		option(s)
	}
	return s
}

// accountFrom authenticates a caller by its request headers and returns its account.
func (s *Server) accountFrom(header http.Header) (string, error) { return s.authenticate(header.Get) }

// authenticate checks the account and secret in a request's headers and returns
// the account. header returns the value of a header.
func (s *Server) authenticate(header func(string) string) (string, error) {
	name := header(rpc.HeaderAccount)
	if err := checkName("account", name); name != "" && err != nil {
		return "", err
	}
	object, ok := s.snapshot().Config().Get(config.NewRef(config.KindAccount, name))
	if !ok {
		if s.requireAccount {
			return "", rpc.NewUnauthenticatedError()
		}
		return name, nil
	}
	if hash := object.Spec().SecretHash(); hash != "" && !rpc.CheckHash(header(rpc.HeaderSecret), hash) {
		return "", rpc.NewUnauthenticatedError()
	}
	return name, nil
}

// checkName rejects names that are empty, too long or not printable. what is the
// field's name for the error.
func checkName(what, name string) error {
	printable := func(r rune) bool { return r > ' ' && r != 0x7f }
	if name == "" || len(name) > MaxNameBytes || strings.IndexFunc(name, func(r rune) bool { return !printable(r) }) >= 0 {
		return errors.Wrapf(outcome.ErrInvalid, "%s must have 1 to %d printable characters", what, MaxNameBytes)
	}
	return nil
}

// newKey returns a random key whose home is this data centre's ledger.
func (s *Server) newKey() string { return s.dataCentre + "/" + rand.Text() }

// newHomeCall returns a call to the home ledger of a key.
func (s *Server) newHomeCall(kind control.CallKind, key home.Key, timeout time.Duration, options ...control.CallOption) control.Call {
	id := control.HomeOf(s.snapshot().Homes(), key)
	return control.NewCall(kind, id, time.Now().Add(timeout), append(options, control.WithKey(key))...)
}

// toAnswer converts an answer to the schema.
func toAnswer(a home.Answer) *papayaquayv1.Answer {
	return &papayaquayv1.Answer{Code: toCode(a.Code()), Text: a.Text(), Tokens: int32(a.Tokens()), Reason: a.Reason(),
		Backend: a.Backend(), FinishedUnixMs: a.Finished().UnixMilli()}
}

// toCode converts an outcome code to the schema.
func toCode(code outcome.Code) papayaquayv1.Code {
	switch code {
	case outcome.OK:
		return papayaquayv1.Code_CODE_OK
	case outcome.NotRun:
		return papayaquayv1.Code_CODE_NOT_RUN
	case outcome.Unknown:
		return papayaquayv1.Code_CODE_UNKNOWN
	case outcome.Refused:
		return papayaquayv1.Code_CODE_REFUSED
	case outcome.Cancelled:
		return papayaquayv1.Code_CODE_CANCELLED
	default:
		return papayaquayv1.Code_CODE_UNSPECIFIED
	}
}

// toStatus converts a job status to the schema.
func toStatus(s home.JobStatus) *papayaquayv1.JobStatus {
	return &papayaquayv1.JobStatus{Job: s.Key().Name(), Service: s.Service(), Total: int32(s.Total()),
		Received: int32(s.Received()), Running: int32(s.Leased()), Done: int32(s.Done()), Failed: int32(s.Failed()),
		Cancelled: s.Cancelled(), Finished: s.Finished()}
}
