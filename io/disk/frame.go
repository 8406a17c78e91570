package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"

	"papayaquay/core/ledger"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Sizes of the parts of a frame in bytes.
const (
	headerBytes  = 8
	maxBodyBytes = 1 << 30
)

// errInvalidFrame marks a frame that ends early or fails its checksum.
var errInvalidFrame = errors.New("torn or corrupt record")

// castagnoli is the CRC-32C table.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// kindIdentity is the kind of the identity record. The other kinds are those of
// ledger.RecordKind.
const kindIdentity = 100

// body is the stored form of a record.
type body struct {
	Kind    uint8           `cbor:"1,keyasint"`
	Ledger  string          `cbor:"2,keyasint,omitempty"`
	Replica string          `cbor:"3,keyasint"` // the nonce in an identity record
	Term    uint64          `cbor:"4,keyasint,omitempty"`
	Index   uint64          `cbor:"5,keyasint,omitempty"`
	Vote    string          `cbor:"6,keyasint,omitempty"`
	Entry   uint8           `cbor:"7,keyasint,omitempty"`
	Data    []byte          `cbor:"8,keyasint,omitempty"`
	Members []record.Member `cbor:"9,keyasint,omitempty"`
	Part    int             `cbor:"10,keyasint,omitempty"`
	Parts   int             `cbor:"11,keyasint,omitempty"`
}

// toBody returns the stored form of a ledger record.
func toBody(r ledger.Record) body {
	b := body{Kind: uint8(r.Kind()), Ledger: string(r.Ledger()), Replica: string(r.Replica())}
	switch r.Kind() {
	case ledger.RecordVote:
		b.Term, b.Vote = r.Term(), string(r.Vote())
	case ledger.RecordEntry:
		e := r.Entry()
		b.Term, b.Index, b.Entry = e.Term(), e.Index(), uint8(e.Kind())
		b.Data, b.Members = e.Payload(), record.ToMembers(e.Members())
	case ledger.RecordSnapshot:
		s := r.Snapshot()
		b.Term, b.Index, b.Data, b.Members = s.Term(), s.Index(), s.Data(), record.ToMembers(s.Members())
		if s.Parts() > 1 {
			b.Part, b.Parts = s.Part(), s.Parts()
		}
	}
	return b
}

// entry returns the entry of a RecordEntry.
func (b body) entry() ledger.Entry {
	return ledger.NewEntry(b.Term, b.Index, ledger.EntryKind(b.Entry), b.Data, record.Members(b.Members))
}

// snapshot returns the snapshot, or the part of one, of a RecordSnapshot.
func (b body) snapshot() ledger.Snapshot {
	return ledger.NewSnapshotPart(b.Index, b.Term, record.Members(b.Members), b.Part, b.Parts, b.Data)
}

// CBOR encoding of body.Data (RFC 8949, section 3): its key and the head of a byte
// string with a length of four bytes. A body has fewer than 24 keys, so the first
// byte of its map contains the number of keys.
const (
	dataKey           = 0x08
	byteStringHead    = 0x5a
	dataOverheadBytes = 6 // key, head and length
)

// appendFrame appends the frame of a body to buffer. The data of a snapshot may
// take half of an instance's memory, so it is copied only once and not through
// the buffers of an encoder.
func appendFrame(buffer []byte, b body) ([]byte, error) {
	data := b.Data
	b.Data = nil
	fields, err := cbor.Marshal(b)
	if err != nil {
		return buffer, errors.Wrap(err, "encode record")
	}
	size := len(fields)
	if len(data) > 0 {
		size += dataOverheadBytes + len(data)
		fields[0]++ // one more key
	}
	if size > maxBodyBytes {
		return buffer, errors.Newf("record of %d bytes exceeds %d", size, maxBodyBytes)
	}
	start := len(buffer)
	buffer = slices.Grow(buffer, headerBytes+size)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(size))
	buffer = binary.LittleEndian.AppendUint32(buffer, 0) // placeholder for the checksum
	buffer = append(buffer, fields...)
	if len(data) > 0 {
		buffer = binary.BigEndian.AppendUint32(append(buffer, dataKey, byteStringHead), uint32(len(data)))
		buffer = append(buffer, data...)
	}
	content := buffer[start+headerBytes:]
	binary.LittleEndian.PutUint32(buffer[start+4:], crc32.Checksum(content, castagnoli))
	return buffer, nil
}

// CBOR encoding of the first bytes of a body: the head of a map of up to 23 keys, and
// the key of body.Kind, whose value follows.
const (
	mapHead      = 0xa0
	mapHeadMask  = 0xe0
	kindKey      = 0x01
	longKindHead = 0x18 // followed by a kind that is not less than 24

	frameBeginBytes = headerBytes + 4 // of a frame that beginsLikeFrame looks at
)

// beginsLikeFrame reports whether the content of the frame at the start of data can begin
// a body.
func beginsLikeFrame(data []byte) bool {
	if len(data) < frameBeginBytes {
		return false
	}
	content := data[headerBytes:]
	kind := content[2]
	if kind == longKindHead {
		kind = content[3]
	}
	isKind := kind == kindIdentity || ledger.RecordKind(kind).IsValid()
	return content[0]&mapHeadMask == mapHead && content[1] == kindKey && isKind
}

// readFrame decodes the frame at the start of data and returns its size in bytes.
// The error is marked with errInvalidFrame.
func readFrame(data []byte) (body, int, error) {
	frames := frameReader{source: bytes.NewReader(data), left: int64(len(data))}
	return frames.next()
}

// frameReader reads frames from a source of left bytes.
type frameReader struct {
	source io.Reader
	left   int64
	buffer []byte // of the content, used again for the next frame
}

// next decodes the next frame and returns its size in bytes. The error is marked with
// errInvalidFrame if the frame is torn or corrupt.
func (r *frameReader) next() (body, int, error) {
	var header [headerBytes]byte
	if r.left < headerBytes {
		return body{}, 0, errInvalidFrame
	}
	if _, err := io.ReadFull(r.source, header[:]); err != nil {
		return body{}, 0, errors.Wrap(err, "read frame")
	}
	size := int64(binary.LittleEndian.Uint32(header[:]))
	if size == 0 || size > maxBodyBytes || r.left-headerBytes < size {
		return body{}, 0, errInvalidFrame
	}
	r.buffer = slices.Grow(r.buffer[:0], int(size))[:size]
	if _, err := io.ReadFull(r.source, r.buffer); err != nil {
		return body{}, 0, errors.Wrap(err, "read frame")
	}
	r.left -= headerBytes + size
	if crc32.Checksum(r.buffer, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return body{}, 0, errInvalidFrame
	}
	var b body
	if err := record.Decode(r.buffer, &b); err != nil {
		return body{}, 0, errors.Mark(err, errInvalidFrame)
	}
	return b, headerBytes + int(size), nil
}
