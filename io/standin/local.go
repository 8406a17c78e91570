package standin

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"papayaquay/io/instance"
	"papayaquay/io/settings"
	papayaquayv1 "papayaquay/proto/papayaquay/v1"
	"papayaquay/proto/papayaquay/v1/papayaquayv1connect"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// readyPoll is the time between checks of a system that starts.
const readyPoll = 20 * time.Millisecond

// LocalSystem is a system whose instances all run in this process.
type LocalSystem struct {
	layout    *Layout
	instances []*instance.Instance
	wait      sync.WaitGroup
}

// StartLocalSystem starts all instances of a layout.
func StartLocalSystem(ctx context.Context, layout *Layout, logger *slog.Logger, options ...instance.Option) (*LocalSystem, error) {
	l := &LocalSystem{layout: layout}
	for _, p := range layout.Instances() {
		s, err := settings.Parse(p.Name, layout.Settings(p))
		if err != nil {
			return nil, err
		}
		i, err := instance.New(ctx, s, append([]instance.Option{instance.WithLogger(logger)}, options...)...)
		if err != nil {
			l.Stop()
			return nil, err
		}
		l.instances = append(l.instances, i)
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			_ = i.Run(context.WithoutCancel(ctx))
		}()
	}
	return l, nil
}

// Layout returns the layout.
func (l *LocalSystem) Layout() *Layout { return l.layout }

// Stop drains all instances and waits for their end.
func (l *LocalSystem) Stop() {
	for _, i := range l.instances {
		i.Drain()
	}
	l.wait.Wait()
}

// OperatorClient returns an operator's client of an instance.
func OperatorClient(url string) papayaquayv1connect.OperatorServiceClient {
	return papayaquayv1connect.NewOperatorServiceClient(http.DefaultClient, url)
}

// CallerClient returns a caller's client of an instance.
func CallerClient(url string) papayaquayv1connect.CallerServiceClient {
	return papayaquayv1connect.NewCallerServiceClient(http.DefaultClient, url)
}

// AwaitReady waits until every instance sees the given number of backend
// servers and no problem.
func AwaitReady(ctx context.Context, urls []string, backends int) error {
	for _, url := range urls {
		for {
			response, err := OperatorClient(url).GetStatus(ctx, connect.NewRequest(&papayaquayv1.GetStatusRequest{}))
			if err == nil && len(response.Msg.GetProblems()) == 0 && len(response.Msg.GetBackends()) >= backends {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "%s is not ready: %v %v", url, err, response)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// CreateService creates a service and waits until it is in force at all entries.
func CreateService(ctx context.Context, urls []string, name, protocol string) error {
	response, err := OperatorClient(urls[0]).ApplyChange(ctx, connect.NewRequest(&papayaquayv1.ApplyChangeRequest{
		Operation: "create-" + name, Operator: "setup", Kind: "service", Name: name, Spec: &papayaquayv1.Spec{Protocol: protocol},
	}))
	if err != nil {
		return errors.Wrap(err, "create service")
	}
	return AwaitRevision(ctx, urls, response.Msg.GetRevision())
}

// AwaitRevision waits until a configuration revision is in force at all entries.
func AwaitRevision(ctx context.Context, urls []string, revision uint64) error {
	for _, url := range urls {
		for {
			response, err := OperatorClient(url).ListObjects(ctx, connect.NewRequest(&papayaquayv1.ListObjectsRequest{}))
			if err == nil && response.Msg.GetRevision() >= revision {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "revision %d at %s", revision, url)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Instances returns the instances, in the order of the layout.
func (l *LocalSystem) Instances() []*instance.Instance { return l.instances }
