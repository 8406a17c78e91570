package record

import (
	"papayaquay/core/config"
	"papayaquay/core/home"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// command is the wire format of home.Command. Times are Unix milliseconds, 0 for
// none.
type command struct {
	Kind        uint8        `cbor:"1,keyasint"`
	Key         Key          `cbor:"2,keyasint"`
	At          int64        `cbor:"3,keyasint"`
	Answer      *Answer      `cbor:"4,keyasint,omitempty"`
	Service     string       `cbor:"5,keyasint,omitempty"`
	AtMostOnce  bool         `cbor:"6,keyasint,omitempty"`
	Total       int          `cbor:"7,keyasint,omitempty"`
	Offset      int          `cbor:"8,keyasint,omitempty"`
	Items       []Item       `cbor:"9,keyasint,omitempty"`
	Owner       string       `cbor:"10,keyasint,omitempty"`
	Limit       int          `cbor:"11,keyasint,omitempty"`
	Until       int64        `cbor:"12,keyasint,omitempty"`
	Completions []Completion `cbor:"13,keyasint,omitempty"`
	Fingerprint uint64       `cbor:"14,keyasint,omitempty"`
	Number      uint64       `cbor:"15,keyasint,omitempty"`
}

// EncodeCommand encodes a command of a home ledger.
func EncodeCommand(c home.Command) ([]byte, error) {
	wire := command{
		Kind: uint8(c.Kind()), Key: ToKey(c.Key()), At: toMillis(c.At()), Service: c.Service(), AtMostOnce: c.AtMostOnce(),
		Total: c.Total(), Offset: c.Offset(), Items: ToItems(c.Items()), Owner: c.Owner(), Limit: c.Limit(),
		Until: toMillis(c.Until()), Completions: ToCompletions(c.Completions()),
		Fingerprint: c.Fingerprint(), Number: c.Number(),
	}
	if c.Kind() == home.CommandPutAnswer {
		answer := ToAnswer(c.Answer())
		wire.Answer = &answer
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode command")
}

// DecodeCommand decodes a command of a home ledger.
func DecodeCommand(data []byte) (home.Command, error) {
	var wire command
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return home.Command{}, errors.Wrap(err, "decode command")
	}
	var answer Answer
	if wire.Answer != nil {
		answer = *wire.Answer
	}
	until := fromMillis(wire.Until)
	return home.NewCommand(home.CommandKind(wire.Kind), wire.Key.Key(), fromMillis(wire.At),
		home.WithAnswer(answer.Answer()), home.WithService(wire.Service), home.WithAtMostOnce(wire.AtMostOnce),
		home.WithItems(wire.Total, wire.Offset, Items(wire.Items)), home.WithOwner(wire.Owner, until),
		home.WithLimit(wire.Limit), home.WithCompletions(Completions(wire.Completions)),
		home.WithFingerprint(wire.Fingerprint), home.WithNumber(wire.Number)), nil
}

// change is the wire format of config.Change.
type change struct {
	Operation        string `cbor:"1,keyasint"`
	Operator         string `cbor:"2,keyasint"`
	Kind             uint8  `cbor:"3,keyasint"`
	Name             string `cbor:"4,keyasint"`
	Spec             Spec   `cbor:"5,keyasint"`
	Delete           bool   `cbor:"6,keyasint,omitempty"`
	ExpectedRevision uint64 `cbor:"7,keyasint"`
	At               int64  `cbor:"8,keyasint"`
}

// EncodeChange encodes a configuration change.
func EncodeChange(c config.Change) ([]byte, error) {
	data, err := cbor.Marshal(change{Operation: c.Operation(), Operator: c.Operator(),
		Kind: uint8(c.Ref().Kind()), Name: c.Ref().Name(), Spec: ToSpec(c.Spec()),
		Delete: c.IsDeletion(), ExpectedRevision: c.ExpectedRevision(), At: toMillis(c.At())})
	return data, errors.Wrap(err, "encode change")
}

// DecodeChange decodes a configuration change.
func DecodeChange(data []byte) (config.Change, error) {
	var wire change
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return config.Change{}, errors.Wrap(err, "decode change")
	}
	ref := config.NewRef(config.Kind(wire.Kind), wire.Name)
	if wire.Delete {
		return config.NewDeletion(wire.Operation, wire.Operator, ref, wire.ExpectedRevision, fromMillis(wire.At)), nil
	}
	return config.NewChange(wire.Operation, wire.Operator, ref, wire.Spec.Spec(), wire.ExpectedRevision, fromMillis(wire.At)), nil
}
