package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Maximum frame sizes.
const (
	maxHandshakeFrameBytes = 4 << 10   // before the sender is authenticated
	maxFrameBytes          = 128 << 20 // after authentication

	// MaxPayloadBytes is the size up to which a payload fits into a packet.
	MaxPayloadBytes = maxFrameBytes - 1<<20
)

// Errors for received frames and packets.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the limit")
	ErrMisdirected   = errors.New("packet of another sender or for another instance")
	ErrUnreadable    = errors.New("packet cannot be decoded")
)

// packetPrefix is the first byte of a frame that contains an encoded packet. A
// frame that starts with a brace contains a JSON-RPC object.
const packetPrefix = 0

// frameCodec reads and writes JSON-RPC objects of limited size. Packets are
// binary and frequent, so they are sent in frames of their own on the same
// stream, without a JSON envelope.
type frameCodec struct {
	limit    *atomic.Int64
	onPacket func([]byte) error      // handles received packets; nil if none are accepted
	reserve  func(bytes int64) error // before a packet is read; nil if that takes no room of others
	release  func(bytes int64)       // after it was handled
}

// newFrameCodec returns a codec with the limit for unauthenticated senders.
func newFrameCodec() frameCodec {
	c := frameCodec{limit: new(atomic.Int64)}
	c.limit.Store(maxHandshakeFrameBytes)
	return c
}

// raiseLimit sets the limit for authenticated senders.
func (c frameCodec) raiseLimit() { c.limit.Store(maxFrameBytes) }

// WriteObject writes one frame with a JSON-RPC object.
func (c frameCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return errors.Wrap(err, "write frame")
}

// maxCopiedBytes is the size up to which the first part of a packet is copied behind the frame's header:
// one write costs less than two.
const maxCopiedBytes = 16 << 10

// checkSize returns ErrFrameTooLarge for an encoded packet in parts that a receiver would answer by closing the
// connection.
func checkSize(parts ...[]byte) error {
	if size := frameBytes(parts); size > maxFrameBytes {
		return errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	return nil
}

// frameBytes returns the size of the content of a frame with a packet in parts.
func frameBytes(parts [][]byte) int {
	size := 1 // the prefix
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// writePacket writes one frame with an encoded packet in parts. Large parts are not copied; they may be
// shared by packets to many instances.
func writePacket(stream io.Writer, parts [][]byte) error {
	head := append(binary.AppendUvarint(nil, uint64(frameBytes(parts))), packetPrefix)
	if len(parts[0]) <= maxCopiedBytes {
		head, parts = append(head, parts[0]...), parts[1:]
	}
	for _, part := range append([][]byte{head}, parts...) {
		if _, err := stream.Write(part); err != nil {
			return errors.Wrap(err, "write packet")
		}
	}
	return nil
}

// ReadObject reads frames until the next JSON-RPC object and decodes it into
// value. It passes packets that precede it to onPacket. It checks the size of a
// frame before it reads the content.
func (c frameCodec) ReadObject(stream *bufio.Reader, value any) error {
	for {
		size, err := binary.ReadUvarint(stream)
		if err != nil {
			return err // jsonrpc2 needs an unwrapped io.EOF
		}
		if size > uint64(c.limit.Load()) {
			return errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
		}
		prefix, err := stream.Peek(1)
		if err != nil {
			return err
		}
		if prefix[0] != packetPrefix || size == 0 {
			return errors.Wrap(json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(value), "decode object")
		}
		if c.onPacket == nil {
			return errors.Wrap(ErrMisdirected, "this connection accepts no packets")
		}
		if err := c.readPacket(stream, int64(size)); err != nil {
			return err
		}
	}
}

// readPacket reads a frame with a packet and passes the packet to onPacket. If there is no room for a
// packet, it is dropped like one that was lost on the way: what must arrive is sent again.
func (c frameCodec) readPacket(stream io.Reader, size int64) error {
	if c.reserve != nil {
		if err := c.reserve(size); err != nil {
			_, err = io.CopyN(io.Discard, stream, size)
			return err
		}
		defer c.release(size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return c.onPacket(data[1:])
}
