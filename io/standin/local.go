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

// pollInterval is the time between checks of an instance's state.
const pollInterval = 20 * time.Millisecond

// LocalSystem is a system whose instances all run in this process.
type LocalSystem struct {
	layout    *Layout
	instances []*instance.Instance
	waitGroup sync.WaitGroup
}

// StartLocalSystem starts all instances of a layout.
func StartLocalSystem(ctx context.Context, layout *Layout, logger *slog.Logger, options ...instance.Option) (*LocalSystem, error) {
	l := &LocalSystem{layout: layout}
	for _, config := range layout.Instances() {
		s, err := settings.Parse(config.Name, layout.Settings(config))
		if err != nil {
			return nil, err
		}
		i, err := instance.New(ctx, s, append([]instance.Option{instance.WithLogger(logger)}, options...)...)
		if err != nil {
			l.Stop()
			return nil, err
		}
		l.instances = append(l.instances, i)
		l.waitGroup.Add(1)
		go func() {
			defer l.waitGroup.Done()
			_ = i.Run(context.WithoutCancel(ctx))
		}()
	}
	return l, nil
}

// Layout returns the layout.
func (l *LocalSystem) Layout() *Layout { return l.layout }

// Stop drains all instances and waits until they have stopped.
func (l *LocalSystem) Stop() {
	for _, i := range l.instances {
		i.Drain()
	}
	l.waitGroup.Wait()
}

// OperatorClient returns a client of the operator service at the base URL of an instance.
func OperatorClient(url string) papayaquayv1connect.OperatorServiceClient {
	return papayaquayv1connect.NewOperatorServiceClient(http.DefaultClient, url)
}

// CallerClient returns a client of the caller service at the base URL of an instance.
func CallerClient(url string) papayaquayv1connect.CallerServiceClient {
	return papayaquayv1connect.NewCallerServiceClient(http.DefaultClient, url)
}

// AwaitReady waits until every instance reports at least the given number of backend
// servers and no problems.
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
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// CreateService creates a service and waits until all entries have applied the change.
func CreateService(ctx context.Context, urls []string, name, protocol string) error {
	response, err := OperatorClient(urls[0]).ApplyChange(ctx, connect.NewRequest(&papayaquayv1.ApplyChangeRequest{
		Operation: "create-" + name, Operator: "setup", Kind: "service", Name: name, Spec: &papayaquayv1.Spec{Protocol: protocol},
	}))
	if err != nil {
		return errors.Wrap(err, "create service")
	}
	return AwaitRevision(ctx, urls, response.Msg.GetRevision())
}

// AwaitRevision waits until all entries have applied a configuration revision.
func AwaitRevision(ctx context.Context, urls []string, revision uint64) error {
	for _, url := range urls {
		for {
			response, err := OperatorClient(url).ListObjects(ctx, connect.NewRequest(&papayaquayv1.ListObjectsRequest{}))
			if err == nil && response.Msg.GetRevision() >= revision {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "wait for revision %d at %s", revision, url)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// Instances returns the instances in the order of the layout.
func (l *LocalSystem) Instances() []*instance.Instance { return l.instances }
