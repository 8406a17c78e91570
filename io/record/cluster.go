package record

import (
	"maps"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/registry"
	"papayaquay/core/usage"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// NewClusterCodec returns the codec for the values that a cluster world stores and
// sends.
func NewClusterCodec() cluster.Codec {
	return cluster.Codec{
		Registry:        cluster.NewEncoding(encodeRegistryCommand, decodeRegistryCommand),
		RegistryState:   cluster.NewEncoding(encodeRegistryState, decodeRegistryState),
		Batch:           cluster.NewEncoding(encodeBatchCommand, decodeBatchCommand),
		BatchSnapshot:   cluster.NewEncoding(encodeBatchSnapshot, decodeBatchSnapshot),
		PollRequest:     cluster.NewEncoding(encodePollRequest, decodePollRequest),
		PollResponse:    cluster.NewEncoding(encodePollResponse, decodePollResponse),
		Document:        cluster.NewEncoding(encodeDocument, decodeDocument),
		DocumentRequest: cluster.NewEncoding(encodeDocumentRequest, decodeDocumentRequest),
		DocumentPart:    cluster.NewEncoding(encodeDocumentPart, decodeDocumentPart),
		SyncRequest:     cluster.NewEncoding(encodeSyncRequest, decodeSyncRequest),
		LoadUpdate:      cluster.NewEncoding(encodeLoadUpdate, decodeLoadUpdate),
		EvidenceRequest: cluster.NewEncoding(encodeEvidenceRequest, decodeEvidenceRequest),
		EvidenceUpdate:  cluster.NewEncoding(encodeEvidenceUpdate, decodeEvidenceUpdate),
		StreamRecords:   cluster.NewEncoding(encodeStreamRecords, decodeStreamRecords),
		StreamQuery:     cluster.NewEncoding(encodeStreamQuery, decodeStreamQuery),
		StreamAnswer:    cluster.NewEncoding(encodeStreamAnswer, decodeStreamAnswer),
		Query:           cluster.NewEncoding(encodeQuery, decodeQuery),
		Page:            cluster.NewEncoding(encodePage, decodePage),
	}
}

// document is the wire format of registry.Document.
type document struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Content []byte
}

// toDocument returns the wire format of a document.
func toDocument(d registry.Document) document {
	return document{Number: d.Number(), Content: d.Content()}
}

// document returns the document.
func (d document) document() registry.Document { return registry.NewDocument(d.Number, d.Content) }

// leavingBackend is the wire format of registry.LeavingBackend.
type leavingBackend struct {
	_           struct{} `cbor:",toarray"`
	Backend     string
	Incarnation uint64
}

// registryCommand is the wire format of registry.Command. Only one of the fields is
// set.
type registryCommand struct {
	_         struct{} `cbor:",toarray"`
	Document  document
	Founders  []Member // initial members of the jobs ledger
	Departure leavingBackend
}

// encodeRegistryCommand encodes a command of the control ledger.
func encodeRegistryCommand(c registry.Command) ([]byte, error) {
	wire := registryCommand{Document: toDocument(c.Document()), Founders: ToMembers(c.InitialMembers()),
		Departure: leavingBackend{Backend: c.Leaving().Backend(), Incarnation: c.Leaving().Incarnation()}}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode registry command")
}

// decodeRegistryCommand decodes a command of the control ledger.
func decodeRegistryCommand(data []byte) (registry.Command, error) {
	var wire registryCommand
	if err := Decode(data, &wire); err != nil {
		return registry.Command{}, err
	}
	switch {
	case wire.Document.Number > 0:
		return registry.Configure(wire.Document.document()), nil
	case len(wire.Founders) > 0:
		return registry.SetInitialMembers(Members(wire.Founders)), nil
	}
	return registry.Leave(registry.NewLeavingBackend(wire.Departure.Backend, wire.Departure.Incarnation)), nil
}

