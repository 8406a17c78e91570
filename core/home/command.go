package home

import "time"

// CommandKind is the operation that a command performs.
type CommandKind uint8

// Command kinds.
const (
	CommandPutAnswer    CommandKind = iota + 1 // store the answer to a key; the first answer wins
	CommandStart                               // record the start of an at-most-once request
	CommandSubmit                              // create a job or add items to it
	CommandCancel                              // cancel a job
	CommandLease                               // lease items to an owner and renew its leases
	CommandComplete                            // store answers to items; the first answer to each wins
	CommandRelease                             // return leased items without an answer
	CommandCountCrash                          // count a crash against a fingerprint
	CommandRemoveAnswer                        // delete an answer that was moved to its home ledger
	CommandExpire                              // end expired leases and delete rows past their retention
)

// Command is one change of a home ledger.
type Command struct {
	kind        CommandKind
	key         Key
	answer      Answer
	service     string
	atMostOnce  bool
	total       int
	offset      int
	items       []Item
	owner       string
	limit       int
	until       time.Time
	at          time.Time
	completions []Completion
	fingerprint uint64
	number      uint64
}

// CommandOption sets optional fields of a command.
type CommandOption func(*Command)

// WithAnswer sets the answer of CommandPutAnswer.
func WithAnswer(answer Answer) CommandOption { return func(c *Command) { c.answer = answer } }

// WithService sets the service of a job or restricts a lease to one service.
func WithService(service string) CommandOption { return func(c *Command) { c.service = service } }

// WithAtMostOnce marks work that must not be retried after it may have run.
func WithAtMostOnce(once bool) CommandOption { return func(c *Command) { c.atMostOnce = once } }

// WithItems adds items, starting at position offset, to a job of total items.
func WithItems(total, offset int, items []Item) CommandOption {
	return func(c *Command) { c.total, c.offset, c.items = total, offset, items }
}

// WithOwner sets the owner of leases and the time at which they expire.
func WithOwner(owner string, until time.Time) CommandOption {
	return func(c *Command) { c.owner, c.until = owner, until }
}

// WithLimit sets the maximum number of items to lease.
func WithLimit(limit int) CommandOption { return func(c *Command) { c.limit = limit } }

// WithDeadline sets the deadline of the attempt of CommandStart.
func WithDeadline(until time.Time) CommandOption { return func(c *Command) { c.until = until } }

// WithCompletions sets the items of CommandComplete or CommandRelease.
func WithCompletions(completions []Completion) CommandOption {
	return func(c *Command) { c.completions = completions }
}

// WithFingerprint sets the content fingerprint of CommandCountCrash.
func WithFingerprint(fingerprint uint64) CommandOption {
	return func(c *Command) { c.fingerprint = fingerprint }
}

// WithNumber sets the sequence number of an owner's lease command, or the
// number of the attempt in CommandStart and CommandCountCrash. It makes resent
// commands idempotent.
func WithNumber(number uint64) CommandOption { return func(c *Command) { c.number = number } }

// NewCommand returns a command issued at the wall-clock time at.
func NewCommand(kind CommandKind, key Key, at time.Time, options ...CommandOption) Command {
	c := Command{kind: kind, key: key, at: at}
	for _, option := range options {
		option(&c)
	}
	return c
}

// Kind returns the operation that the command performs.
func (c Command) Kind() CommandKind { return c.kind }

// Key returns the key of the request or job.
func (c Command) Key() Key { return c.key }

// Answer returns the answer to store.
func (c Command) Answer() Answer { return c.answer }

// Service returns the service; see WithService.
func (c Command) Service() string { return c.service }

// AtMostOnce reports whether the work must not be retried after it may have run.
func (c Command) AtMostOnce() bool { return c.atMostOnce }

// Total returns the declared number of items of the job.
func (c Command) Total() int { return c.total }

// Offset returns the position in the job of the first of Items.
func (c Command) Offset() int { return c.offset }

// Items returns the items to add.
func (c Command) Items() []Item { return c.items }

// Owner returns the lease owner.
func (c Command) Owner() string { return c.owner }

// Limit returns the maximum number of items to lease.
func (c Command) Limit() int { return c.limit }

// Until returns when the leases expire or the deadline of a started request.
func (c Command) Until() time.Time { return c.until }

// At returns the wall-clock time at which the command was issued.
func (c Command) At() time.Time { return c.at }

// Completions returns the answered or released items.
func (c Command) Completions() []Completion { return c.completions }

// Number returns the number of the lease command or attempt; see WithNumber.
func (c Command) Number() uint64 { return c.number }

// Fingerprint returns the content fingerprint.
func (c Command) Fingerprint() uint64 { return c.fingerprint }
