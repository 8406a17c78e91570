package cluster

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
	"papayaquay/core/usage"
)

// Encoding encodes and decodes values of one type.
type Encoding[T any] struct {
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)
}

// NewEncoding returns a pair of functions that are inverse to each other.
func NewEncoding[T any](encode func(T) ([]byte, error), decode func([]byte) (T, error)) Encoding[T] {
	return Encoding[T]{encode: encode, decode: decode}
}

// Encode encodes a value.
func (p Encoding[T]) Encode(value T) ([]byte, error) { return p.encode(value) }

// Decode decodes a value.
func (p Encoding[T]) Decode(data []byte) (T, error) { return p.decode(data) }

// PollRequest is what an instance tells the control instance that it follows.
type PollRequest struct {
	node              directory.Node
	epoch             uint64
	version           uint64
	configNumber      uint64
	hasInitialMembers bool
}

// NewPollRequest returns a poll: who asks, which directory version and which
// configuration it has, and whether its ledger is founded.
func NewPollRequest(node directory.Node, epoch, version, number uint64, founded bool) PollRequest {
	return PollRequest{node: node, epoch: epoch, version: version, configNumber: number, hasInitialMembers: founded}
}

// Node returns who asks.
func (f PollRequest) Node() directory.Node { return f.node }

// Epoch returns the epoch of the directory version.
func (f PollRequest) Epoch() uint64 { return f.epoch }

// Version returns the directory version that the follower has.
func (f PollRequest) Version() uint64 { return f.version }

// ConfigNumber returns the number of the configuration that the follower has.
func (f PollRequest) ConfigNumber() uint64 { return f.configNumber }

// HasInitialMembers reports that the follower needs no list of founders.
func (f PollRequest) HasInitialMembers() bool { return f.hasInitialMembers }

// PollResponse answers a poll.
type PollResponse struct {
	update         directory.Update
	document       registry.Document
	initialMembers []ledger.Member
	staleness      time.Duration
}

// NewPollResponse returns changes of the directory, a newer configuration if there is
// one, the founders of the jobs ledger if they are needed, and how old all that
// may be: the time since the sender was in touch with the control ledger's
// leader.
func NewPollResponse(update directory.Update, document registry.Document, founders []ledger.Member, age time.Duration) PollResponse {
	return PollResponse{update: update, document: document, initialMembers: founders, staleness: age}
}

// Update returns the changes of the directory.
func (n PollResponse) Update() directory.Update { return n.update }

// Document returns a newer configuration; its number is 0 if there is none.
func (n PollResponse) Document() registry.Document { return n.document }

// InitialMembers returns the founders of the jobs ledger, if needed and known.
func (n PollResponse) InitialMembers() []ledger.Member { return n.initialMembers }

// Staleness returns how long ago the sender was in touch with the control ledger's
// leader.
func (n PollResponse) Staleness() time.Duration { return n.staleness }

// Query asks for a part of a job.
type Query struct {
	job   string
	after int
	item  string
}

// NewQuery returns a query for the results after a position, or for the body
// of an item.
func NewQuery(job string, after int, item string) Query {
	return Query{job: job, after: after, item: item}
}

// Job returns the job's id.
func (q Query) Job() string { return q.job }

// After returns the position to read from.
func (q Query) After() int { return q.after }

// Item returns the id of the item whose body is asked for.
func (q Query) Item() string { return q.item }

// Loads is what all instances run, by backend server.
type Loads map[string]usage.Load

// LoadUpdate is what changed of the load of all instances, with the number of entries
// that report.
type LoadUpdate struct {
	reporters int
	change    usage.Update
}

// NewLoadUpdate returns a change of the sums over the reports of so many entries.
func NewLoadUpdate(reporters int, change usage.Update) LoadUpdate {
	return LoadUpdate{reporters: reporters, change: change}
}

// Reporters returns the number of entries that report.
func (s LoadUpdate) Reporters() int { return s.reporters }

// Change returns what changed since the asker's last answer.
func (s LoadUpdate) Change() usage.Update { return s.change }

// Codec encodes what travels and what is stored.
type Codec struct {
	Registry      Encoding[registry.Command]
	RegistryState Encoding[*registry.State]
	Batch         Encoding[batch.Command]
	BatchSnapshot Encoding[BatchSnapshot]
	PollRequest   Encoding[PollRequest]
	PollResponse  Encoding[PollResponse]
	UsageRequest  Encoding[usage.SyncRequest]
	LoadUpdate    Encoding[LoadUpdate]
	Query         Encoding[Query]
	Page          Encoding[batch.Page]
}

// BatchSnapshot is the content of a snapshot of the jobs ledger.
type BatchSnapshot struct {
	jobs     []batch.Job
	retiring []string
}

// NewBatchSnapshot returns the content of a snapshot.
func NewBatchSnapshot(jobs []batch.Job, retirees []string) BatchSnapshot {
	return BatchSnapshot{jobs: jobs, retiring: retirees}
}

// Jobs returns the jobs.
func (e BatchSnapshot) Jobs() []batch.Job { return e.jobs }

// RetiringInstances returns the instances to be emptied.
func (e BatchSnapshot) RetiringInstances() []string { return e.retiring }
