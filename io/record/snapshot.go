package record

import (
	"bytes"

	"papayaquay/core/config"
	"papayaquay/core/home"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// requestRecord is the wire format of home.RequestRecord. Times here and below are
// Unix milliseconds, 0 for none.
type requestRecord struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Answer  Answer
	Started bool
	Attempt uint64
	Until   int64 // deadline
	Seen    int64 // time of the last change
}

// leaseRecord is the wire format of home.LeaseRecord.
type leaseRecord struct {
	_     struct{} `cbor:",toarray"`
	ID    uint32
	Owner string
	Until int64 // expiry
	Items []int
}

// jobRecord is the wire format of home.JobRecord.
type jobRecord struct {
	Key         Key           `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	AtMostOnce  bool          `cbor:"3,keyasint,omitempty"`
	Total       int           `cbor:"4,keyasint"`
	Cancelled   bool          `cbor:"5,keyasint,omitempty"`
	Changed     int64         `cbor:"6,keyasint"`
	Items       []Item        `cbor:"7,keyasint"`
	LeaseCounts []byte        `cbor:"8,keyasint"`
	Answers     []Completion  `cbor:"9,keyasint"`
	Leases      []leaseRecord `cbor:"10,keyasint"`
	LastLeaseID uint32        `cbor:"11,keyasint"`
}

// crashRecord is the wire format of home.CrashRecord.
type crashRecord struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Attempts    []uint64
	Seen        int64 // time of the last crash
}

// ownerRecord is the wire format of home.OwnerRecord.
type ownerRecord struct {
	_       struct{} `cbor:",toarray"`
	Owner   string
	Number  uint64
	Seen    int64 // time of the last command
	Granted []Completion
}

// homeSnapshot is the wire format of home.Records.
type homeSnapshot struct {
	Requests []requestRecord `cbor:"1,keyasint"`
	Jobs     []jobRecord     `cbor:"2,keyasint"`
	Crashes  []crashRecord   `cbor:"3,keyasint"`
	Owners   []ownerRecord   `cbor:"4,keyasint"`
}

// EncodeHome encodes the state of a home ledger row by row into one preallocated buffer: an instance has memory for the
// state and a copy of it, but not for the growing buffers of an encoder. It is a homeSnapshot.
func EncodeHome(records home.Records) ([]byte, error) {
	var out bytes.Buffer
	out.Grow(records.EncodedBytes())
	encoder := cbor.NewEncoder(&out)
	steps := []func() error{encoder.StartIndefiniteMap,
		func() error {
			return encodeRows(encoder, 1, records.Requests(), func(r home.RequestRecord) any {
				return requestRecord{Key: ToKey(r.Key()), Answer: ToAnswer(r.Answer()),
					Started: r.Started(), Attempt: r.Attempt(), Until: toMillis(r.Deadline()), Seen: toMillis(r.Changed())}
			})
		},
		func() error {
			return encodeRows(encoder, 2, records.Jobs(), func(j home.JobRecord) any { return toJobRecord(j) })
		},
		func() error {
			return encodeRows(encoder, 3, records.Crashes(), func(c home.CrashRecord) any {
				return crashRecord{Fingerprint: c.Fingerprint(), Attempts: c.Attempts(), Seen: toMillis(c.LastCrash())}
			})
		},
		func() error {
			return encodeRows(encoder, 4, records.Owners(), func(o home.OwnerRecord) any {
				return ownerRecord{Owner: o.Owner(), Number: o.Number(), Seen: toMillis(o.LastCommand()), Granted: ToCompletions(o.Granted())}
			})
		},
		encoder.EndIndefinite}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.Wrap(err, "encode home snapshot")
		}
	}
	return out.Bytes(), nil
}

// encodeRows encodes the array of a snapshot under its key, row by row.
func encodeRows[R any](encoder *cbor.Encoder, key int, rows []R, wire func(R) any) error {
	if err := encoder.Encode(key); err != nil {
		return err
	}
	if err := encoder.StartIndefiniteArray(); err != nil {
		return err
	}
	for _, row := range rows {
		if err := encoder.Encode(wire(row)); err != nil {
			return err
		}
	}
	return encoder.EndIndefinite()
}

// toJobRecord returns the wire format of a job.
func toJobRecord(j home.JobRecord) jobRecord {
	wire := jobRecord{Key: ToKey(j.Key()), Service: j.Service(), AtMostOnce: j.AtMostOnce(), Total: j.Total(),
		Cancelled: j.Cancelled(), Changed: toMillis(j.Changed()), Items: ToItems(j.Items()), LeaseCounts: j.LeaseCounts(),
		Answers: ToCompletions(j.Answers()), LastLeaseID: j.LastLeaseID()}
	for _, l := range j.Leases() {
		wire.Leases = append(wire.Leases, leaseRecord{ID: l.ID(), Owner: l.Owner(), Until: toMillis(l.Expires()), Items: l.Items()})
	}
	return wire
}

// DecodeHome decodes the state of a home ledger.
func DecodeHome(data []byte) (home.Records, error) {
	var wire homeSnapshot
	if err := snapshotDecoder.Unmarshal(data, &wire); err != nil {
		return home.Records{}, errors.Wrap(err, "decode home snapshot")
	}
	var requests []home.RequestRecord
	for _, r := range wire.Requests {
		requests = append(requests, home.NewRequestRecord(r.Key.Key(), r.Answer.Answer(), r.Started, r.Attempt, fromMillis(r.Until), fromMillis(r.Seen)))
	}
	var jobs []home.JobRecord
	for _, j := range wire.Jobs {
		jobs = append(jobs, j.record())
	}
	var crashes []home.CrashRecord
	for _, c := range wire.Crashes {
		crashes = append(crashes, home.NewCrashRecord(c.Fingerprint, c.Attempts, fromMillis(c.Seen)))
	}
	var owners []home.OwnerRecord
	for _, o := range wire.Owners {
		owners = append(owners, home.NewOwnerRecord(o.Owner, o.Number, fromMillis(o.Seen), Completions(o.Granted)))
	}
	return home.NewRecords(requests, jobs, crashes, owners), nil
}

// record returns the job record.
func (j jobRecord) record() home.JobRecord {
	var leases []home.LeaseRecord
	for _, l := range j.Leases {
		leases = append(leases, home.NewLeaseRecord(l.ID, l.Owner, fromMillis(l.Until), l.Items))
	}
	return home.NewJobRecord(j.Key.Key(), j.Service, j.AtMostOnce, j.Total, j.Cancelled, fromMillis(j.Changed),
		home.WithRecordItems(Items(j.Items), j.LeaseCounts), home.WithRecordAnswers(Completions(j.Answers)),
		home.WithRecordLeases(leases, j.LastLeaseID))
}

// operationResult is the wire format of config.OperationResult.
type operationResult struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Applied  bool
	Revision uint64
	Reason   string
	At       int64
}

// Event is the wire format of config.Event.
type Event struct {
	_        struct{} `cbor:",toarray"`
	Object   Object
	Operator string
	At       int64
}

// ToEvents returns the wire format of events.
func ToEvents(events []config.Event) []Event {
	out := make([]Event, 0, len(events))
	for _, e := range events {
		out = append(out, Event{Object: toObject(e.Object()), Operator: e.Operator(), At: toMillis(e.At())})
	}
	return out
}

// Events converts events from their wire format.
func Events(events []Event) []config.Event {
	out := make([]config.Event, 0, len(events))
	for _, e := range events {
		out = append(out, config.NewEvent(e.Object.Object(), e.Operator, fromMillis(e.At)))
	}
	return out
}

// configSnapshot is the wire format of config.State.
type configSnapshot struct {
	Revision   uint64            `cbor:"1,keyasint"`
	Objects    []Object          `cbor:"2,keyasint"`
	Operations []operationResult `cbor:"3,keyasint"`
	History    []Event           `cbor:"4,keyasint"`
}

// EncodeConfig encodes the state of the configuration ledger.
func EncodeConfig(s *config.State) ([]byte, error) {
	wire := configSnapshot{Revision: s.Revision(), Objects: ToObjects(s.Objects()), History: ToEvents(s.History(config.HistoryLength))}
	for _, o := range s.OperationResults() {
		wire.Operations = append(wire.Operations, operationResult{ID: o.ID(), Applied: o.Result().Applied(),
			Revision: o.Result().Revision(), Reason: o.Result().Reason(), At: toMillis(o.At())})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode configuration snapshot")
}

// DecodeConfig decodes the state of the configuration ledger.
func DecodeConfig(data []byte) (*config.State, error) {
	var wire configSnapshot
	if err := snapshotDecoder.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decode configuration snapshot")
	}
	var operations []config.OperationResult
	for _, o := range wire.Operations {
		operations = append(operations, config.NewOperationResult(o.ID, config.NewChangeResult(o.Applied, o.Revision, o.Reason), fromMillis(o.At)))
	}
	return config.Restore(wire.Revision, Objects(wire.Objects), operations, Events(wire.History)), nil
}
