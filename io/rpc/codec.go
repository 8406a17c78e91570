package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"math"

	"papayaquay/core/budget"
	"papayaquay/core/outcome"
	"papayaquay/io/client"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Memory of decoded messages in bytes, without their text: a message, and a field or another value.
const (
	messageCost = 112
	valueCost   = 32
)

// The values of a message may take valuesBase bytes and valuesShare times the size of the message: as many
// as the largest job has, and not so many that their decoding takes many times the memory of the message.
const (
	valuesBase  = 15 << 20
	valuesShare = 2
)

// maxCost is the most memory that a byte takes while it is decoded: two bytes can be an empty message.
const maxCost = (messageCost + valueCost) / 2

// messageCopies is how often a message is in memory as it arrives: in a buffer that grows, and as the text of
// the decoded message.
const messageCopies = 3

// maxInflation is how many times its size a compressed message can have (RFC 1951: 1032).
const maxInflation = 1032

// MemoryOf returns the memory that a message of a size takes at most until it is decoded, in bytes.
func MemoryOf(size int64, compressed bool) int64 {
	if compressed {
		size = min(maxInflation*size, MaxMessageBytes)
	}
	return messageCopies*size + min(maxCost*size, valuesBase+valuesShare*size)
}

// errTooManyValues is the error of a message whose values would take too much memory.
var errTooManyValues = errors.Wrap(outcome.ErrInvalid, "the message has too many small values")

// RoomError returns the error of a call for which the budget has no room. It has not run.
func RoomError(err error) error {
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		err = errors.Wrap(outcome.ErrInvalid, err.Error())
	case errors.Is(err, budget.ErrGaveWay):
		err = errors.Wrap(outcome.ErrNotRun, err.Error())
	default:
		err = errors.Wrap(outcome.ErrRetryLater, err.Error())
	}
	return ConnectError(err)
}

// decodedCopies is how often a decoded message is in memory: as it was decoded, as a command, and as it is
// sent to the replicas.
const decodedCopies = 3

// Received records that the message of a call has arrived and was decoded. It returns an error if the call has
// to give way.
func Received(ctx context.Context, message any) error {
	size := 0
	if m, ok := message.(proto.Message); ok {
		size = proto.Size(m)
	}
	if err := client.Keep(ctx, decodedCopies*int64(size)); err != nil {
		return RoomError(err)
	}
	return nil
}

// Codecs returns options for handlers that check the number of values of a message before they decode it.
func Codecs() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(binaryCodec()), connect.WithCodec(jsonCodec("json")), connect.WithCodec(jsonCodec("json; charset=utf-8")))
}

// binaryCodec returns the codec of the binary encoding.
func binaryCodec() codec {
	return codec{name: "proto", cost: binaryCost, unmarshal: proto.Unmarshal, marshal: proto.MarshalOptions{}.MarshalAppend,
		stable: proto.MarshalOptions{Deterministic: true}.Marshal, binary: true}
}

// jsonCodec returns the codec of JSON under a name.
func jsonCodec(name string) codec {
	return codec{name: name, cost: jsonCost, unmarshal: protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal,
		marshal: protojson.MarshalOptions{}.MarshalAppend, stable: protojson.MarshalOptions{}.Marshal}
}

// codec encodes and decodes messages. It implements connect.Codec and what connect needs beside it.
type codec struct {
	name      string
	cost      func(data []byte, d protoreflect.MessageDescriptor) int
	unmarshal func([]byte, proto.Message) error
	marshal   func([]byte, proto.Message) ([]byte, error)
	stable    func(proto.Message) ([]byte, error)
	binary    bool
}

// Name returns the name of the codec in content types.
func (c codec) Name() string { return c.name }

// IsBinary reports whether encoded messages are no text.
func (c codec) IsBinary() bool { return c.binary }

// message returns a value as a message.
func message(value any) (proto.Message, error) {
	m, ok := value.(proto.Message)
	if !ok {
		return nil, errors.Newf("%T is no message", value)
	}
	return m, nil
}

// Marshal encodes a message.
func (c codec) Marshal(value any) ([]byte, error) { return c.MarshalAppend(nil, value) }

// MarshalAppend encodes a message behind other bytes.
func (c codec) MarshalAppend(dst []byte, value any) ([]byte, error) {
	m, err := message(value)
	if err != nil {
		return nil, err
	}
	return c.marshal(dst, m)
}

// MarshalStable encodes a message; the same one has the same bytes each time.
func (c codec) MarshalStable(value any) ([]byte, error) {
	m, err := message(value)
	if err != nil {
		return nil, err
	}
	data, err := c.stable(m)
	if err != nil || c.binary {
		return data, err
	}
	return compactJSON(data)
}

// Unmarshal decodes a message. It returns an error for one with too many values.
func (c codec) Unmarshal(data []byte, value any) error {
	m, err := message(value)
	if err != nil {
		return err
	}
	if c.cost(data, m.ProtoReflect().Descriptor()) > valuesBase+valuesShare*len(data) {
		return ConnectError(errTooManyValues)
	}
	return c.unmarshal(data, m)
}

// jsonCost returns the memory of the values of a JSON text.
func jsonCost(data []byte, _ protoreflect.MessageDescriptor) int {
	objects, values := client.CountValues(data)
	return objects*messageCost + values*valueCost
}

// binaryCost returns the memory of the values of an encoded message. Decoding rejects what cannot be read.
func binaryCost(data []byte, d protoreflect.MessageDescriptor) int {
	cost := 0
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			return cost
		}
		size := protowire.ConsumeFieldValue(number, kind, data[n:])
		if size < 0 {
			return cost
		}
		cost += valueCost
		field := d.Fields().ByNumber(number)
		if kind == protowire.BytesType && field != nil {
			content, _ := protowire.ConsumeBytes(data[n:])
			cost += contentCost(content, field)
		}
		data = data[n+size:]
	}
	return min(cost, math.MaxInt32)
}

// contentCost returns the memory of the values of a field whose content has a length.
func contentCost(content []byte, field protoreflect.FieldDescriptor) int {
	switch {
	case field.Message() != nil:
		return messageCost + binaryCost(content, field.Message())
	case field.Kind() == protoreflect.StringKind || field.Kind() == protoreflect.BytesKind:
		return 0
	}
	return len(content) * valueCost // packed numbers
}

// compactJSON removes the blanks that protojson varies on purpose.
func compactJSON(data []byte) ([]byte, error) {
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
