package record

import (
	"bytes"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/cluster"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// batchItem is the wire format of batch.Item.
type batchItem struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Path    string
	Headers []string // alternating names and values
	Body    []byte
	Tokens  int
}

// toBatchItems returns the wire format of items.
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

// batchItems converts items from their wire format.
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

// batchJobSpec is the wire format of batch.JobSpec. Times are Unix milliseconds, 0
// for none.
type batchJobSpec struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Route     string
	Host      string
	Submitted int64
	Due       int64
	Expiry    int64
	Limit     int // maximum number of waiting tokens, 0 for no limit
	Attempts  int // number of failed attempts after which an item is dead-lettered
	Items     []batchItem
}

// toBatchJobSpec returns the wire format of a job specification.
func toBatchJobSpec(s batch.JobSpec) batchJobSpec {
	return batchJobSpec{ID: s.ID(), Route: s.Route(), Host: s.Host(), Submitted: toMillis(s.Submitted()), Due: toMillis(s.Due()),
		Expiry: toMillis(s.Expiry()), Limit: s.MaxWaitingTokens(), Attempts: s.MaxAttempts(), Items: toBatchItems(s.Items())}
}

// spec returns the job specification.
func (s batchJobSpec) spec() batch.JobSpec {
	return batch.NewJobSpec(s.ID, s.Route, s.Host, batchItems(s.Items),
		batch.WithTimes(fromMillis(s.Submitted), fromMillis(s.Due), fromMillis(s.Expiry)), batch.WithLimits(s.Limit, s.Attempts))
}

// batchCommand is the wire format of batch.Command.
type batchCommand struct {
	Kind    uint8          `cbor:"1,keyasint"`
	Subject string         `cbor:"2,keyasint,omitempty"` // id of a job or address of an instance
	Spec    *batchJobSpec  `cbor:"3,keyasint,omitempty"`
	Outputs []batchResult  `cbor:"4,keyasint,omitempty"`
	Before  int64          `cbor:"5,keyasint,omitempty"` // Unix milliseconds
	Origins []outputOrigin `cbor:"6,keyasint,omitempty"` // of the outputs, in the same order; none if all are empty
}

// encodeBatchCommand encodes a command of the jobs ledger.
func encodeBatchCommand(c batch.Command) ([]byte, error) {
	wire := batchCommand{Kind: uint8(c.Kind()), Subject: c.Subject(), Before: toMillis(c.Before())}
	if c.Kind() == batch.CommandSubmit {
		spec := toBatchJobSpec(c.Spec())
		wire.Spec = &spec
	}
	for _, o := range c.Outputs() {
		wire.Outputs = append(wire.Outputs, batchResult{Job: o.Job(), Item: o.Result().Item(),
			Verdict: uint8(o.Result().Status()), Text: o.Result().Text(), From: o.AfterEvent(), Last: o.LastEvent()})
	}
	wire.Origins = toOutputOrigins(c.Outputs())
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode batch command")
}

// decodeBatchCommand decodes a command of the jobs ledger.
func decodeBatchCommand(data []byte) (batch.Command, error) {
	var wire batchCommand
	if err := Decode(data, &wire); err != nil {
		return batch.Command{}, err
	}
	switch batch.CommandKind(wire.Kind) {
	case batch.CommandSubmit:
		if wire.Spec == nil {
			return batch.Command{}, errors.New("submit command without a job specification")
		}
		return batch.Submit(wire.Spec.spec()), nil
	case batch.CommandStore:
		var outputs []batch.ItemOutput
		for i, o := range wire.Outputs {
			output := o.output()
			if i < len(wire.Origins) {
				output = wire.Origins[i].apply(output)
			}
			outputs = append(outputs, output)
		}
		return batch.Store(outputs), nil
	case batch.CommandCancel:
		return batch.Cancel(wire.Subject), nil
	case batch.CommandExpire:
		return batch.Expire(time.UnixMilli(wire.Before)), nil
	case batch.CommandRetire:
		return batch.Retire(wire.Subject), nil
	}
	return batch.Command{}, errors.Newf("unknown batch command %d", wire.Kind)
}

// batchJob is the wire format of batch.Job.
type batchJob struct {
	_       struct{} `cbor:",toarray"`
	Order   batchJobSpec
	Ended   bool // the job is cancelled
	Results []batchResult
	Parts   []partialOutput
}

// batchSnapshot is the wire format of a snapshot of the jobs ledger.
type batchSnapshot struct {
	_        struct{} `cbor:",toarray"`
	Jobs     []batchJob
	Retirees []string // addresses of retiring instances
}

