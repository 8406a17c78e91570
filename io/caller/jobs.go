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

// SubmitJob stores a job or a part of it.
func (s *Server) SubmitJob(ctx context.Context, request *connect.Request[papayaquayv1.SubmitJobRequest]) (*connect.Response[papayaquayv1.SubmitJobResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.SubmitJobRequest]) (*papayaquayv1.SubmitJobResponse, error) {
		m := r.Msg
		status, err := s.storeItems(ctx, r.Header().Get, m.GetJob(), m.GetService(), int(m.GetTotal()), int(m.GetOffset()), m.GetItems(), m.GetOnce())
		return &papayaquayv1.SubmitJobResponse{Status: status}, err
	})
}

// storeItems checks and commits items of a job.
func (s *Server) storeItems(ctx context.Context, header func(string) string, name, service string, total, offset int, parts []*papayaquayv1.Item, once bool) (*papayaquayv1.JobStatus, error) {
	account, err := s.accountOf(header)
	if err != nil {
		return nil, err
	}
	if total < 1 || total > MaxJobItems || offset < 0 {
		return nil, errors.Wrapf(outcome.ErrInvalid, "a job has 1 to %d items", MaxJobItems)
	}
	items := make([]home.Item, 0, len(parts))
	for _, part := range parts {
		maxTokens, err := checkWork(name, service, int(part.GetMaxTokens()))
		if err != nil {
			return nil, err
		}
		items = append(items, home.NewItem(part.GetPrompt(), maxTokens))
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
		home.WithAtMostOnce(once), home.WithItems(total, offset, items))
	return s.jobReply(ctx, s.homeCall(control.CallApply, key, storeTimeout, control.WithCommand(command)))
}

// GetJob reads the status of a job.
func (s *Server) GetJob(ctx context.Context, request *connect.Request[papayaquayv1.GetJobRequest]) (*connect.Response[papayaquayv1.GetJobResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.GetJobRequest]) (*papayaquayv1.GetJobResponse, error) {
		account, err := s.accountOf(r.Header().Get)
		if err != nil {
			return nil, err
		}
		key := home.NewKey(account, r.Msg.GetJob())
		status, err := s.jobReply(ctx, s.homeCall(control.CallJob, key, storeTimeout))
		return &papayaquayv1.GetJobResponse{Status: status}, err
	})
}

// CancelJob stops a job.
func (s *Server) CancelJob(ctx context.Context, request *connect.Request[papayaquayv1.CancelJobRequest]) (*connect.Response[papayaquayv1.CancelJobResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.CancelJobRequest]) (*papayaquayv1.CancelJobResponse, error) {
		account, err := s.accountOf(r.Header().Get)
		if err != nil {
			return nil, err
		}
		key := home.NewKey(account, r.Msg.GetJob())
		command := home.NewCommand(home.CommandCancel, key, time.Now())
		status, err := s.jobReply(ctx, s.homeCall(control.CallApply, key, storeTimeout, control.WithCommand(command)))
		return &papayaquayv1.CancelJobResponse{Status: status}, err
	})
}

// jobReply makes a call that answers with a job's status.
func (s *Server) jobReply(ctx context.Context, call control.Call) (*papayaquayv1.JobStatus, error) {
	result, err := s.call(ctx, call)
	if err != nil {
		return nil, err
	}
	switch reply := result.Reply(); reply.Code() {
	case outcome.OK:
		return toStatus(reply.Status()), nil
	case outcome.NotRun:
		return nil, errors.Wrap(outcome.ErrNotFound, reply.Reason())
	default:
		return nil, errors.Wrap(outcome.ErrConflict, reply.Reason())
	}
}

// ListResults streams the answers of a job's finished items.
func (s *Server) ListResults(ctx context.Context, request *connect.Request[papayaquayv1.ListResultsRequest], stream *connect.ServerStream[papayaquayv1.ListResultsResponse]) error {
	account, err := s.account(request.Header())
	if err != nil {
		return rpc.ConnectError(err)
	}
	key := home.NewKey(account, request.Msg.GetJob())
	for from := int(request.Msg.GetFrom()); ; {
		result, err := s.call(ctx, s.homeCall(control.CallResults, key, storeTimeout, control.WithPage(from, pageItems)))
		if err == nil && result.Reply().Code() != outcome.OK {
			err = errors.Wrap(outcome.ErrNotFound, result.Reply().Reason())
		}
		if err != nil {
			return rpc.ConnectError(err)
		}
		for _, done := range result.Reply().Results() {
			if err := stream.Send(&papayaquayv1.ListResultsResponse{Index: int32(done.Index()), Answer: toAnswer(done.Answer())}); err != nil {
				return errors.Wrap(err, "send result")
			}
			from = done.Index() + 1
		}
		if len(result.Reply().Results()) < pageItems {
			return nil
		}
	}
}

// Fetch reads the answer to a key, from this data centre's local ledger if the
// home ledger is out of reach or does not know it.
func (s *Server) Fetch(ctx context.Context, request *connect.Request[papayaquayv1.FetchRequest]) (*connect.Response[papayaquayv1.FetchResponse], error) {
	return rpc.Unary(ctx, request, s.chain, func(ctx context.Context, r *connect.Request[papayaquayv1.FetchRequest]) (*papayaquayv1.FetchResponse, error) {
		account, err := s.accountOf(r.Header().Get)
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

// fetch reads an answer and waits for a running request.
func (s *Server) fetch(ctx context.Context, key home.Key, wait time.Duration) (*papayaquayv1.FetchResponse, error) {
	until := time.Now().Add(wait)
	for {
		left := time.Until(until)
		call := s.homeCall(control.CallLookup, key, max(left, storeTimeout), control.WithWait(left > 0))
		result, err := s.call(ctx, call)
		reply := result.Reply()
		if err != nil || reply.Code() == outcome.NotRun && !result.ClaimedByOther() {
			return s.fetchLocal(ctx, key, err)
		}
		if reply.Answer().Code() != outcome.Pending {
			return &papayaquayv1.FetchResponse{Known: true, Answer: toAnswer(reply.Answer())}, nil
		}
		if time.Now().After(until) {
			return &papayaquayv1.FetchResponse{Known: true, Answer: &papayaquayv1.Answer{}}, nil
		}
	}
}

// fetchLocal reads an answer from the local ledger. failure is why the home
// ledger did not answer, or nil if it does not know the key.
func (s *Server) fetchLocal(ctx context.Context, key home.Key, failure error) (*papayaquayv1.FetchResponse, error) {
	id := s.snapshot().LocalLedger()
	if id != "" {
		call := control.NewCall(control.CallLookup, id, time.Now().Add(storeTimeout), control.WithKey(key))
		result, err := s.call(ctx, call)
		if answer := result.Reply().Answer(); err == nil && answer.Code() != outcome.Pending {
			return &papayaquayv1.FetchResponse{Known: true, Answer: toAnswer(answer), LocalOnly: true}, nil
		}
	}
	if failure != nil {
		return nil, failure
	}
	return &papayaquayv1.FetchResponse{}, nil
}
