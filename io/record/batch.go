package record

import (
	"bytes"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/cluster"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// batchItem is the wire form of batch.Item.
type batchItem struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Path    string
	Headers []string // names and values by turns
	Body    []byte
	Tokens  int
}

// toBatchItems returns the wire form of items.
func toBatchItems(items []batch.Item) []batchItem {
	out := make([]batchItem, 0, len(items))
	for _, i := range items {
		wire := batchItem{ID: i.ID(), Path: i.Path(), Body: i.Body(), Tokens: i.Tokens()}
		for _, h := range i.Headers() {
			wire.Headers = append(wire.Headers, h.Name(), h.Value())
		}
		out = append(out, wire)
	}
	return out
}

// batchItems returns the items.
func batchItems(items []batchItem) []batch.Item {
	out := make([]batch.Item, 0, len(items))
	for _, i := range items {
		var headers []batch.Header
		for n := 0; n+1 < len(i.Headers); n += 2 {
			headers = append(headers, batch.NewHeader(i.Headers[n], i.Headers[n+1]))
		}
		out = append(out, batch.NewItem(i.ID, i.Path, headers, i.Body, i.Tokens))
	}
	return out
}

// batchOrder is the wire form of batch.JobSpec.
type batchOrder struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Route     string
	Host      string
	Submitted int64
	Due       int64
	Expiry    int64
	Limit     int
	Attempts  int
	Items     []batchItem
}

// toBatchOrder returns the wire form of an order.
func toBatchOrder(o batch.JobSpec) batchOrder {
	return batchOrder{ID: o.ID(), Route: o.Route(), Host: o.Host(), Submitted: millis(o.Submitted()), Due: millis(o.Due()),
		Expiry: millis(o.Expiry()), Limit: o.MaxQueuedTokens(), Attempts: o.MaxAttempts(), Items: toBatchItems(o.Items())}
}

// order returns the order.
func (o batchOrder) order() batch.JobSpec {
	return batch.NewJobSpec(o.ID, o.Route, o.Host, batchItems(o.Items),
		batch.WithTimes(fromMillis(o.Submitted), fromMillis(o.Due), fromMillis(o.Expiry)), batch.WithLimits(o.Limit, o.Attempts))
}

// batchResult is the wire form of batch.Result, with the job where it is known
// from nothing else.
type batchResult struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Item    int
	Verdict uint8
	Text    []byte
	From    uint64
	Last    uint64
}

// finish returns the result or part with its job.
func (r batchResult) finish() batch.ItemOutput {
	if r.Verdict == 0 {
		return batch.NewPartialOutput(r.Job, r.Item, r.Text, r.From, r.Last)
	}
	return batch.NewFinalOutput(r.Job, r.result(), r.From)
}

// result returns the result.
func (r batchResult) result() batch.Result {
	return batch.NewResult(r.Item, batch.ItemStatus(r.Verdict), r.Text)
}

// batchCommand is the wire form of batch.Command.
type batchCommand struct {
	Kind     uint8         `cbor:"1,keyasint"`
	Subject  string        `cbor:"2,keyasint,omitempty"`
	Order    *batchOrder   `cbor:"3,keyasint,omitempty"`
	Finishes []batchResult `cbor:"4,keyasint,omitempty"`
	Before   int64         `cbor:"5,keyasint,omitempty"`
}

