package peer

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/cluster"
	"papayaquay/core/ledger"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// clusterPacket is the wire form of cluster.Packet.
type clusterPacket struct {
	From     string          `cbor:"1,keyasint"`
	To       string          `cbor:"2,keyasint"`
	Ledgers  []ledgerMessage `cbor:"3,keyasint,omitempty"`
	Requests []clusterCall   `cbor:"4,keyasint,omitempty"`
	Replies  []clusterReply  `cbor:"5,keyasint,omitempty"`
}

// clusterCall is the wire form of call.Request.
type clusterCall struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Kind    uint8
	Hold    int64 // milliseconds
	Payload []byte
}

// clusterReply is the wire form of call.Reply.
type clusterReply struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Status  uint8
	Leader  string
	Payload []byte
}

// EncodeCluster encodes a packet of a cluster world.
func EncodeCluster(p cluster.Packet) ([]byte, error) {
	wire := clusterPacket{From: p.From(), To: p.To()}
	for _, m := range p.LedgerMessages() {
		wire.Ledgers = append(wire.Ledgers, toLedger(m))
	}
	for _, r := range p.Requests() {
		wire.Requests = append(wire.Requests, clusterCall{Number: r.Number(), Kind: uint8(r.Kind()),
			Hold: r.MaxWait().Milliseconds(), Payload: r.Payload()})
	}
	for _, r := range p.Replies() {
		wire.Replies = append(wire.Replies, clusterReply{Number: r.Number(), Status: uint8(r.Status()),
			Leader: r.Leader(), Payload: r.Payload()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode packet")
}

// DecodeCluster is the inverse of EncodeCluster.
func DecodeCluster(data []byte) (cluster.Packet, error) {
	var wire clusterPacket
	if err := record.Decode(data, &wire); err != nil {
		return cluster.Packet{}, err
	}
	var ledgers []ledger.Message
	for _, m := range wire.Ledgers {
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

// ClusterPacketHandler returns a function for NewServer that decodes packets to the
// cluster world at a peer address.
func ClusterPacketHandler(address string, deliver func(cluster.Packet)) func(from string, data []byte) error {
	return func(from string, data []byte) error {
		p, err := DecodeCluster(data)
		if err != nil {
			return err
		}
		if p.From() != from || p.To() != address {
			return errors.Wrapf(ErrMisdirected, "from %s to %s", p.From(), p.To())
		}
		deliver(p)
		return nil
	}
}
