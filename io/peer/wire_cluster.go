package peer

import (
	"encoding/binary"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/cluster"
	"papayaquay/core/ledger"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// clusterPacket is the wire format of cluster.Packet.
type clusterPacket struct {
	From           string           `cbor:"1,keyasint"`
	To             string           `cbor:"2,keyasint"`
	LedgerMessages []ledgerMessage  `cbor:"3,keyasint,omitempty"`
	Requests       []clusterRequest `cbor:"4,keyasint,omitempty"`
	Replies        []clusterReply   `cbor:"5,keyasint,omitempty"`
}

// clusterRequest is the wire format of call.Request.
type clusterRequest struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Kind    uint8
	Hold    int64 // maximum wait in milliseconds
	Payload []byte
}

// clusterReply is the wire format of call.Reply.
type clusterReply struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Status  uint8
	Leader  string
	Payload []byte
}

// minSharedPayloadBytes is the size from which the payload of a packet's last reply is a part
// of its own. A smaller one is cheaper to copy.
const minSharedPayloadBytes = 16 << 10

// CBOR encoding of byte strings (RFC 8949, section 3).
const (
	emptyByteString = 0x40
	byteStringHead  = 0x5a // followed by a length of four bytes
)

// EncodeCluster encodes a packet of a cluster world in one or two parts. The second part is
// the payload of the last reply: it may be a large document that is sent to many instances
// at the same time, and which must not be in memory once for each of them. It returns ErrFrameTooLarge for a packet that no
// other instance would receive.
func EncodeCluster(p cluster.Packet) ([][]byte, error) {
	wire := clusterPacket{From: p.From(), To: p.To()}
	for _, m := range p.LedgerMessages() {
		wire.LedgerMessages = append(wire.LedgerMessages, toLedger(m))
	}
	for _, r := range p.Requests() {
		wire.Requests = append(wire.Requests, clusterRequest{Number: r.Number(), Kind: uint8(r.Kind()),
			Hold: r.MaxWait().Milliseconds(), Payload: r.Payload()})
	}
	for _, r := range p.Replies() {
		wire.Replies = append(wire.Replies, clusterReply{Number: r.Number(), Status: uint8(r.Status()),
			Leader: r.Leader(), Payload: r.Payload()})
	}
	var shared []byte
	if n := len(wire.Replies); n > 0 && len(wire.Replies[n-1].Payload) >= minSharedPayloadBytes {
		shared, wire.Replies[n-1].Payload = wire.Replies[n-1].Payload, []byte{}
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode packet")
	}
	if shared == nil {
		return [][]byte{data}, checkSize(data)
	}
	if data[len(data)-1] != emptyByteString {
		return nil, errors.New("a packet does not end with the payload of its last reply")
	}
	data = binary.BigEndian.AppendUint32(append(data[:len(data)-1], byteStringHead), uint32(len(shared)))
	return [][]byte{data, shared}, checkSize(data, shared)
}

// DecodeCluster is the inverse of EncodeCluster.
func DecodeCluster(data []byte) (cluster.Packet, error) {
	var wire clusterPacket
	if err := record.Decode(data, &wire); err != nil {
		return cluster.Packet{}, err
	}
	var ledgers []ledger.Message
	for _, m := range wire.LedgerMessages {
		ledgers = append(ledgers, m.message(wire.From, wire.To))
	}
	var requests []call.Request
	for _, r := range wire.Requests {
		requests = append(requests, call.NewRequest(r.Number, call.Kind(r.Kind), time.Duration(r.Hold)*time.Millisecond, r.Payload))
	}
	var replies []call.Reply
	for _, r := range wire.Replies {
		if call.Status(r.Status) == call.StatusRedirect {
			replies = append(replies, call.NewRedirect(r.Number, r.Leader))
			continue
		}
		replies = append(replies, call.NewReply(r.Number, call.Status(r.Status), r.Payload))
	}
	return cluster.NewPacket(wire.From, wire.To, ledgers, requests, replies), nil
}

// ClusterPacketHandler returns a function for NewServer that decodes packets for
// the cluster world at a peer address and passes them to deliver, with their size in bytes. The function
// returns ErrMisdirected for a packet with another sender or receiver, and ErrUnreadable for one that cannot be
// decoded.
func ClusterPacketHandler(address string, deliver func(packet cluster.Packet, size int)) func(from string, data []byte) error {
	return func(from string, data []byte) error {
		p, err := DecodeCluster(data)
		if err != nil {
			return errors.Wrapf(ErrUnreadable, "%v", err)
		}
		if p.From() != from || p.To() != address {
			return errors.Wrapf(ErrMisdirected, "from %s to %s", p.From(), p.To())
		}
		deliver(p, len(data))
		return nil
	}
}
