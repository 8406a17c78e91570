package batch

import "time"

// CommandKind tells what a command does.
type CommandKind uint8

// Command kinds.
const (
	CommandSubmit CommandKind = iota + 1
	CommandStore
	CommandCancel
	CommandExpire
	CommandRetire
)

// Reply is what a command led to.
type Reply uint8

// Answers.
const (
	ReplyOK         Reply = iota + 1
	ReplyQueueFull        // too many tokens wait on the route; nothing was kept
	ReplyUnknownJob       // there is no such job
)

// ItemOutput is the result of one item of a job, or a part of its output that is
// kept so that another instance can go on from there.
type ItemOutput struct {
	job        string
	result     Result
	afterEvent uint64
	lastEvent  uint64
}

// NewFinalOutput returns the result of an item; its text follows the stored output
// up to the event from.
func NewFinalOutput(job string, result Result, from uint64) ItemOutput {
	return ItemOutput{job: job, result: result, afterEvent: from}
}

// NewPartialOutput returns the output of an item after the event from up to the event
// last.
func NewPartialOutput(job string, item int, text []byte, from, last uint64) ItemOutput {
	return ItemOutput{job: job, result: Result{item: item, text: text}, afterEvent: from, lastEvent: last}
}

// Job returns the job's id.
func (f ItemOutput) Job() string { return f.job }

// AfterEvent returns the event that the text follows, 0 for the start.
func (f ItemOutput) AfterEvent() uint64 { return f.afterEvent }

// LastEvent returns the last event of a part; 0 for a result.
func (f ItemOutput) LastEvent() uint64 { return f.lastEvent }

// Result returns the result.
func (f ItemOutput) Result() Result { return f.result }

// Command is one change of the state.
type Command struct {
	kind    CommandKind
	job     string
	spec    JobSpec
	outputs []ItemOutput
	at      time.Time
}

// Submit returns the command that accepts a job.
func Submit(o JobSpec) Command { return Command{kind: CommandSubmit, spec: o} }

// Store returns the command that stores results and parts of output.
func Store(finishes []ItemOutput) Command { return Command{kind: CommandStore, outputs: finishes} }

// Cancel returns the command that stops a job.
func Cancel(job string) Command { return Command{kind: CommandCancel, job: job} }

// Expire returns the command that drops old jobs.
func Expire(before time.Time) Command { return Command{kind: CommandExpire, at: before} }

// Retire returns the command that empties an instance.
func Retire(instance string) Command { return Command{kind: CommandRetire, job: instance} }

// Kind returns what the command does.
func (c Command) Kind() CommandKind { return c.kind }

// JobSpec returns the job of a CommandSubmit.
func (c Command) Spec() JobSpec { return c.spec }

// Outputs returns the results of a CommandStore.
func (c Command) Outputs() []ItemOutput { return c.outputs }

// Subject returns the job of a CommandCancel or the instance of a CommandRetire.
func (c Command) Subject() string { return c.job }

// Before returns the time of a CommandExpire.
func (c Command) Before() time.Time { return c.at }
