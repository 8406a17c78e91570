package record

import (
	"papayaquay/core/batch"

	"github.com/fxamacker/cbor/v2"
)

// batchResult is the wire format of batch.Result, batch.ItemOutput and batch.PartialOutput.
// Job is set only in a command; in a snapshot the enclosing job gives it.
type batchResult struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Item    int
	Verdict uint8 // the batch.ItemStatus, 0 for a partial output
	Text    []byte
	From    uint64 // id of the event before the text
	Last    uint64 // id of the last event of the text
}

// output returns the final or partial output of the item.
func (r batchResult) output() batch.ItemOutput {
	if r.Verdict == 0 {
		return batch.NewPartialItemOutput(r.Job, r.Item, r.Text, r.From, r.Last)
	}
	return batch.NewFinalItemOutput(r.Job, r.result(), r.From)
}

// result returns the result of the item.
func (r batchResult) result() batch.Result {
	return batch.NewResult(r.Item, batch.ItemStatus(r.Verdict), r.Text)
}

// outputOrigin is the wire format of what batch.ItemOutput says of the origin of its text.
type outputOrigin struct {
	_        struct{} `cbor:",toarray"`
	Version  string
	Replaces bool
}

// toOutputOrigins returns the wire format of the origins of outputs, or nil if all are empty.
func toOutputOrigins(outputs []batch.ItemOutput) []outputOrigin {
	origins := make([]outputOrigin, len(outputs))
	empty := true
	for i, o := range outputs {
		origins[i] = outputOrigin{Version: o.Version(), Replaces: o.Replaces()}
		empty = empty && origins[i] == outputOrigin{}
	}
	if empty {
		return nil
	}
	return origins
}

// apply returns an output with its origin.
func (o outputOrigin) apply(output batch.ItemOutput) batch.ItemOutput {
	output = output.WithVersion(o.Version)
	if o.Replaces {
		output = output.AsReplacement()
	}
	return output
}

// partialOutput is the wire format of a batch.PartialOutput with its item: a batchResult, or,
// if the version of its servers is known, a versionedPartialOutput.
type partialOutput = cbor.RawMessage

// versionedPartialOutput is the wire format of a batch.PartialOutput with a software version.
type versionedPartialOutput struct {
	_       struct{} `cbor:",toarray"`
	Output  batchResult
	Version string
}

// toPartialOutput returns the wire format of a partial output of an item.
func toPartialOutput(item int, p batch.PartialOutput) (partialOutput, error) {
	output := batchResult{Item: item, Text: p.Text(), Last: p.LastEvent()}
	if p.Version() == "" {
		return cbor.Marshal(output)
	}
	return cbor.Marshal(versionedPartialOutput{Output: output, Version: p.Version()})
}

// fromPartialOutput returns a partial output and its item.
func fromPartialOutput(data partialOutput) (int, batch.PartialOutput, error) {
	var message versionedPartialOutput
	var target any = &message.Output
	if len(data) > 0 && data[0] == arrayOf2 {
		target = &message
	}
	err := Decode(data, target)
	return message.Output.Item, batch.RestorePartialOutput(message.Output.Text, message.Output.Last, message.Version), err
}
