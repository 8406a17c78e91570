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
	ErrTooLarge    = errors.New("frame exceeds the limit")
	ErrMisdirected = errors.New("packet of another sender or for another instance")
)

// frameCodec reads and writes JSON-RPC objects with a bound on their size.
type frameCodec struct {
	limit *atomic.Int64
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

// ReadObject reads one frame. The size is checked before anything is read.
func (c frameCodec) ReadObject(stream *bufio.Reader, value any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err // io.EOF must stay as it is for the library
	}
	if size > uint64(c.limit.Load()) {
		return errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(value), "decode object")
}
