// Package record encodes the commands, changes and snapshots that ledgers store,
// and the values that instances of a cluster exchange.
//
// The format is CBOR (RFC 8949). Maps have integer keys, so that fields can be
// added later. A struct with the option toarray is an array of its fields in their
// order; the names of its fields are not encoded.
package record

import (
	"math"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxElements limits the elements of an array and the pairs of a map in a decoded
// value.
const MaxElements = 1 << 22

// decoder rejects values that exceed MaxElements or 16 nested levels, or hold a text that is no UTF-8.
// lenientDecoder accepts such texts; see unreadable. snapshotDecoder accepts any number of elements: the rows of a
// snapshot came in one by one.
var (
	decoder         = mustDecoder(MaxElements, cbor.UTF8RejectInvalid)
	lenientDecoder  = mustDecoder(MaxElements, cbor.UTF8DecodeInvalid)
	snapshotDecoder = mustDecoder(math.MaxInt32, cbor.UTF8RejectInvalid)
)

// mustDecoder returns a decoder. It panics only if the constant options are
// invalid.
func mustDecoder(elements int, texts cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: elements, MaxMapPairs: elements, MaxNestedLevels: 16, UTF8: texts}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// NewControlCodec returns the codec for the values that a control world stores.
func NewControlCodec() control.Codec {
	return control.NewCodec(
		control.WithCommandCodec(EncodeCommand, DecodeCommand),
		control.WithChangeCodec(EncodeChange, DecodeChange),
		control.WithHomeCodec(EncodeHome, DecodeHome),
		control.WithConfigCodec(EncodeConfig, DecodeConfig),
	)
}

// toMillis converts a time to Unix milliseconds, and the zero time to 0.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromMillis converts Unix milliseconds to a time in UTC, and 0 to the zero time.
func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// Key is the wire format of home.Key.
type Key struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Name    string
}

// ToKey returns the wire format of a key.
func ToKey(k home.Key) Key { return Key{Account: k.Account(), Name: k.Name()} }

// Key returns the key.
func (k Key) Key() home.Key { return home.NewKey(k.Account, k.Name) }

// Answer is the wire format of home.Answer.
type Answer struct {
	_        struct{} `cbor:",toarray"`
	Code     uint8
	Text     string
	Tokens   int
	Reason   string
	Backend  string
	Finished int64 // Unix milliseconds
}

// ToAnswer returns the wire format of an answer.
func ToAnswer(a home.Answer) Answer {
	return Answer{Code: uint8(a.Code()), Text: a.Text(), Tokens: a.Tokens(),
		Reason: a.Reason(), Backend: a.Backend(), Finished: toMillis(a.Finished())}
}

// Answer returns the answer.
func (a Answer) Answer() home.Answer {
	return home.NewAnswer(outcome.Code(a.Code), a.Text, a.Tokens, a.Reason, a.Backend, fromMillis(a.Finished))
}

// Item is the wire format of home.Item.
type Item struct {
	_         struct{} `cbor:",toarray"`
	Prompt    string
	MaxTokens int
}

// ToItems returns the wire format of items.
func ToItems(items []home.Item) []Item {
	out := make([]Item, 0, len(items))
	for _, i := range items {
		out = append(out, Item{Prompt: i.Prompt(), MaxTokens: i.MaxTokens()})
	}
	return out
}

// Items converts items from their wire format.
func Items(items []Item) []home.Item {
	out := make([]home.Item, 0, len(items))
	for _, i := range items {
		out = append(out, home.NewItem(i.Prompt, i.MaxTokens))
	}
	return out
}

// Completion is the wire format of home.Completion.
type Completion struct {
	_      struct{} `cbor:",toarray"`
	Job    Key
	Index  int
	Answer Answer
}

// ToCompletions returns the wire format of completions.
func ToCompletions(items []home.Completion) []Completion {
	out := make([]Completion, 0, len(items))
	for _, c := range items {
		out = append(out, Completion{Job: ToKey(c.Job()), Index: c.Index(), Answer: ToAnswer(c.Answer())})
	}
	return out
}

// Completions converts completions from their wire format.
func Completions(items []Completion) []home.Completion {
	out := make([]home.Completion, 0, len(items))
	for _, c := range items {
		out = append(out, home.NewCompletion(c.Job.Key(), c.Index, c.Answer.Answer()))
	}
	return out
}

// Spec is the wire format of config.Spec.
type Spec struct {
	Protocol                uint8   `cbor:"1,keyasint,omitempty"`
	Model                   string  `cbor:"2,keyasint,omitempty"`
	Adapter                 string  `cbor:"3,keyasint,omitempty"`
	Version                 string  `cbor:"4,keyasint,omitempty"`
	Rate                    float64 `cbor:"5,keyasint,omitempty"`
	Burst                   int     `cbor:"6,keyasint,omitempty"`
	InFlight                int     `cbor:"7,keyasint,omitempty"`
	SecretHash              string  `cbor:"8,keyasint,omitempty"`
	RefuseIfHomeUnreachable bool    `cbor:"9,keyasint,omitempty"`
}

// ToSpec returns the wire format of a specification.
func ToSpec(s config.Spec) Spec {
	return Spec{Protocol: uint8(s.Protocol()), Model: s.Model(), Adapter: s.Adapter(), Version: s.Version(),
		Rate: s.Rate(), Burst: s.Burst(), InFlight: s.InFlight(), SecretHash: s.SecretHash(), RefuseIfHomeUnreachable: s.RefuseIfHomeUnreachable()}
}

// Spec returns the specification.
func (s Spec) Spec() config.Spec {
	return config.NewSpec(config.WithProtocol(config.Protocol(s.Protocol)), config.WithModel(s.Model),
		config.WithAdapter(s.Adapter), config.WithVersion(s.Version), config.WithLimits(s.Rate, s.Burst, s.InFlight),
		config.WithSecretHash(s.SecretHash), config.WithRefuseIfHomeUnreachable(s.RefuseIfHomeUnreachable))
}

// Object is the wire format of config.Object.
type Object struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Name     string
	Spec     Spec
	Revision uint64
	Deleted  bool
}

// ToObjects returns the wire format of objects.
func ToObjects(objects []config.Object) []Object {
	out := make([]Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, toObject(o))
	}
	return out
}

// toObject returns the wire format of one object.
func toObject(o config.Object) Object {
	return Object{Kind: uint8(o.Ref().Kind()), Name: o.Ref().Name(), Spec: ToSpec(o.Spec()),
		Revision: o.Revision(), Deleted: o.Deleted()}
}

// Object returns the object.
func (o Object) Object() config.Object {
	return config.NewObject(config.NewRef(config.Kind(o.Kind), o.Name), o.Spec.Spec(), o.Revision, o.Deleted)
}

// Objects converts objects from their wire format.
func Objects(objects []Object) []config.Object {
	out := make([]config.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, o.Object())
	}
	return out
}

// Decode decodes a CBOR value into the variable that value points to. It rejects a
// value that exceeds the limits on size and depth.
func Decode(data []byte, value any) error {
	return errors.Wrap(decoder.Unmarshal(data, value), "decode")
}
