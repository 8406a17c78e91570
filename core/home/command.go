package home

import "time"

// CommandKind tells what a command does.
type CommandKind uint8

// Command kinds.
const (
	CommandPutAnswer    CommandKind = iota + 1 // store the answer to a key, the first one wins
	CommandStart                               // note that a request not to be repeated starts
	CommandSubmit                              // create a job or add items to it
	CommandCancel                              // cancel a job
	CommandLease                               // hand items to an owner and renew its leases
	CommandComplete                            // store answers to items, the first one wins
	CommandRelease                             // give items back
	CommandCountCrash                          // count a crash against a fingerprint
	CommandRemoveAnswer                        // drop an answer that was moved to its home ledger
	CommandExpire                              // drop what is older than its retention
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

// WithService sets the service of a job, or limits a lease to one service.
func WithService(service string) CommandOption { return func(c *Command) { c.service = service } }

// WithAtMostOnce marks work that must not be repeated.
func WithAtMostOnce(once bool) CommandOption { return func(c *Command) { c.atMostOnce = once } }

// WithItems adds items from offset on to a job of total items.
func WithItems(total, offset int, items []Item) CommandOption {
	return func(c *Command) { c.total, c.offset, c.items = total, offset, items }
}

// WithOwner sets the owner of leases and how long they last.
func WithOwner(owner string, until time.Time) CommandOption {
	return func(c *Command) { c.owner, c.until = owner, until }
}

// WithLimit bounds the number of items leased.
func WithLimit(limit int) CommandOption { return func(c *Command) { c.limit = limit } }

// WithDeadline sets the time after which a started request counts as lost.
func WithDeadline(until time.Time) CommandOption { return func(c *Command) { c.until = until } }

// WithCompletions sets the items of CommandComplete or CommandRelease.
func WithCompletions(completions []Completion) CommandOption {
	return func(c *Command) { c.completions = completions }
}

// WithFingerprint sets the content fingerprint of CommandCountCrash.
func WithFingerprint(fingerprint uint64) CommandOption {
	return func(c *Command) { c.fingerprint = fingerprint }
}

// WithNumber numbers the lease commands of an owner, or identifies the attempt
// of CommandStart and CommandCountCrash, so that a resent command has no further
// effect.
func WithNumber(number uint64) CommandOption { return func(c *Command) { c.number = number } }

// NewCommand returns a command issued at the given wall time.
func NewCommand(kind CommandKind, key Key, at time.Time, options ...CommandOption) Command {
	c := Command{kind: kind, key: key, at: at}
	for _, option := range options {
		option(&c)
	}
	return c
}

// Kind returns what the command does.
func (c Command) Kind() CommandKind { return c.kind }

// Key returns the request or job.
func (c Command) Key() Key { return c.key }

// Answer returns the answer to store.
func (c Command) Answer() Answer { return c.answer }

// Service returns the service, see WithService.
func (c Command) Service() string { return c.service }

// AtMostOnce reports work that must not be repeated.
func (c Command) AtMostOnce() bool { return c.atMostOnce }

// Total returns the declared number of items.
func (c Command) Total() int { return c.total }

// Offset returns the position of the first of Items.
func (c Command) Offset() int { return c.offset }

// Items returns the items to add.
func (c Command) Items() []Item { return c.items }

// Owner returns the lease owner.
func (c Command) Owner() string { return c.owner }

// Limit returns the greatest number of items to lease.
func (c Command) Limit() int { return c.limit }

// Deadline returns the end of leases or the deadline of a started request.
func (c Command) Until() time.Time { return c.until }

// At returns the wall time at which the command was issued.
func (c Command) At() time.Time { return c.at }

// Completions returns answered or released items.
func (c Command) Completions() []Completion { return c.completions }

// Number returns the number of a lease command or attempt, see WithNumber.
func (c Command) Number() uint64 { return c.number }

// Fingerprint returns the content fingerprint.
func (c Command) Fingerprint() uint64 { return c.fingerprint }