// toBatchJob returns the wire format of a job.
func toBatchJob(j batch.Job) (batchJob, error) {
	wire := batchJob{Order: toBatchJobSpec(j.Spec()), Ended: j.Cancelled()}
	for _, r := range j.Results() {
		wire.Results = append(wire.Results, batchResult{Item: r.Item(), Verdict: uint8(r.Status()), Text: r.Text()})
	}
	for item, p := range j.PartialOutputs() {
		part, err := toPartialOutput(item, p)
		if err != nil {
			return batchJob{}, errors.Wrap(err, "encode partial output")
		}
		wire.Parts = append(wire.Parts, part)
	}
	return wire, nil
}

// Estimates in bytes of what the encoded form needs besides ids, paths,
// bodies, headers and texts.
const (
	jobOverheadBytes  = 256
	itemOverheadBytes = 64
)

// estimateSnapshotBytes returns the approximate size of the encoded jobs.
func estimateSnapshotBytes(jobs []batch.Job) int {
	size := jobOverheadBytes
	for _, j := range jobs {
		size += jobOverheadBytes
		for _, i := range j.Spec().Items() {
			size += itemOverheadBytes + len(i.ID()) + len(i.Path()) + len(i.Body())
			for _, h := range i.Headers() {
				size += len(h.Name()) + len(h.Value())
			}
		}
		for _, r := range j.Results() {
			size += itemOverheadBytes + len(r.Text())
		}
		for _, p := range j.PartialOutputs() {
			size += itemOverheadBytes + len(p.Text())
		}
	}
	return size
}

// encodeBatchSnapshot encodes a snapshot of the jobs ledger job by job into one
// preallocated buffer. An instance has memory for the state and one copy of it, but
// not for the growing buffers of an encoder.
func encodeBatchSnapshot(s cluster.BatchSnapshot) ([]byte, error) {
	var out bytes.Buffer
	out.Grow(estimateSnapshotBytes(s.Jobs()))
	encoder := cbor.NewEncoder(&out)
	steps := []func() error{encoder.StartIndefiniteArray, encoder.StartIndefiniteArray}
	for _, j := range s.Jobs() {
		steps = append(steps, func() error {
			job, err := toBatchJob(j)
			if err != nil {
				return err
			}
			return encoder.Encode(job)
		})
	}
	steps = append(steps, encoder.EndIndefinite, func() error { return encoder.Encode(s.RetiringInstances()) }, encoder.EndIndefinite)
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.Wrap(err, "encode batch snapshot")
		}
	}
	return out.Bytes(), nil
}

// decodeBatchSnapshot decodes a snapshot of the jobs ledger.
func decodeBatchSnapshot(data []byte) (cluster.BatchSnapshot, error) {
	var wire batchSnapshot
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
		partials := make(map[int]batch.PartialOutput)
		for _, p := range j.Parts {
			item, output, err := fromPartialOutput(p)
			if err != nil {
				return cluster.BatchSnapshot{}, err
			}
			partials[item] = output
		}
		jobs = append(jobs, batch.RestoreJob(j.Order.spec(), j.Ended, results, partials))
	}
	return cluster.NewBatchSnapshot(jobs, wire.Retirees), nil
}

// page is the wire format of batch.Page.
type page struct {
	_       struct{} `cbor:",toarray"`
	Total   int      // number of items of the job
	Next    int      // position after the last result of the page
	Results []pageResult
}

// pageResult is the wire format of batch.PageResult.
type pageResult struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Verdict uint8
	Text    []byte
}

// encodePage encodes a page of a job's results.
func encodePage(p batch.Page) ([]byte, error) {
	wire := page{Total: p.Total(), Next: p.Next()}
	for _, r := range p.Results() {
		wire.Results = append(wire.Results, pageResult{ID: r.ID(), Verdict: uint8(r.Status()), Text: r.Text()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode page")
}

// decodePage decodes a page of a job's results.
func decodePage(data []byte) (batch.Page, error) {
	var wire page
	if err := Decode(data, &wire); err != nil {
		return batch.Page{}, err
	}
	var results []batch.PageResult
	for _, r := range wire.Results {
		results = append(results, batch.NewPageResult(r.ID, batch.ItemStatus(r.Verdict), r.Text))
	}
	return batch.NewPage(wire.Total, wire.Next, results), nil
}

// query is the wire format of cluster.Query.
type query struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	After int    // position of the first result to read
	Item  string // id of the item whose body is read, empty for results
}

// encodeQuery encodes a query for results or for the body of an item.
func encodeQuery(q cluster.Query) ([]byte, error) {
	data, err := cbor.Marshal(query{Job: q.Job(), After: q.After(), Item: q.Item()})
	return data, errors.Wrap(err, "encode query")
}

// decodeQuery decodes a query for results or for the body of an item.
func decodeQuery(data []byte) (cluster.Query, error) {
	var wire query
	err := Decode(data, &wire)
	return cluster.NewQuery(wire.Job, wire.After, wire.Item), err
}
