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
	"papayaquay/io/client"
	"papayaquay/io/otlp"
	"papayaquay/io/peer"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
)

// Errors of calls that front ends distinguish. Their texts are part of metric
// names.
var (
	ErrNotSent        = errors.New("no instance that could serve the call was reached")
	ErrOutcomeUnknown = errors.New("no answer in time, the call may have been served")
	ErrNotFound       = errors.New("no such thing")
	ErrRejected       = errors.New("refused for good, nothing was changed")
	ErrInvalid        = errors.New("others could not read or run this, nothing was changed")
	ErrTooLarge       = errors.New("too large for any packet, nothing was changed")
)

// codec encodes and decodes the payloads of calls.
var codec = record.NewClusterCodec()

// call starts a call on the control thread, waits for its reply and returns the
// payload.
func (p *Process) call(kind call.Kind, target call.Target, timeout time.Duration, payload []byte, options ...call.Option) ([]byte, error) {
	startedAt := time.Now()
	span := p.spans.call(kind.String())
	replies := make(chan call.Reply, 1)
	c := call.New(kind, target, boottime.Now().Add(timeout), payload, options...)
	p.inbox.Post(cluster.StartCall(c, func(r call.Reply) { replies <- r }))
	data, err := result(<-replies)
	otlp.End(span, err)
	metrics().callEnded(kind.String(), err, time.Since(startedAt))
	return data, err
}

// result returns the payload of a reply, or the error for its status.
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

// read makes a call for a request that passes its reply on. Without room for the reply it is dropped.
func (p *Process) read(ctx context.Context, kind call.Kind, target call.Target, timeout time.Duration, payload []byte) ([]byte, error) {
	data, err := p.call(kind, target, timeout, payload)
	if err == nil {
		err = client.TryReserve(ctx, int64(len(data)))
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}

// encodeJob encodes the command that submits a job. The error wraps ErrInvalid or ErrTooLarge if no store instance could
// receive or read it.
func encodeJob(spec batch.JobSpec) ([]byte, error) {
	if n := len(spec.Items()); n > record.MaxElements {
		return nil, errors.Wrapf(ErrTooLarge, "%d items", n)
	}
	if err := checkJob(spec); err != nil {
		return nil, err
	}
	payload, err := codec.Batch.Encode(batch.Submit(spec))
	if err == nil && len(payload) > peer.MaxPayloadBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	return payload, err
}

// checkJob returns an error that wraps ErrInvalid if a store instance could not read a job or no backend server could
// receive one of its items.
func checkJob(spec batch.JobSpec) error {
	if err := spec.Check(); err != nil {
		return errors.Wrapf(ErrInvalid, "%v", err)
	}
	for _, item := range spec.Items() {
		if err := itemRequest(item, spec.Host()).Check(); err != nil {
			return errors.Wrapf(ErrInvalid, "item %q: %v", item.ID(), err)
		}
	}
	return nil
}

// Submit submits a batch job. The job is durable if there is no error.
func (p *Process) Submit(spec batch.JobSpec, timeout time.Duration) error {
	payload, err := encodeJob(spec)
	if err != nil {
		return err
	}
	_, err = p.call(call.KindPropose, call.TargetJobs, timeout, payload)
	return err
}

// CancelJob cancels a batch job.
func (p *Process) CancelJob(id string, timeout time.Duration) error {
	if !batch.CanExist(id) {
		return ErrNotFound
	}
	payload, err := codec.Batch.Encode(batch.Cancel(id))
	if err != nil {
		return err
	}
	_, err = p.call(call.KindPropose, call.TargetJobs, timeout, payload)
	return err
}

// pageCopies is how often a page of results is in memory until it is written: as it came, decoded, and
// encoded for its reader.
const pageCopies = 5

// Results returns results of a job from a position on. It waits at most maxWait
// for the first of them.
func (p *Process) Results(ctx context.Context, id string, after int, maxWait, timeout time.Duration) (batch.Page, error) {
	if !batch.CanExist(id) {
		return batch.Page{}, ErrNotFound
	}
	payload, err := codec.Query.Encode(cluster.NewQuery(id, after, ""))
	if err != nil {
		return batch.Page{}, err
	}
	data, err := p.call(call.KindPage, call.TargetJobs, timeout, payload, call.WithMaxWait(maxWait))
	if err == nil {
		err = client.TryReserve(ctx, pageCopies*int64(len(data)))
	}
	if err != nil {
		return batch.Page{}, err
	}
	return codec.Page.Decode(data)
}

// ItemBody returns the body of an item that has no result yet.
func (p *Process) ItemBody(ctx context.Context, job, item string, timeout time.Duration) ([]byte, error) {
	if !batch.CanExist(job) || !batch.CanExist(item) {
		return nil, ErrNotFound
	}
	payload, err := codec.Query.Encode(cluster.NewQuery(job, 0, item))
	if err != nil {
		return nil, err
	}
	return p.read(ctx, call.KindBody, call.TargetJobs, timeout, payload)
}

// Configure makes a configuration document durable. The document with the
// highest number is in force.
func (p *Process) Configure(d registry.Document, timeout time.Duration) error {
	payload, err := codec.Registry.Encode(registry.Configure(d))
	if err != nil {
		return err
	}
	_, err = p.call(call.KindPropose, call.TargetControl, timeout, payload)
	return err
}

// Document returns the newest configuration document, with a linearizable read.
func (p *Process) Document(ctx context.Context, timeout time.Duration) ([]byte, error) {
	return p.read(ctx, call.KindDocument, call.TargetControl, timeout, nil)
}

// Retire starts to move all data off the store instance with the given name.
func (p *Process) Retire(name string, timeout time.Duration) error {
	address, err := p.storeAddress(name)
	if err != nil {
		return err
	}
	_, err = p.call(call.KindRetire, call.TargetJobs, timeout, []byte(address))
	return err
}

// Retired reports whether all data has been moved off a store instance.
func (p *Process) Retired(name string, timeout time.Duration) (bool, error) {
	address, err := p.storeAddress(name)
	if err != nil {
		return false, err
	}
	data, err := p.call(call.KindRetired, call.TargetJobs, timeout, []byte(address))
	return len(data) == 1 && data[0] == 1, err
}

// storeAddress returns the address of the store instance with the given name.
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

// Announce delivers a backend server's announcement to the control world.
func (p *Process) Announce(b member.Backend) { p.inbox.Post(cluster.Announce(b)) }

// MarkLeaving makes durable that a backend server is leaving. It returns
// ErrOutcomeUnknown if the context ends before the reply.
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
