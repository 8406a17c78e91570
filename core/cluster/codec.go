package cluster

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/quarantine"
	"papayaquay/core/registry"
	"papayaquay/core/stream"
	"papayaquay/core/usage"
)

// Encoding encodes and decodes values of one type.
type Encoding[T any] struct {
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)
}

// NewEncoding returns an encoding; encode and decode are inverse to each other.
func NewEncoding[T any](encode func(T) ([]byte, error), decode func([]byte) (T, error)) Encoding[T] {
	return Encoding[T]{encode: encode, decode: decode}
}

// Encode encodes a value.
func (e Encoding[T]) Encode(value T) ([]byte, error) { return e.encode(value) }

// Decode decodes a value.
func (e Encoding[T]) Decode(data []byte) (T, error) { return e.decode(data) }

// PollRequest is what an instance sends to a control instance that it polls. A
// long poll waits there until something changes.
type PollRequest struct {
	instance          directory.Instance
	epoch             uint64
	version           uint64
	configNumber      uint64
	hasInitialMembers bool
	fetchesParts      bool
}

// NewPollRequest returns a poll of an instance: the directory version and the
// configuration number that it knows, and whether it needs no list of initial
// members of the jobs ledger.
func NewPollRequest(instance directory.Instance, epoch, version, configNumber uint64, hasInitialMembers bool) PollRequest {
	return PollRequest{instance: instance, epoch: epoch, version: version, configNumber: configNumber, hasInitialMembers: hasInitialMembers}
}

// WithFetchedDocuments returns a copy of the poll of an instance that fetches documents in
// parts. Its responses contain the number of a newer document only. Instances of earlier
// versions need whole documents.
func (r PollRequest) WithFetchedDocuments() PollRequest {
	r.fetchesParts = true
	return r
}

// FetchesDocuments reports whether the polling instance fetches documents in parts.
func (r PollRequest) FetchesDocuments() bool { return r.fetchesParts }

// Instance returns the description of the polling instance.
func (r PollRequest) Instance() directory.Instance { return r.instance }

// Epoch returns the epoch of the directory version.
func (r PollRequest) Epoch() uint64 { return r.epoch }

// Version returns the directory version of the polling instance; 0 means none.
func (r PollRequest) Version() uint64 { return r.version }

// ConfigNumber returns the number of the newest configuration that the polling instance
// knows of.
func (r PollRequest) ConfigNumber() uint64 { return r.configNumber }

// HasInitialMembers reports whether the polling instance needs no list of
// initial members.
func (r PollRequest) HasInitialMembers() bool { return r.hasInitialMembers }

// PollResponse answers a poll.
type PollResponse struct {
	update         directory.Update
	document       registry.Document
	initialMembers []ledger.Member
	staleness      time.Duration
	hasVersions    bool
}

// NewPollResponse returns the changes of the directory, a newer configuration if
// there is one (without its content if the polling instance fetches it in parts), the initial members of the jobs ledger if they are needed, and
// the staleness of all these: the time since the sender's last contact with the
// leader of the control ledger.
func NewPollResponse(update directory.Update, document registry.Document, initialMembers []ledger.Member, staleness time.Duration) PollResponse {
	return PollResponse{update: update, document: document, initialMembers: initialMembers, staleness: staleness}
}

// WithVersions returns a copy of the response that contains the software versions of the
// backend servers. Instances of earlier versions don't understand it.
func (r PollResponse) WithVersions() PollResponse {
	r.hasVersions = true
	return r
}

// HasVersions reports whether the response contains the software versions of the backend
// servers.
func (r PollResponse) HasVersions() bool { return r.hasVersions }

// Update returns the changes of the directory.
func (r PollResponse) Update() directory.Update { return r.update }

// Document returns a newer configuration; its number is 0 if there is none.
func (r PollResponse) Document() registry.Document { return r.document }

// InitialMembers returns the initial members of the jobs ledger, if they are
// needed and known.
func (r PollResponse) InitialMembers() []ledger.Member { return r.initialMembers }

// Staleness returns the time since the sender's last contact with the leader of
// the control ledger.
func (r PollResponse) Staleness() time.Duration { return r.staleness }

// Query asks for the results of a job or for the body of one of its items.
type Query struct {
	job   string
	after int
	item  string
}

// NewQuery returns a query for the results of a job after a position, or for the
// body of an item.
func NewQuery(job string, after int, item string) Query {
	return Query{job: job, after: after, item: item}
}

// Job returns the job's id.
func (q Query) Job() string { return q.job }

// After returns the position after which results are asked for.
func (q Query) After() int { return q.after }

// Item returns the id of the item whose body is asked for.
func (q Query) Item() string { return q.item }

// Loads is the load of all instances together, by backend server.
type Loads map[string]usage.Load

// LoadUpdate updates a reader's copy of the load totals.
type LoadUpdate struct {
	reporters int
	update    usage.Update
}

// NewLoadUpdate returns an update of the load totals over the given number of
// reporting entry instances.
func NewLoadUpdate(reporters int, update usage.Update) LoadUpdate {
	return LoadUpdate{reporters: reporters, update: update}
}

// Reporters returns the number of entry instances that report their load.
func (u LoadUpdate) Reporters() int { return u.reporters }

// Update returns what changed since the last answer to the requester.
func (u LoadUpdate) Update() usage.Update { return u.update }

// Codec holds the encodings of messages between instances and of stored state.
type Codec struct {
	Registry        Encoding[registry.Command]
	RegistryState   Encoding[*registry.State]
	Batch           Encoding[batch.Command]
	BatchSnapshot   Encoding[BatchSnapshot]
	PollRequest     Encoding[PollRequest]
	PollResponse    Encoding[PollResponse]
	Document        Encoding[registry.Document]
	DocumentRequest Encoding[DocumentRequest]
	DocumentPart    Encoding[DocumentPart]
	SyncRequest     Encoding[usage.SyncRequest]
	LoadUpdate      Encoding[LoadUpdate]
	EvidenceRequest Encoding[quarantine.SyncRequest]
	EvidenceUpdate  Encoding[quarantine.Update]
	StreamRecords   Encoding[[]stream.Record]
	StreamQuery     Encoding[stream.Query]
	StreamAnswer    Encoding[stream.Answer]
	Query           Encoding[Query]
	Page            Encoding[batch.Page]
}

// BatchSnapshot is the content of a snapshot of the jobs ledger.
type BatchSnapshot struct {
	jobs     []batch.Job
	retiring []string
}

// NewBatchSnapshot returns the content of a snapshot: the jobs and the instances
// that are being emptied.
func NewBatchSnapshot(jobs []batch.Job, retiring []string) BatchSnapshot {
	return BatchSnapshot{jobs: jobs, retiring: retiring}
}

// Jobs returns the jobs.
func (s BatchSnapshot) Jobs() []batch.Job { return s.jobs }

// RetiringInstances returns the addresses of the instances that are being
// emptied.
func (s BatchSnapshot) RetiringInstances() []string { return s.retiring }
