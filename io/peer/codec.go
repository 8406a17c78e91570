package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Frame limits in bytes.
const (
	greetingBytes = 4 << 10   // before the sender proved that it knows the key
	frameBytes    = 128 << 20 // afterwards
)

// Errors of received frames and packets.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the limit")
	ErrMisdirected   = errors.New("packet of another sender or for another instance")
)

// packetMark is the first byte of a frame with an encoded packet; others hold
// a JSON-RPC object, which starts with a brace.
const packetMark = 0

// frameCodec reads and writes JSON-RPC objects with a bound on their size.
// Packets are binary and many, so they travel in the same frames without the
// JSON around them.
type frameCodec struct {
	limit  *atomic.Int64
	packet func([]byte) error // takes packets, nil where none may come
}

// newFrameCodec returns a codec with the limit for unknown senders.
func newFrameCodec() frameCodec {
	c := frameCodec{limit: new(atomic.Int64)}
	c.limit.Store(greetingBytes)
	return c
}

// trust raises the limit.
func (c frameCodec) trust() { c.limit.Store(frameBytes) }

// WriteObject writes one frame.
func (c frameCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return errors.Wrap(err, "write frame")
}

// writePacket writes one frame with an encoded packet.
func writePacket(stream io.Writer, data []byte) error {
	frame := make([]byte, 0, len(data)+1+binary.MaxVarintLen64)
	frame = append(binary.AppendUvarint(frame, uint64(len(data)+1)), packetMark)
	_, err := stream.Write(append(frame, data...))
	return errors.Wrap(err, "write packet")
}

// ReadObject reads frames up to the next JSON-RPC object; packets on the way
// are handed on. The size is checked before anything is read.
func (c frameCodec) ReadObject(stream *bufio.Reader, value any) error {
	for {
		size, err := binary.ReadUvarint(stream)
		if err != nil {
			return err // io.EOF must stay as it is for the library
		}
		if size > uint64(c.limit.Load()) {
			return errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
		}
		mark, err := stream.Peek(1)
		if err != nil {
			return err
		}
		if mark[0] != packetMark || size == 0 {
			return errors.Wrap(json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(value), "decode object")
		}
		data := make([]byte, size)
		if _, err := io.ReadFull(stream, data); err != nil {
			return err
		}
		if c.packet == nil {
			return errors.Wrap(ErrMisdirected, "no packets are taken here")
		}
		if err := c.packet(data[1:]); err != nil {
			return err
		}
	}
}