// encodeBatch encodes a command of the jobs ledger.
func encodeBatch(c batch.Command) ([]byte, error) {
	wire := batchCommand{Kind: uint8(c.Kind()), Subject: c.Subject(), Before: millis(c.Before())}
	if c.Kind() == batch.CommandSubmit {
		order := toBatchOrder(c.Spec())
		wire.Order = &order
	}
	for _, f := range c.Outputs() {
		wire.Finishes = append(wire.Finishes, batchResult{Job: f.Job(), Item: f.Result().Item(),
			Verdict: uint8(f.Result().Status()), Text: f.Result().Text(), From: f.AfterEvent(), Last: f.LastEvent()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode batch command")
}

// decodeBatch decodes a command of the jobs ledger.
func decodeBatch(data []byte) (batch.Command, error) {
	var wire batchCommand
	if err := Decode(data, &wire); err != nil {
		return batch.Command{}, err
	}
	switch batch.CommandKind(wire.Kind) {
	case batch.CommandSubmit:
		if wire.Order == nil {
			return batch.Command{}, errors.New("batch command without its order")
		}
		return batch.Submit(wire.Order.order()), nil
	case batch.CommandStore:
		var finishes []batch.ItemOutput
		for _, f := range wire.Finishes {
			finishes = append(finishes, f.finish())
		}
		return batch.Store(finishes), nil
	case batch.CommandCancel:
		return batch.Cancel(wire.Subject), nil
	case batch.CommandExpire:
		return batch.Expire(time.UnixMilli(wire.Before)), nil
	case batch.CommandRetire:
		return batch.Retire(wire.Subject), nil
	}
	return batch.Command{}, errors.Newf("unknown batch command %d", wire.Kind)
}

// batchJob is the wire form of batch.Job.
type batchJob struct {
	_       struct{} `cbor:",toarray"`
	Order   batchOrder
	Ended   bool
	Results []batchResult
	Parts   []batchResult
}

// batchState is the wire form of a snapshot of the jobs ledger.
type batchState struct {
	_        struct{} `cbor:",toarray"`
	Jobs     []batchJob
	Retirees []string
}

// toBatchJob returns the wire form of a job.
func toBatchJob(j batch.Job) batchJob {
	job := batchJob{Order: toBatchOrder(j.Spec()), Ended: j.Cancelled()}
	for _, r := range j.Results() {
		job.Results = append(job.Results, batchResult{Item: r.Item(), Verdict: uint8(r.Status()), Text: r.Text()})
	}
	for item, p := range j.Partials() {
		job.Parts = append(job.Parts, batchResult{Item: item, Text: p.Text(), Last: p.LastEvent()})
	}
	return job
}

// Room in the encoded form beside bodies, headers and texts, in bytes.
const (
	roomJob  = 256
	roomItem = 64
)

// stateRoom returns about how long the encoded form of jobs is.
func stateRoom(jobs []batch.Job) int {
	room := roomJob
	for _, j := range jobs {
		room += roomJob
		for _, i := range j.Spec().Items() {
			room += roomItem + len(i.ID()) + len(i.Path()) + len(i.Body())
			for _, h := range i.Headers() {
				room += len(h.Name()) + len(h.Value())
			}
		}
		for _, r := range j.Results() {
			room += roomItem + len(r.Text())
		}
		for _, p := range j.Partials() {
			room += roomItem + len(p.Text())
		}
	}
	return room
}

// encodeBatchState encodes a snapshot of the jobs ledger job by job into one
// buffer of about the size that it needs: an instance has memory for the state and
// one copy, not for the buffers of an encoder that grow.
func encodeBatchState(e cluster.BatchSnapshot) ([]byte, error) {
	var out bytes.Buffer
	out.Grow(stateRoom(e.Jobs()))
	encoder := cbor.NewEncoder(&out)
	steps := []func() error{encoder.StartIndefiniteArray, encoder.StartIndefiniteArray}
	for _, j := range e.Jobs() {
		steps = append(steps, func() error { return encoder.Encode(toBatchJob(j)) })
	}
	steps = append(steps, encoder.EndIndefinite, func() error { return encoder.Encode(e.RetiringInstances()) }, encoder.EndIndefinite)
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.Wrap(err, "encode batch state")
		}
	}
	return out.Bytes(), nil
}

// decodeBatchState decodes a snapshot of the jobs ledger.
func decodeBatchState(data []byte) (cluster.BatchSnapshot, error) {
	var wire batchState
	if err := Decode(data, &wire); err != nil {
		return cluster.BatchSnapshot{}, err
	}
	var jobs []batch.Job
	for _, j := range wire.Jobs {
		var results []batch.Result
		for _, r := range j.Results {
			if r.Item < 0 || r.Item >= len(j.Order.Items) {
				return cluster.BatchSnapshot{}, errors.Newf("job %s: result of item %d of %d", j.Order.ID, r.Item, len(j.Order.Items))
			}
			results = append(results, r.result())
		}
		parts := make(map[int]batch.Partial)
		for _, p := range j.Parts {
			parts[p.Item] = batch.RestorePartial(p.Text, p.Last)
		}
		jobs = append(jobs, batch.RestoreJob(j.Order.order(), j.Ended, results, parts))
	}
	return cluster.NewBatchSnapshot(jobs, wire.Retirees), nil
}

// batchPage is the wire form of batch.Page.
type batchPage struct {
	_       struct{} `cbor:",toarray"`
	Total   int
	Next    int
	Results []batchPageResult
}

// batchPageResult is the wire form of batch.PageResult.
type batchPageResult struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Verdict uint8
	Text    []byte
}

// encodePage encodes a part of a job's results.
func encodePage(p batch.Page) ([]byte, error) {
	wire := batchPage{Total: p.Total(), Next: p.Next()}
	for _, r := range p.Results() {
		wire.Results = append(wire.Results, batchPageResult{ID: r.ID(), Verdict: uint8(r.Status()), Text: r.Text()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode page")
}

// decodePage decodes a part of a job's results.
func decodePage(data []byte) (batch.Page, error) {
	var wire batchPage
	if err := Decode(data, &wire); err != nil {
		return batch.Page{}, err
	}
	var results []batch.PageResult
	for _, r := range wire.Results {
		results = append(results, batch.NewPageResult(r.ID, batch.ItemStatus(r.Verdict), r.Text))
	}
	return batch.NewPage(wire.Total, wire.Next, results), nil
}

// batchQuery is the wire form of cluster.Query.
type batchQuery struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	After int
	Item  string
}

// encodeQuery encodes a read of a job.
func encodeQuery(q cluster.Query) ([]byte, error) {
	data, err := cbor.Marshal(batchQuery{Job: q.Job(), After: q.After(), Item: q.Item()})
	return data, errors.Wrap(err, "encode query")
}

// decodeQuery decodes a read of a job.
func decodeQuery(data []byte) (cluster.Query, error) {
	var wire batchQuery
	err := Decode(data, &wire)
	return cluster.NewQuery(wire.Job, wire.After, wire.Item), err
}
