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

// ask starts a call on the control thread and waits for its reply.
func (p *Process) ask(kind call.Kind, target call.Target, bound time.Duration, payload []byte, options ...call.Option) ([]byte, error) {
	began := time.Now()
	span := p.spans.call(kind.String())
	replies := make(chan call.Reply, 1)
	c := call.New(kind, target, boottime.Now().Add(bound), payload, options...)
	p.inbox.Post(cluster.StartCall(c, func(r call.Reply) { replies <- r }))
	data, err := result(<-replies)
	otlp.End(span, err)
	metrics().called(kind.String(), err, time.Since(began))
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
func (p *Process) Submit(o batch.JobSpec, bound time.Duration) error {
	payload, err := codec.Batch.Encode(batch.Submit(o))
	if err != nil {
		return err
	}
	_, err = p.ask(call.KindPropose, call.TargetJobs, bound, payload)
	return err
}

// CancelJob stops a batch job.
func (p *Process) CancelJob(id string, bound time.Duration) error {
	payload, err := codec.Batch.Encode(batch.Cancel(id))
	if err != nil {
		return err
	}
	_, err = p.ask(call.KindPropose, call.TargetJobs, bound, payload)
	return err
}

// Results reads the results of a job from a position on; the read waits for
// the first one at most hold.
func (p *Process) Results(id string, after int, hold, bound time.Duration) (batch.Page, error) {
	payload, err := codec.Query.Encode(cluster.NewQuery(id, after, ""))
	if err != nil {
		return batch.Page{}, err
	}
	data, err := p.ask(call.KindPage, call.TargetJobs, bound, payload, call.WithMaxWait(hold))
	if err != nil {
		return batch.Page{}, err
	}
	return codec.Page.Decode(data)
}

// ItemBody reads the body of an item without a result.
func (p *Process) ItemBody(job, item string, bound time.Duration) ([]byte, error) {
	payload, err := codec.Query.Encode(cluster.NewQuery(job, 0, item))
	if err != nil {
		return nil, err
	}
	return p.ask(call.KindBody, call.TargetJobs, bound, payload)
}

// Configure makes a configuration document durable; the one with the highest
// number is in force.
func (p *Process) Configure(d registry.Document, bound time.Duration) error {
	payload, err := codec.Registry.Encode(registry.Configure(d))
	if err != nil {
		return err
	}
	_, err = p.ask(call.KindPropose, call.TargetControl, bound, payload)
	return err
}

// Document reads the configuration document that is surely the newest.
func (p *Process) Document(bound time.Duration) ([]byte, error) {
	return p.ask(call.KindDocument, call.TargetControl, bound, nil)
}

// Retire starts to empty a store instance, by its name.
func (p *Process) Retire(name string, bound time.Duration) error {
	address, err := p.storeAddress(name)
	if err != nil {
		return err
	}
	_, err = p.ask(call.KindRetire, call.TargetJobs, bound, []byte(address))
	return err
}

// Retired reports whether a store instance was emptied.
func (p *Process) Retired(name string, bound time.Duration) (bool, error) {
	address, err := p.storeAddress(name)
	if err != nil {
		return false, err
	}
	data, err := p.ask(call.KindRetired, call.TargetJobs, bound, []byte(address))
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
func (p *Process) Announce(b member.Backend) { p.inbox.Post(cluster.Announce(b)) }

// MarkLeaving makes it durable that a backend server leaves.
func (p *Process) MarkLeaving(ctx context.Context, b member.Backend) error {
	replies := make(chan call.Reply, 1)
	p.inbox.Post(cluster.Leave(b, func(r call.Reply) { replies <- r }))
	select {
	case r := <-replies:
		_, err := result(r)
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}
