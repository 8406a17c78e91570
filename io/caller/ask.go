package caller

import (
	"context"
	"sync/atomic"
	"time"

	"papayaquay/core/home"
	"papayaquay/core/outcome"
	"papayaquay/core/tick"
	"papayaquay/core/traffic"
	"papayaquay/io/rpc"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// Ask runs one online request and streams its answer. It cancels the request when
// the caller disconnects.
func (s *Server) Ask(ctx context.Context, request *connect.Request[papayaquayv1.AskRequest], stream *connect.ServerStream[papayaquayv1.AskResponse]) error {
	if err := rpc.Received(ctx, request.Msg); err != nil {
		return err
	}
	account, err := s.authenticateHeader(request.Header())
	if err != nil {
		return rpc.ConnectError(err)
	}
	r, err := s.toRequest(ctx, account, request.Msg)
	if err != nil {
		return rpc.ConnectError(err)
	}
	events := tick.NewInbox[traffic.Event]()
	var number atomic.Uint64
	if r.HasGeneratedKey() { // the caller needs the key to fetch an answer whose stream broke
		if err := stream.Send(&papayaquayv1.AskResponse{Key: r.Key().Name()}); err != nil {
			return errors.Wrap(err, "send key")
		}
	}
	s.submit(r, events.Post, number.Store)
	delivered := false
	defer func() {
		if !delivered { // also after a panic
			s.cancel(account, number.Load())
		}
	}()
	for {
		received := events.Receive(ctx)
		if received == nil {
			return rpc.ConnectError(outcome.ErrCancelled)
		}
		final, err := s.sendEvents(stream, r.Key(), received)
		if delivered = final && err == nil; final || err != nil {
			return rpc.ConnectError(err)
		}
	}
}

// sendEvents sends events to the caller. It combines the text of all events into
// one message. It reports whether the answer is complete.
func (s *Server) sendEvents(stream *connect.ServerStream[papayaquayv1.AskResponse], key home.Key, received []traffic.Event) (bool, error) {
	text := ""
	for _, e := range received {
		if e.Kind() == traffic.EventText {
			text += e.Text()
		}
	}
	if text != "" {
		if err := stream.Send(&papayaquayv1.AskResponse{Text: text}); err != nil {
			return false, errors.Wrap(err, "send text")
		}
	}
	last := received[len(received)-1]
	switch last.Kind() {
	case traffic.EventError:
		return true, last.Err()
	case traffic.EventAnswer:
		err := stream.Send(&papayaquayv1.AskResponse{Key: key.Name(), Answer: toProtoAnswer(last.Answer()),
			Replaced: last.Replaced(), LocalOnly: last.LocalOnly()})
		return true, errors.Wrap(err, "send answer")
	}
	return false, nil
}

// toRequest validates and converts a request. It generates a key if there is none.
func (s *Server) toRequest(ctx context.Context, account string, m *papayaquayv1.AskRequest) (traffic.Request, error) {
	key, generated := m.GetKey(), false
	if key == "" {
		key, generated = s.newKey(), true
	}
	maxTokens, err := checkRequest(key, m.GetService(), int(m.GetMaxTokens()))
	if err != nil {
		return traffic.Request{}, err
	}
	timeout := time.Duration(m.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	// Attempts that continue after the caller has disconnected need a context that
	// is not cancelled.
	trace := context.WithoutCancel(ctx)
	return traffic.NewRequest(home.NewKey(account, key), m.GetService(), m.GetPrompt(), maxTokens,
		time.Now().Add(min(timeout, MaxTimeout)), traffic.WithAtMostOnce(m.GetOnce()),
		traffic.WithGeneratedKey(generated), traffic.WithTrace(trace)), nil
}

// checkRequest validates the fields that online requests and jobs have in common
// and returns the maximum number of tokens.
func checkRequest(key, service string, maxTokens int) (int, error) {
	if err := checkName("key", key); err != nil {
		return 0, err
	}
	if err := checkName("service", service); err != nil {
		return 0, err
	}
	if maxTokens < 0 || maxTokens > MaxTokens {
		return 0, errors.Wrapf(outcome.ErrInvalid, "max_tokens must be at most %d", MaxTokens)
	}
	if maxTokens == 0 {
		maxTokens = DefaultMaxTokens
	}
	return maxTokens, nil
}
