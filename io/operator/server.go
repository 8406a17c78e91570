// Package operator serves the schema's OperatorService.
package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/outcome"
	"papayaquay/io/rpc"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
)

// Limits of operator calls.
const (
	changeTimeout        = 5 * time.Second
	maxHistoryEvents     = 1000
	defaultHistoryEvents = 50
	maxNameBytes         = 128
)

// Server serves operators.
type Server struct {
	version  string
	secrets  func() []string
	chain    endpoint.Middleware
	call     func(context.Context, control.Call) (control.Result, error)
	snapshot func() *control.Snapshot
	status   func(context.Context) (control.Status, error)
	drain    func()
}

// Option configures a server in New.
type Option func(*Server)

// WithSecrets sets the accepted operator secrets.
func WithSecrets(secrets func() []string) Option { return func(s *Server) { s.secrets = secrets } }

// WithControl sets the functions that call ledgers, read the snapshot and return
// the status.
func WithControl(call func(context.Context, control.Call) (control.Result, error), snapshot func() *control.Snapshot,
	status func(context.Context) (control.Status, error),
) Option {
	return func(s *Server) { s.call, s.snapshot, s.status = call, snapshot, status }
}

// WithDrain sets the function that starts a graceful shutdown.
func WithDrain(drain func()) Option { return func(s *Server) { s.drain = drain } }

// WithChain sets the middleware chain of unary calls.
func WithChain(chain endpoint.Middleware) Option { return func(s *Server) { s.chain = chain } }

// New returns a server that reports the given program version.
func New(version string, options ...Option) *Server {
	s := &Server{version: version, secrets: func() []string { return nil }, drain: func() {},
		chain: func(e endpoint.Endpoint) endpoint.Endpoint { return e }}
	for _, option := range options {
		option(s)
	}
	return s
}

// authenticate returns an error for operators without a valid secret.
func (s *Server) authenticate(header func(string) string) error {
	if !rpc.CheckSecret(header(rpc.HeaderOperatorSecret), s.secrets()) {
		return rpc.NewUnauthenticatedError()
	}
	return nil
}

// ApplyChange commits one change to the configuration.
func (s *Server) ApplyChange(ctx context.Context, request *connect.Request[papayaquayv1.ApplyChangeRequest]) (*connect.Response[papayaquayv1.ApplyChangeResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.ApplyChangeRequest]) (*papayaquayv1.ApplyChangeResponse, error) {
		if err := s.authenticate(r.Header().Get); err != nil {
			return nil, err
		}
		change, err := toChange(r.Msg)
		if err != nil {
			return nil, err
		}
		call := control.NewCall(control.CallChange, control.ConfigLedger, time.Now().Add(changeTimeout), control.WithChange(change))
		result, err := s.call(ctx, call)
		changeResult := result.ChangeResult()
		return &papayaquayv1.ApplyChangeResponse{Applied: changeResult.Applied(), Revision: changeResult.Revision(), Reason: changeResult.Reason()}, err
	})
}

// toChange validates and converts a change.
func toChange(m *papayaquayv1.ApplyChangeRequest) (config.Change, error) {
	kind, ok := config.ParseKind(m.GetKind())
	if !ok {
		return config.Change{}, errors.Wrapf(outcome.ErrInvalid, "unknown kind %q", m.GetKind())
	}
	if name := m.GetName(); name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/@ \t\r\n") {
		return config.Change{}, errors.Wrapf(outcome.ErrInvalid, "a name has 1 to %d characters without space, / and @", maxNameBytes)
	}
	if m.GetOperation() == "" || len(m.GetOperation()) > maxNameBytes {
		return config.Change{}, errors.Wrap(outcome.ErrInvalid, "an operation id is needed")
	}
	ref := config.NewRef(kind, m.GetName())
	if m.GetDelete() {
		return config.NewDeletion(m.GetOperation(), m.GetOperator(), ref, m.GetBasedOn(), time.Now()), nil
	}
	spec, err := toSpec(kind, m.GetSpec())
	return config.NewChange(m.GetOperation(), m.GetOperator(), ref, spec, m.GetBasedOn(), time.Now()), err
}

