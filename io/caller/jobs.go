package caller

import (
	"context"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"
	"papayaquay/io/rpc"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Submit stores one request durably and runs it later, as a job of one item.
func (s *Server) Submit(ctx context.Context, request *connect.Request[papayaquayv1.SubmitRequest]) (*connect.Response[papayaquayv1.SubmitResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.SubmitRequest]) (*papayaquayv1.SubmitResponse, error) {
		key := r.Msg.GetKey()
		if key == "" {
			key = s.newKey()
		}
		items := []*papayaquayv1.Item{{Prompt: r.Msg.GetPrompt(), MaxTokens: r.Msg.GetMaxTokens()}}
		_, err := s.storeItems(ctx, r.Header().Get, key, r.Msg.GetService(), 1, 0, items, r.Msg.GetOnce())
		return &papayaquayv1.SubmitResponse{Key: key}, err
	})
}

// SubmitJob stores a job or a part of its items.
func (s *Server) SubmitJob(ctx context.Context, request *connect.Request[papayaquayv1.SubmitJobRequest]) (*connect.Response[papayaquayv1.SubmitJobResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.SubmitJobRequest]) (*papayaquayv1.SubmitJobResponse, error) {
		m := r.Msg
		status, err := s.storeItems(ctx, r.Header().Get, m.GetJob(), m.GetService(), int(m.GetTotal()), int(m.GetOffset()), m.GetItems(), m.GetOnce())
		return &papayaquayv1.SubmitJobResponse{Status: status}, err
	})
}

// storeItems validates and commits items of a job.
func (s *Server) storeItems(ctx context.Context, header func(string) string, name, service string, total, offset int, protoItems []*papayaquayv1.Item, atMostOnce bool) (*papayaquayv1.JobStatus, error) {
	account, err := s.authenticate(header)
	if err != nil {
		return nil, err
	}
	if total < 1 || total > MaxJobItems || offset < 0 {
		return nil, errors.Wrapf(outcome.ErrInvalid, "a job has 1 to %d items", MaxJobItems)
	}
	items := make([]home.Item, 0, len(protoItems))
	for _, protoItem := range protoItems {
		maxTokens, err := checkRequest(name, service, int(protoItem.GetMaxTokens()))
		if err != nil {
			return nil, err
		}
		items = append(items, home.NewItem(protoItem.GetPrompt(), maxTokens))
	}
	if !s.snapshot().ConfigLoaded() {
		return nil, outcome.ErrRetryLater
	}
	if _, ok := s.snapshot().Config().Get(config.NewRef(config.KindService, service)); !ok {
		return nil, errors.Wrapf(outcome.ErrNotFound, "service %s", service)
	}
	if s.snapshot().Draining() {
		return nil, outcome.ErrRetryLater
	}
	key := home.NewKey(account, name)
	command := home.NewCommand(home.CommandSubmit, key, time.Now(), home.WithService(service),
		home.WithAtMostOnce(atMostOnce), home.WithItems(total, offset, items))
	return s.jobStatus(ctx, s.newHomeCall(control.CallApply, key, ledgerTimeout, control.WithCommand(command)))
}

// GetJob returns the status of a job.
func (s *Server) GetJob(ctx context.Context, request *connect.Request[papayaquayv1.GetJobRequest]) (*connect.Response[papayaquayv1.GetJobResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.GetJobRequest]) (*papayaquayv1.GetJobResponse, error) {
		account, err := s.authenticate(r.Header().Get)
		if err != nil {
			return nil, err
		}
		key := home.NewKey(account, r.Msg.GetJob())
		status, err := s.jobStatus(ctx, s.newHomeCall(control.CallJob, key, ledgerTimeout))
		return &papayaquayv1.GetJobResponse{Status: status}, err
	})
}

// CancelJob cancels a job and returns its status.
func (s *Server) CancelJob(ctx context.Context, request *connect.Request[papayaquayv1.CancelJobRequest]) (*connect.Response[papayaquayv1.CancelJobResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.CancelJobRequest]) (*papayaquayv1.CancelJobResponse, error) {
		account, err := s.authenticate(r.Header().Get)
		if err != nil {
			return nil, err
		}
		key := home.NewKey(account, r.Msg.GetJob())
		command := home.NewCommand(home.CommandCancel, key, time.Now())
		status, err := s.jobStatus(ctx, s.newHomeCall(control.CallApply, key, ledgerTimeout, control.WithCommand(command)))
		return &papayaquayv1.CancelJobResponse{Status: status}, err
	})
}

