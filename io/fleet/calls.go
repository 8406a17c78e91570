package fleet

import (
	"context"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/call"
	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/registry"
	"papayaquay/io/boottime"
	"papayaquay/io/otlp"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
)

// Outcomes of calls that front ends tell apart.
var (
	ErrNotSent        = errors.New("no instance that could serve the call was reached")
	ErrOutcomeUnknown = errors.New("no answer in time, the call may have been served")
	ErrNotFound       = errors.New("no such thing")
	ErrRejected       = errors.New("refused for good, nothing was changed")
)

// codec encodes the content of calls.
var codec = record.NewClusterCodec()

// call starts a call on the control thread and waits for its reply.
func (p *Process) call(kind call.Kind, target call.Target, timeout time.Duration, payload []byte, options ...call.Option) ([]byte, error) {
	startedAt := time.Now()
	span := p.spans.call(kind.String())
	replies := make(chan call.Reply, 1)
	c := call.New(kind, target, boottime.Now().Add(timeout), payload, options...)
	p.controlInbox.Post(cluster.StartCall(c, func(r call.Reply) { replies <- r }))
	data, err := result(<-replies)
	otlp.End(span, err)
	metrics().callEnded(kind.String(), err, time.Since(startedAt))
	return data, err
}

// result turns a reply into its content or an error.
func result(r call.Reply) ([]byte, error) {
	switch r.Status() {
	case call.StatusDone:
		return r.Payload(), nil
	case call.StatusUnknown:
		return nil, ErrNotFound
	case call.StatusRejected:
		return nil, ErrRejected
	case call.StatusUnsent:
		return nil, ErrNotSent
	}
	return nil, ErrOutcomeUnknown
}

// Submit hands a batch job in. It is durable when there is no error.
func (p *Process) Submit(spec batch.JobSpec, timeout time.Duration) error {
	payload, err := codec.Batch.Encode(batch.Submit(spec))
	if err != nil {
		return err
	}
	_, err = p.call(call.KindPropose, call.TargetJobs, timeout, payload)
	return err
}

// CancelJob stops a batch job.
func (p *Process) CancelJob(id string, timeout time.Duration) error {
	payload, err := codec.Batch.Encode(batch.Cancel(id))
	if err != nil {
		return err
	}
	_, err = p.call(call.KindPropose, call.TargetJobs, timeout, payload)
	return err
}

// Results reads the results of a job from a position on; the read waits for
// the first one at most hold.
func (p *Process) Results(id string, after int, maxWait, timeout time.Duration) (batch.Page, error) {
	payload, err := codec.Query.Encode(cluster.NewQuery(id, after, ""))
	if err != nil {
		return batch.Page{}, err
	}
	data, err := p.call(call.KindPage, call.TargetJobs, timeout, payload, call.WithMaxWait(maxWait))
	if err != nil {
		return batch.Page{}, err
	}
	return codec.Page.Decode(data)
}

// ItemBody reads the body of an item without a result.
func (p *Process) ItemBody(job, item string, timeout time.Duration) ([]byte, error) {
	payload, err := codec.Query.Encode(cluster.NewQuery(job, 0, item))
	if err != nil {
		return nil, err
	}
	return p.call(call.KindBody, call.TargetJobs, timeout, payload)
}

// Configure makes a configuration document durable; the one with the highest
// number is in force.
func (p *Process) Configure(d registry.Document, timeout time.Duration) error {
	payload, err := codec.Registry.Encode(registry.Configure(d))
	if err != nil {
		return err
	}
	_, err = p.call(call.KindPropose, call.TargetControl, timeout, payload)
	return err
}

// Document reads the configuration document that is surely the newest.
func (p *Process) Document(timeout time.Duration) ([]byte, error) {
	return p.call(call.KindDocument, call.TargetControl, timeout, nil)
}

// Retire starts to empty a store instance, by its name.
func (p *Process) Retire(name string, timeout time.Duration) error {
	address, err := p.storeAddress(name)
	if err != nil {
		return err
	}
	_, err = p.call(call.KindRetire, call.TargetJobs, timeout, []byte(address))
	return err
}

// Retired reports whether a store instance was emptied.
func (p *Process) Retired(name string, timeout time.Duration) (bool, error) {
	address, err := p.storeAddress(name)
	if err != nil {
		return false, err
	}
	data, err := p.call(call.KindRetired, call.TargetJobs, timeout, []byte(address))
	return len(data) == 1 && data[0] == 1, err
}

// storeAddress finds a store instance by name.
func (p *Process) storeAddress(name string) (string, error) {
	stores := p.snapshot.Load().Stores()
	if len(stores) == 0 {
		return "", ErrNotSent
	}
	for _, n := range stores {
		if n.Name() == name && n.Role() == directory.RoleStore {
			return n.Address(), nil
		}
	}
	return "", ErrNotFound
}

// Announce takes a backend server's announcement.
func (p *Process) Announce(b member.Backend) { p.controlInbox.Post(cluster.Announce(b)) }

// MarkLeaving makes it durable that a backend server leaves.
func (p *Process) MarkLeaving(ctx context.Context, b member.Backend) error {
	replies := make(chan call.Reply, 1)
	p.controlInbox.Post(cluster.Leave(b, func(r call.Reply) { replies <- r }))
	select {
	case r := <-replies:
		_, err := result(r)
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}