// registryState is the wire format of registry.State.
type registryState struct {
	_        struct{} `cbor:",toarray"`
	Document document
	Founders []Member // initial members of the jobs ledger
	Leaving  []leavingBackend
}

// encodeRegistryState encodes a snapshot of the control ledger.
func encodeRegistryState(s *registry.State) ([]byte, error) {
	wire := registryState{Document: toDocument(s.Document()), Founders: ToMembers(s.InitialMembers())}
	for _, b := range s.Leaving() {
		wire.Leaving = append(wire.Leaving, leavingBackend{Backend: b.Backend(), Incarnation: b.Incarnation()})
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode registry state")
}

// decodeRegistryState decodes a snapshot of the control ledger.
func decodeRegistryState(data []byte) (*registry.State, error) {
	var wire registryState
	if err := Decode(data, &wire); err != nil {
		return nil, err
	}
	var leaving []registry.LeavingBackend
	for _, b := range wire.Leaving {
		leaving = append(leaving, registry.NewLeavingBackend(b.Backend, b.Incarnation))
	}
	return registry.Restore(wire.Document.document(), Members(wire.Founders), leaving), nil
}

// syncRequest is the wire format of usage.SyncRequest.
type syncRequest struct {
	_       struct{}       `cbor:",toarray"`
	Running map[string]int // number of running requests by backend server id
	Epoch   uint64
	Version uint64
}

// limitedSyncRequest is the wire format of a usage.SyncRequest with limits of backend
// servers. Instances of earlier versions understand a syncRequest only.
type limitedSyncRequest struct {
	_       struct{} `cbor:",toarray"`
	Running map[string]int
	Epoch   uint64
	Version uint64
	Limited map[string]limitedUse // by backend server id
}

// limitedUse is the wire format of usage.LimitedUse.
type limitedUse struct {
	_           struct{} `cbor:",toarray"`
	PerSecond   float64
	Incarnation uint64
	AgeMS       int64
	Burst       int // requests within usage.BurstWindow
	Sustained   int // requests within usage.SustainedWindow
}

// toLimitedUse returns the wire format of a limit.
func toLimitedUse(limit usage.Limit, age time.Duration, sent usage.Sent) limitedUse {
	return limitedUse{PerSecond: limit.PerSecond(), Incarnation: limit.Incarnation(), AgeMS: age.Milliseconds(),
		Burst: sent.Burst(), Sustained: sent.Sustained()}
}

// limit returns the limit.
func (u limitedUse) limit() usage.Limit { return usage.NewLimit(u.PerSecond, u.Incarnation) }

// sent returns the requests sent.
func (u limitedUse) sent() usage.Sent { return usage.NewSent(u.Burst, u.Sustained) }

// arrayOf4 is the first byte of an array of four elements (RFC 8949, section 3).
const arrayOf4 = 0x84

// encodeSyncRequest encodes the load report of an instance and its cursor in the
// load totals.
func encodeSyncRequest(r usage.SyncRequest) ([]byte, error) {
	wire := limitedSyncRequest{Running: r.Report().Running(), Epoch: r.Cursor().Epoch(), Version: r.Cursor().Version()}
	if len(r.Report().Limited()) == 0 {
		data, err := cbor.Marshal(syncRequest{Running: wire.Running, Epoch: wire.Epoch, Version: wire.Version})
		return data, errors.Wrap(err, "encode sync request")
	}
	wire.Limited = make(map[string]limitedUse, len(r.Report().Limited()))
	for id, use := range r.Report().Limited() {
		wire.Limited[id] = toLimitedUse(use.Limit(), use.Age(), use.Sent())
	}
	data, err := cbor.Marshal(wire)
	return data, errors.Wrap(err, "encode sync request")
}

// decodeSyncRequest decodes the load report of an instance and its cursor in the
// load totals. Backend servers that can't be read are left out.
func decodeSyncRequest(data []byte) (usage.SyncRequest, error) {
	var wire limitedSyncRequest
	var bad unreadable
	var err error
	if len(data) > 0 && data[0] == arrayOf4 {
		err = bad.decode(data, &wire)
	} else {
		var plain syncRequest
		err = bad.decode(data, &plain)
		wire.Running, wire.Epoch, wire.Version = plain.Running, plain.Epoch, plain.Version
	}
	if err != nil {
		return usage.SyncRequest{}, err
	}
	maps.DeleteFunc(wire.Running, func(id string, _ int) bool { return bad.holds("backend server", id) })
	report := usage.NewReport(wire.Running)
	if len(wire.Limited) > 0 {
		limited := make(map[string]usage.LimitedUse, len(wire.Limited))
		for id, use := range wire.Limited {
			if !bad.holds("limit of backend server", id) {
				limited[id] = usage.NewLimitedUse(use.limit(), time.Duration(use.AgeMS)*time.Millisecond, use.sent())
			}
		}
		report = report.WithLimited(limited)
	}
	return usage.NewSyncRequest(report, usage.NewCursor(wire.Epoch, wire.Version)), bad.err()
}

// loadUpdate is the wire format of cluster.LoadUpdate.
type loadUpdate struct {
	_         struct{} `cbor:",toarray"`
	Reporters int
	Epoch     uint64
	Version   uint64
	Whole     bool              // a full update
	Loads     map[string][2]int // online and batch load by backend server id
}

// limitedLoadUpdate is the wire format of a cluster.LoadUpdate with limits of backend servers.
// Instances of earlier versions understand a loadUpdate only.
type limitedLoadUpdate struct {
	_       struct{} `cbor:",toarray"`
	Update  loadUpdate
	Limited map[string]limitedUse // by backend server id
}

// arrayOf2 is the first byte of an array of two elements (RFC 8949, section 3).
const arrayOf2 = 0x82

// encodeLoadUpdate encodes an update of the load totals.
func encodeLoadUpdate(u cluster.LoadUpdate) ([]byte, error) {
	update := u.Update()
	wire := loadUpdate{Reporters: u.Reporters(), Epoch: update.Cursor().Epoch(), Version: update.Cursor().Version(), Whole: update.Full(),
		Loads: make(map[string][2]int, len(update.Loads()))}
	limited := make(map[string]limitedUse)
	for id, load := range update.Loads() {
		wire.Loads[id] = [2]int{load.Online(), load.Batch()}
		if limit := load.Limit(); limit.PerSecond() > 0 {
			limited[id] = toLimitedUse(limit, 0, load.Sent())
		}
	}
	var message any = wire
	if len(limited) > 0 {
		message = limitedLoadUpdate{Update: wire, Limited: limited}
	}
	data, err := cbor.Marshal(message)
	return data, errors.Wrap(err, "encode load update")
}

// decodeLoadUpdate decodes an update of the load totals. Backend servers that can't be read are left out.
func decodeLoadUpdate(data []byte) (cluster.LoadUpdate, error) {
	var message limitedLoadUpdate
	var target any = &message.Update
	if len(data) > 0 && data[0] == arrayOf2 {
		target = &message
	}
	var bad unreadable
	if err := bad.decode(data, target); err != nil {
		return cluster.LoadUpdate{}, err
	}
	wire := message.Update
	loads := make(map[string]usage.Load, len(wire.Loads))
	for id, counts := range wire.Loads {
		if bad.holds("backend server", id) {
			continue
		}
		loads[id] = usage.NewLoad(counts[0], counts[1])
		if use, ok := message.Limited[id]; ok {
			loads[id] = loads[id].WithLimit(use.limit(), use.sent())
		}
	}
	return cluster.NewLoadUpdate(wire.Reporters, usage.NewUpdate(usage.NewCursor(wire.Epoch, wire.Version), wire.Whole, loads)), bad.err()
}
