package home

// Item is one piece of work of a job.
type Item struct {
	prompt    string
	maxTokens int
}

// NewItem returns an item; maxTokens bounds the generated text.
func NewItem(prompt string, maxTokens int) Item { return Item{prompt: prompt, maxTokens: maxTokens} }

// Prompt returns the input text.
func (i Item) Prompt() string { return i.prompt }

// MaxTokens returns the bound on generated tokens.
func (i Item) MaxTokens() int { return i.maxTokens }

// ItemState tells how far an item is.
type ItemState uint8

// Item states.
const (
	ItemPending ItemState = iota
	ItemLeased
	ItemDone
)

// LeasedItem is an item handed to an owner.
type LeasedItem struct {
	job        Key
	index      int
	service    string
	atMostOnce bool
	item       Item
}

// NewLeasedItem returns a leased item.
func NewLeasedItem(job Key, index int, service string, once bool, item Item) LeasedItem {
	return LeasedItem{job: job, index: index, service: service, atMostOnce: once, item: item}
}

// Job returns the job's key.
func (l LeasedItem) Job() Key { return l.job }

// Index returns the item's position in the job, from 0.
func (l LeasedItem) Index() int { return l.index }

// Service returns the service that runs the item.
func (l LeasedItem) Service() string { return l.service }

// AtMostOnce reports whether the item must not be run again.
func (l LeasedItem) AtMostOnce() bool { return l.atMostOnce }

// Item returns the work.
func (l LeasedItem) Item() Item { return l.item }

// Completion is the answer to one item.
type Completion struct {
	job    Key
	index  int
	answer Answer
}

// NewCompletion returns the answer to item index of a job.
func NewCompletion(job Key, index int, answer Answer) Completion {
	return Completion{job: job, index: index, answer: answer}
}

// Job returns the job's key.
func (c Completion) Job() Key { return c.job }

// Index returns the item's position in the job.
func (c Completion) Index() int { return c.index }

// Answer returns the answer.
func (c Completion) Answer() Answer { return c.answer }

// JobStatus counts the items of a job by state.
type JobStatus struct {
	key       Key
	service   string
	total     int
	received  int
	leased    int
	done      int
	failed    int
	cancelled bool
}

// NewJobStatus returns a status from its counts.
func NewJobStatus(key Key, service string, total, received, leased, done, failed int, cancelled bool) JobStatus {
	return JobStatus{key: key, service: service, total: total, received: received,
		leased: leased, done: done, failed: failed, cancelled: cancelled}
}

// Key returns the job's key.
func (s JobStatus) Key() Key { return s.key }

// Service returns the service of the job.
func (s JobStatus) Service() string { return s.service }

// Total returns the declared number of items.
func (s JobStatus) Total() int { return s.total }

// Received returns the number of items stored so far.
func (s JobStatus) Received() int { return s.received }

// LeasedItem returns the number of items handed to an owner.
func (s JobStatus) Leased() int { return s.leased }

// Done returns the number of items with an answer, failed ones included.
func (s JobStatus) Done() int { return s.done }

// Failed returns the number of items whose answer is not OK.
func (s JobStatus) Failed() int { return s.failed }

// Cancelled reports whether the job was cancelled.
func (s JobStatus) Cancelled() bool { return s.cancelled }

// Finished reports whether nothing more will happen to the job.
func (s JobStatus) Finished() bool {
	return s.cancelled && s.leased == 0 || s.total > 0 && s.done == s.total
}
