package record

import (
	"papayaquay/core/stream"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// streamRecord is the wire format of stream.Record.
type streamRecord struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Attempt int
	Version string
}

// encodeStreamRecords encodes records of streams.
func encodeStreamRecords(records []stream.Record) ([]byte, error) {
	wire := make([]streamRecord, 0, len(records))
	for _, r := range records {
		wire = append(wire, streamRecord{ID: uint64(r.ID()), Attempt: r.Attempt(), Version: r.Version()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode stream records")
}

// decodeStreamRecords decodes records of streams. Those that can't be read are left out.
func decodeStreamRecords(data []byte) ([]stream.Record, error) {
	var wire []streamRecord
	var bad unreadable
	if err := bad.decode(data, &wire); err != nil {
		return nil, err
	}
	records := make([]stream.Record, 0, len(wire))
	for _, r := range wire {
		if !bad.holds("stream of version", r.Version) {
			records = append(records, stream.NewRecord(stream.ID(r.ID), r.Attempt, r.Version))
		}
	}
	return records, bad.err()
}

// streamQuery is the wire format of stream.Query.
type streamQuery struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Service string
}

// encodeStreamQuery encodes a query for the version that began a stream.
func encodeStreamQuery(q stream.Query) ([]byte, error) {
	data, err := cbor.Marshal(streamQuery{ID: uint64(q.ID()), Service: q.Service()})
	return data, errors.Wrap(err, "encode stream query")
}

// decodeStreamQuery decodes a query for the version that began a stream.
func decodeStreamQuery(data []byte) (stream.Query, error) {
	var wire streamQuery
	err := Decode(data, &wire)
	return stream.NewQuery(stream.ID(wire.ID), wire.Service), err
}

// streamAnswer is the wire format of stream.Answer.
type streamAnswer struct {
	_         struct{} `cbor:",toarray"`
	Certainty uint8
	Version   string
	Attempt   int
}

// encodeStreamAnswer encodes the answer to a query.
func encodeStreamAnswer(a stream.Answer) ([]byte, error) {
	data, err := cbor.Marshal(streamAnswer{Certainty: uint8(a.Certainty()), Version: a.Version(), Attempt: a.Attempt()})
	return data, errors.Wrap(err, "encode stream answer")
}

// decodeStreamAnswer decodes the answer to a query.
func decodeStreamAnswer(data []byte) (stream.Answer, error) {
	var wire streamAnswer
	err := Decode(data, &wire)
	return stream.NewAnswer(stream.Certainty(wire.Certainty), wire.Version).WithAttempt(wire.Attempt), err
}
