// Package backend implements BackendService of the protobuf schema: announcements
// of backend servers.
package backend

import (
	"context"
	"net/url"
	"slices"

	"papayaquay/core/control"
	"papayaquay/core/member"
	"papayaquay/core/outcome"
	"papayaquay/io/rpc"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
)

// Limits of an announcement.
const (
	maxSlots     = 1 << 16
	maxServices  = 256
	maxNameBytes = 256
)

// Server implements BackendService.
type Server struct {
	secrets  func() []string
	chain    endpoint.Middleware
	announce func(member.Backend)
	snapshot func() *control.Snapshot
}

// New returns a server. It passes each valid announcement to announce. secrets
// returns the accepted secrets; if there are none, all announcements are accepted.
func New(announce func(member.Backend), snapshot func() *control.Snapshot, secrets func() []string, chain endpoint.Middleware) *Server {
	return &Server{secrets: secrets, chain: chain, announce: announce, snapshot: snapshot}
}

// Announce receives one announcement and returns the configuration revision.
func (s *Server) Announce(ctx context.Context, request *connect.Request[papayaquayv1.AnnounceRequest]) (*connect.Response[papayaquayv1.AnnounceResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(_ context.Context, r *connect.Request[papayaquayv1.AnnounceRequest]) (*papayaquayv1.AnnounceResponse, error) {
		if !rpc.CheckSecret(r.Header().Get(rpc.HeaderBackendSecret), s.secrets()) {
			return nil, rpc.NewUnauthenticatedError()
		}
		b, err := toBackend(r.Msg)
		if err != nil {
			return nil, err
		}
		s.announce(b)
		return &papayaquayv1.AnnounceResponse{Revision: s.snapshot().Config().Revision()}, nil
	})
}

// toBackend validates and converts an announcement.
func toBackend(m *papayaquayv1.AnnounceRequest) (member.Backend, error) {
	protocol := member.ProtocolEngine
	switch m.GetProtocol() {
	case "", "engine":
	case "plain":
		protocol = member.ProtocolPlain
	default:
		return member.Backend{}, errors.Wrapf(outcome.ErrInvalid, "unknown protocol %q", m.GetProtocol())
	}
	address, err := url.Parse(m.GetAddress())
	if err != nil || address.Scheme != "http" || address.Host == "" {
		return member.Backend{}, errors.Wrapf(outcome.ErrInvalid, "address %q is no http URL", m.GetAddress())
	}
	// Without these fields an announcement of another writer would replace the server's own.
	if m.GetDataCentre() == "" || m.GetIncarnation() == 0 || m.GetSequence() == 0 || len(m.GetServices()) == 0 || slices.Contains(m.GetServices(), "") {
		return member.Backend{}, errors.Wrap(outcome.ErrInvalid, "data centre, incarnation, sequence or services missing")
	}
	if m.GetId() == "" || len(m.GetId()) > maxNameBytes || m.GetSlots() < 1 || m.GetSlots() > maxSlots ||
		len(m.GetServices()) > maxServices || len(m.GetModels()) > maxServices {
		return member.Backend{}, errors.Wrap(outcome.ErrInvalid, "id, slots, services or models out of range")
	}
	return member.NewBackend(m.GetId(), m.GetAddress(), m.GetDataCentre(), protocol, int(m.GetSlots()),
		m.GetIncarnation(), m.GetSequence(), member.WithServices(m.GetServices()...), member.WithModels(m.GetModels()...),
		member.WithFencing(m.GetFences()), member.WithLeaving(m.GetLeaving()),
		member.WithLoad(member.NewLoad(int(m.GetRunning()), int(m.GetQueued())))), nil
}
