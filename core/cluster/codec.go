package cluster

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/ledger"
	"papayaquay/core/registry"
	"papayaquay/core/usage"
)

// Pair encodes and decodes values of one type.
type Pair[T any] struct {
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)
}

// NewPair returns a pair of functions that are inverse to each other.
func NewPair[T any](encode func(T) ([]byte, error), decode func([]byte) (T, error)) Pair[T] {
	return Pair[T]{encode: encode, decode: decode}
}

// Encode encodes a value.
func (p Pair[T]) Encode(value T) ([]byte, error) { return p.encode(value) }

// Decode decodes a value.
func (p Pair[T]) Decode(data []byte) (T, error) { return p.decode(data) }

// Following is what an instance tells the control instance that it follows.
type Following struct {
	node    directory.Node
	epoch   uint64
	version uint64
	number  uint64
	founded bool
}

// NewFollowing returns a poll: who asks, which directory version and which
// configuration it has, and whether its ledger is founded.
func NewFollowing(node directory.Node, epoch, version, number uint64, founded bool) Following {
	return Following{node: node, epoch: epoch, version: version, number: number, founded: founded}
}

// Node returns who asks.
func (f Following) Node() directory.Node { return f.node }

// Epoch returns the epoch of the directory version.
func (f Following) Epoch() uint64 { return f.epoch }

// Version returns the directory version that the follower has.
func (f Following) Version() uint64 { return f.version }

// Number returns the number of the configuration that the follower has.
func (f Following) Number() uint64 { return f.number }

// Founded reports that the follower needs no list of founders.
func (f Following) Founded() bool { return f.founded }

// News answers a poll.
type News struct {
	update   directory.Update
	document registry.Document
	founders []ledger.Member
	age      time.Duration
}

// NewNews returns changes of the directory, a newer configuration if there is
// one, the founders of the jobs ledger if they are needed, and how old all that
// may be: the time since the sender was in touch with the control ledger's
// leader.
func NewNews(update directory.Update, document registry.Document, founders []ledger.Member, age time.Duration) News {
	return News{update: update, document: document, founders: founders, age: age}
}

// Update returns the changes of the directory.
func (n News) Update() directory.Update { return n.update }

// Document returns a newer configuration; its number is 0 if there is none.
func (n News) Document() registry.Document { return n.document }

// Founders returns the founders of the jobs ledger, if needed and known.
func (n News) Founders() []ledger.Member { return n.founders }

// Age returns how long ago the sender was in touch with the control ledger's
// leader.
func (n News) Age() time.Duration { return n.age }

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

// Sums is what changed of the load of all instances, with the number of entries
// that report.
type Sums struct {
	reporters int
	change    usage.Update
}

// NewSums returns a change of the sums over the reports of so many entries.
func NewSums(reporters int, change usage.Update) Sums {
	return Sums{reporters: reporters, change: change}
}

// Reporters returns the number of entries that report.
func (s Sums) Reporters() int { return s.reporters }

// Change returns what changed since the asker's last answer.
func (s Sums) Change() usage.Update { return s.change }

// Codec encodes what travels and what is stored.
type Codec struct {
	Registry      Pair[registry.Command]
	RegistryState Pair[*registry.State]
	Batch         Pair[batch.Command]
	BatchState    Pair[BatchExport]
	Following     Pair[Following]
	News          Pair[News]
	Enquiry       Pair[usage.SyncRequest]
	Sums          Pair[Sums]
	Query         Pair[Query]
	Page          Pair[batch.Page]
}

// BatchExport is the content of a snapshot of the jobs ledger.
type BatchExport struct {
	jobs     []batch.Job
	retirees []string
}

// NewBatchExport returns the content of a snapshot.
func NewBatchExport(jobs []batch.Job, retirees []string) BatchExport {
	return BatchExport{jobs: jobs, retirees: retirees}
}

// Jobs returns the jobs.
func (e BatchExport) Jobs() []batch.Job { return e.jobs }

// Retirees returns the instances to be emptied.
func (e BatchExport) Retirees() []string { return e.retirees }