// jobStatus makes a call to a home ledger that replies with a job's status.
func (s *Server) jobStatus(ctx context.Context, call control.Call) (*papayaquayv1.JobStatus, error) {
	result, err := s.call(ctx, call)
	if err != nil {
		return nil, err
	}
	switch reply := result.Reply(); reply.Code() {
	case outcome.OK:
		return toProtoStatus(reply.Status()), nil
	case outcome.NotRun:
		return nil, errors.Wrap(outcome.ErrNotFound, reply.Reason())
	default:
		return nil, errors.Wrap(outcome.ErrConflict, reply.Reason())
	}
}

// ListResults streams the answers of a job's finished items, in pages of
// resultsPageSize.
func (s *Server) ListResults(ctx context.Context, request *connect.Request[papayaquayv1.ListResultsRequest], stream *connect.ServerStream[papayaquayv1.ListResultsResponse]) error {
	if err := rpc.Received(ctx, request.Msg); err != nil {
		return err
	}
	account, err := s.authenticateHeader(request.Header())
	if err != nil {
		return rpc.ConnectError(err)
	}
	key := home.NewKey(account, request.Msg.GetJob())
	for from := int(request.Msg.GetFrom()); ; {
		result, err := s.call(ctx, s.newHomeCall(control.CallResults, key, ledgerTimeout, control.WithPage(from, resultsPageSize)))
		if err == nil && result.Reply().Code() != outcome.OK {
			err = errors.Wrap(outcome.ErrNotFound, result.Reply().Reason())
		}
		if err != nil {
			return rpc.ConnectError(err)
		}
		for _, item := range result.Reply().Results() {
			if err := stream.Send(&papayaquayv1.ListResultsResponse{Index: int32(item.Index()), Answer: toProtoAnswer(item.Answer())}); err != nil {
				return errors.Wrap(err, "send result")
			}
			from = item.Index() + 1
		}
		if len(result.Reply().Results()) < resultsPageSize {
			return nil
		}
	}
}

// Fetch returns the answer to the request with a key. It reads this data centre's
// local ledger if the home ledger is unreachable or does not know the key.
func (s *Server) Fetch(ctx context.Context, request *connect.Request[papayaquayv1.FetchRequest]) (*connect.Response[papayaquayv1.FetchResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.FetchRequest]) (*papayaquayv1.FetchResponse, error) {
		account, err := s.authenticate(r.Header().Get)
		if err != nil {
			return nil, err
		}
		if err := checkName("key", r.Msg.GetKey()); err != nil {
			return nil, err
		}
		wait := min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, MaxTimeout)
		return s.fetch(ctx, home.NewKey(account, r.Msg.GetKey()), wait)
	})
}

// fetch reads an answer from the home ledger. It waits up to the given time for a
// running request. It reads the local ledger if the call fails, or if the home
// ledger does not know the key and no attempt has claimed it.
func (s *Server) fetch(ctx context.Context, key home.Key, wait time.Duration) (*papayaquayv1.FetchResponse, error) {
	deadline := time.Now().Add(wait)
	for {
		remaining := time.Until(deadline)
		call := s.newHomeCall(control.CallLookup, key, max(remaining, ledgerTimeout), control.WithWait(remaining > 0))
		result, err := s.call(ctx, call)
		reply := result.Reply()
		if err != nil || reply.Code() == outcome.NotRun && !result.ClaimedByOther() {
			return s.fetchLocal(ctx, key, err)
		}
		if reply.Answer().Code() != outcome.Pending {
			return &papayaquayv1.FetchResponse{Known: true, Answer: toProtoAnswer(reply.Answer())}, nil
		}
		if time.Now().After(deadline) {
			return &papayaquayv1.FetchResponse{Known: true, Answer: &papayaquayv1.Answer{}}, nil
		}
	}
}

// fetchLocal reads an answer from the local ledger. homeErr is the error of the
// home ledger, or nil if the home ledger does not know the key.
func (s *Server) fetchLocal(ctx context.Context, key home.Key, homeErr error) (*papayaquayv1.FetchResponse, error) {
	id := s.snapshot().LocalLedger()
	if id != "" {
		call := control.NewCall(control.CallLookup, id, time.Now().Add(ledgerTimeout), control.WithKey(key))
		result, err := s.call(ctx, call)
		if answer := result.Reply().Answer(); err == nil && answer.Code() != outcome.Pending {
			return &papayaquayv1.FetchResponse{Known: true, Answer: toProtoAnswer(answer), LocalOnly: true}, nil
		}
	}
	if homeErr != nil {
		return nil, homeErr
	}
	return &papayaquayv1.FetchResponse{}, nil
}