// toSpec validates and converts the settings of an object.
func toSpec(kind config.Kind, m *papayaquayv1.Spec) (config.Spec, error) {
	protocol := config.ProtocolEngine
	switch m.GetProtocol() {
	case "", "engine":
	case "plain":
		protocol = config.ProtocolPlain
	default:
		return config.Spec{}, errors.Wrapf(outcome.ErrInvalid, "unknown protocol %q", m.GetProtocol())
	}
	if kind != config.KindService {
		protocol = 0
	}
	if m.GetRate() < 0 || m.GetBurst() < 0 || m.GetInFlight() < 0 {
		return config.Spec{}, errors.Wrap(outcome.ErrInvalid, "limits must not be negative")
	}
	return config.NewSpec(config.WithProtocol(protocol), config.WithModel(m.GetModel()), config.WithAdapter(m.GetAdapter()),
		config.WithVersion(m.GetVersion()), config.WithLimits(m.GetRate(), int(m.GetBurst()), int(m.GetInFlight())),
		config.WithSecretHash(m.GetSecretHash()), config.WithRefuseIfHomeUnreachable(m.GetCutRefuse())), nil
}

// fromObject converts an object to the schema, without its secret hash.
func fromObject(o config.Object) *papayaquayv1.Object {
	spec := o.Spec()
	m := &papayaquayv1.Spec{Model: spec.Model(), Adapter: spec.Adapter(), Version: spec.Version(), Rate: spec.Rate(),
		Burst: int32(spec.Burst()), InFlight: int32(spec.InFlight()), CutRefuse: spec.RefuseIfHomeUnreachable()}
	switch spec.Protocol() {
	case config.ProtocolEngine:
		m.Protocol = "engine"
	case config.ProtocolPlain:
		m.Protocol = "plain"
	}
	return &papayaquayv1.Object{Kind: o.Ref().Kind().String(), Name: o.Ref().Name(), Spec: m, Revision: o.Revision(), Deleted: o.Deleted()}
}

// ListObjects returns the configuration objects that this instance uses, without
// deleted ones.
func (s *Server) ListObjects(ctx context.Context, request *connect.Request[papayaquayv1.ListObjectsRequest]) (*connect.Response[papayaquayv1.ListObjectsResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(_ context.Context, r *connect.Request[papayaquayv1.ListObjectsRequest]) (*papayaquayv1.ListObjectsResponse, error) {
		if err := s.authenticate(r.Header().Get); err != nil {
			return nil, err
		}
		current := s.snapshot().Config()
		response := &papayaquayv1.ListObjectsResponse{Revision: current.Revision()}
		for _, o := range current.Objects() {
			if kind := r.Msg.GetKind(); !o.Deleted() && (kind == "" || kind == o.Ref().Kind().String()) {
				response.Objects = append(response.Objects, fromObject(o))
			}
		}
		slices.SortFunc(response.Objects, func(a, b *papayaquayv1.Object) int {
			return strings.Compare(a.GetKind()+"/"+a.GetName(), b.GetKind()+"/"+b.GetName())
		})
		return response, nil
	})
}

// ListHistory returns the newest changes.
func (s *Server) ListHistory(ctx context.Context, request *connect.Request[papayaquayv1.ListHistoryRequest]) (*connect.Response[papayaquayv1.ListHistoryResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.ListHistoryRequest]) (*papayaquayv1.ListHistoryResponse, error) {
		if err := s.authenticate(r.Header().Get); err != nil {
			return nil, err
		}
		limit := int(r.Msg.GetLimit())
		if limit <= 0 {
			limit = defaultHistoryEvents
		}
		call := control.NewCall(control.CallHistory, control.ConfigLedger, time.Now().Add(changeTimeout), control.WithPage(0, min(limit, maxHistoryEvents)))
		result, err := s.call(ctx, call)
		response := &papayaquayv1.ListHistoryResponse{}
		for _, e := range result.Events() {
			response.Events = append(response.Events, &papayaquayv1.Event{Object: fromObject(e.Object()), Operator: e.Operator(), AtUnixMs: e.At().UnixMilli()})
		}
		return response, err
	})
}

// Drain starts a graceful shutdown of this instance.
func (s *Server) Drain(ctx context.Context, request *connect.Request[papayaquayv1.DrainRequest]) (*connect.Response[papayaquayv1.DrainResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(_ context.Context, r *connect.Request[papayaquayv1.DrainRequest]) (*papayaquayv1.DrainResponse, error) {
		if err := s.authenticate(r.Header().Get); err != nil {
			return nil, err
		}
		s.drain()
		return &papayaquayv1.DrainResponse{}, nil
	})
}
