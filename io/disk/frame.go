package disk

import (
	"encoding/binary"
	"hash/crc32"
	"math"

	"papayaquay/core/ledger"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Frame sizes in bytes.
const (
	headerBytes = 8
	maxBody     = 1 << 30
)

// errTorn marks a frame that ends early or fails its checksum.
var errTorn = errors.New("torn or corrupt record")

// castagnoli is the table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record kinds beside those of the ledger package.
const kindIdentity = 100

// body is the wire form of a record.
type body struct {
	Kind    uint8           `cbor:"1,keyasint"`
	Ledger  string          `cbor:"2,keyasint,omitempty"`
	Replica string          `cbor:"3,keyasint"`
	Term    uint64          `cbor:"4,keyasint,omitempty"`
	Index   uint64          `cbor:"5,keyasint,omitempty"`
	Vote    string          `cbor:"6,keyasint,omitempty"`
	Entry   uint8           `cbor:"7,keyasint,omitempty"`
	Data    []byte          `cbor:"8,keyasint,omitempty"`
	Members []record.Member `cbor:"9,keyasint,omitempty"`
}

// toBody returns the wire form of a ledger record.
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
	}
	return b
}

// entry returns the entry of a RecordEntry.
func (b body) entry() ledger.Entry {
	return ledger.NewEntry(b.Term, b.Index, ledger.EntryKind(b.Entry), b.Data, record.Members(b.Members))
}

// snapshot returns the snapshot of a RecordSnapshot.
func (b body) snapshot() ledger.Snapshot {
	return ledger.NewSnapshot(b.Index, b.Term, record.Members(b.Members), b.Data)
}

// appendFrame appends the frame of a body to buffer.
func appendFrame(buffer []byte, b body) ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return buffer, errors.Wrap(err, "encode record")
	}
	if len(data) > maxBody {
		return buffer, errors.Newf("record of %d bytes exceeds %d", len(data), maxBody)
	}
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(data)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(data, castagnoli))
	return append(buffer, data...), nil
}

// readFrame decodes the frame at the start of data and returns its size.
func readFrame(data []byte) (body, int, error) {
	if len(data) < headerBytes {
		return body{}, 0, errTorn
	}
	size := uint64(binary.LittleEndian.Uint32(data))
	if size == 0 || size > maxBody || size > math.MaxInt32 || uint64(len(data)-headerBytes) < size {
		return body{}, 0, errTorn
	}
	content := data[headerBytes : headerBytes+size]
	if crc32.Checksum(content, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return body{}, 0, errTorn
	}
	var b body
	if err := record.Decode(content, &b); err != nil {
		return body{}, 0, errors.Mark(err, errTorn)
	}
	return b, headerBytes + int(size), nil
}
