package batch

import "time"

// CommandKind tells what a command does.
type CommandKind uint8

// Command kinds.
const (
	CommandSubmit CommandKind = iota + 1
	CommandFinish
	CommandEnd
	CommandExpire
	CommandRetire
)

// Answer is what a command led to.
type Answer uint8

// Answers.
const (
	AnswerDone    Answer = iota + 1
	AnswerFull           // too many tokens wait on the route; nothing was kept
	AnswerUnknown        // there is no such job
)

// Finish is the result of one item of a job, or a part of its output that is
// kept so that another instance can go on from there.
type Finish struct {
	job    string
	result Result
	from   uint64
	last   uint64
}

// NewFinish returns the result of an item; its text follows the stored output
// up to the event from.
func NewFinish(job string, result Result, from uint64) Finish {
	return Finish{job: job, result: result, from: from}
}

// NewPart returns the output of an item after the event from up to the event
// last.
func NewPart(job string, item int, text []byte, from, last uint64) Finish {
	return Finish{job: job, result: Result{item: item, text: text}, from: from, last: last}
}

// Job returns the job's id.
func (f Finish) Job() string { return f.job }

// From returns the event that the text follows, 0 for the start.
func (f Finish) From() uint64 { return f.from }

// Last returns the last event of a part; 0 for a result.
func (f Finish) Last() uint64 { return f.last }

// Result returns the result.
func (f Finish) Result() Result { return f.result }

// Command is one change of the state.
type Command struct {
	kind     CommandKind
	job      string
	order    Order
	finishes []Finish
	at       time.Time
}

// Submit returns the command that accepts a job.
func Submit(o Order) Command { return Command{kind: CommandSubmit, order: o} }

// Complete returns the command that stores results and parts of output.
func Complete(finishes []Finish) Command { return Command{kind: CommandFinish, finishes: finishes} }

// End returns the command that stops a job.
func End(job string) Command { return Command{kind: CommandEnd, job: job} }

// Expire returns the command that drops old jobs.
func Expire(before time.Time) Command { return Command{kind: CommandExpire, at: before} }

// Retire returns the command that empties an instance.
func Retire(instance string) Command { return Command{kind: CommandRetire, job: instance} }

// Kind returns what the command does.
func (c Command) Kind() CommandKind { return c.kind }

// Order returns the job of a CommandSubmit.
func (c Command) Order() Order { return c.order }

// Finishes returns the results of a CommandFinish.
func (c Command) Finishes() []Finish { return c.finishes }

// Subject returns the job of a CommandEnd or the instance of a CommandRetire.
func (c Command) Subject() string { return c.job }

// Before returns the time of a CommandExpire.
func (c Command) Before() time.Time { return c.at }
