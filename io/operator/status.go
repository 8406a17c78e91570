package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"papayaquay/core/control"
	"papayaquay/core/member"
	"papayaquay/io/rpc"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
)

// GetStatus returns the state of the system as this instance knows it.
func (s *Server) GetStatus(ctx context.Context, request *connect.Request[papayaquayv1.GetStatusRequest]) (*connect.Response[papayaquayv1.GetStatusResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.GetStatusRequest]) (*papayaquayv1.GetStatusResponse, error) {
		if err := s.authenticate(r.Header().Get); err != nil {
			return nil, err
		}
		status, err := s.status(ctx)
		if err != nil {
			return nil, err
		}
		return s.fromStatus(status), nil
	})
}

// fromStatus converts a status to the schema.
func (s *Server) fromStatus(status control.Status) *papayaquayv1.GetStatusResponse {
	response := &papayaquayv1.GetStatusResponse{
		Instance: status.Instance().Name(), DataCentre: status.Instance().DataCentre(),
		Revision: status.Revision(), Problems: status.Problems(), Version: s.version,
	}
	for _, i := range status.Instances() {
		response.Instances = append(response.Instances, &papayaquayv1.InstanceStatus{
			Name: i.Name(), Address: i.Address(), DataCentre: i.DataCentre(), State: i.State().String()})
	}
	for _, b := range status.Backends() {
		response.Backends = append(response.Backends, fromBackend(b))
	}
	for _, l := range status.Ledgers() {
		ledger := &papayaquayv1.LedgerStatus{Ledger: string(l.Ledger()), Replica: string(l.Replica()), Role: l.Role().String(),
			Term: l.Term(), Leader: l.Leader(), Commit: l.CommitIndex(), Last: l.LastIndex()}
		for _, m := range l.Members() {
			role := "voter"
			if !m.Voter() {
				role = "learner"
			}
			ledger.Members = append(ledger.Members, fmt.Sprintf("%s (%s)", m.Replica(), role))
		}
		response.Ledgers = append(response.Ledgers, ledger)
	}
	slices.SortFunc(response.Instances, func(a, b *papayaquayv1.InstanceStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
	slices.SortFunc(response.Backends, func(a, b *papayaquayv1.BackendStatus) int { return strings.Compare(a.GetId(), b.GetId()) })
	return response
}

// fromBackend converts a backend server's status to the schema.
func fromBackend(b control.BackendStatus) *papayaquayv1.BackendStatus {
	row := b.Backend()
	return &papayaquayv1.BackendStatus{Id: row.ID(), Address: row.Address(), DataCentre: row.DataCentre(),
		State: backendState(row), Slots: int32(row.Slots()), Online: int32(b.OnlineRequests()), Batch: int32(b.BatchItems()),
		Services: row.Services(), Models: row.Models()}
}

// backendState returns the name of a backend server's state.
func backendState(b member.Backend) string {
	switch {
	case b.Gone():
		return "gone"
	case b.Leaving():
		return "leaving"
	default:
		return "up"
	}
}
