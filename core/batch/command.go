package batch

import "time"

// CommandKind is the kind of a command.
type CommandKind uint8

// Command kinds.
const (
	CommandSubmit CommandKind = iota + 1 // accept a job
	CommandStore                         // store results and partial output of items
	CommandCancel                        // cancel a job
	CommandExpire                        // remove old jobs
	CommandRetire                        // mark an instance as retiring
)

// Reply is the result of applying a command.
type Reply uint8

// Replies.
const (
	ReplyOK         Reply = iota + 1
	ReplyQueueFull        // too many tokens wait on the route; the job was not accepted
	ReplyUnknownJob       // no job has this id
)

// ItemOutput is the result of one item of a job, or a part of its output. A part is
// stored so that another instance can resume the item after it.
type ItemOutput struct {
	job        string
	result     Result
	afterEvent uint64
	lastEvent  uint64
	version    string // software version of the servers that wrote a partial output
	replaces   bool   // the stored output is discarded
}

// NewFinalItemOutput returns the result of an item. Its text continues the stored
// partial output, whose last event is afterEvent.
func NewFinalItemOutput(job string, result Result, afterEvent uint64) ItemOutput {
	return ItemOutput{job: job, result: result, afterEvent: afterEvent}
}

// NewPartialItemOutput returns the output of an item after the event afterEvent, up to
// and including the event lastEvent.
func NewPartialItemOutput(job string, item int, text []byte, afterEvent, lastEvent uint64) ItemOutput {
	return ItemOutput{job: job, result: Result{item: item, text: text}, afterEvent: afterEvent, lastEvent: lastEvent}
}

// WithVersion returns a copy with the software version of the servers that wrote the output.
// Servers of another version cannot continue it.
func (o ItemOutput) WithVersion(version string) ItemOutput {
	o.version = version
	return o
}

// AsReplacement returns a copy that begins the output anew: the stored output is discarded.
func (o ItemOutput) AsReplacement() ItemOutput {
	o.replaces = true
	return o
}

// Version returns the software version of the servers that wrote a partial output.
func (o ItemOutput) Version() string { return o.version }

// Replaces reports whether the stored output is discarded.
func (o ItemOutput) Replaces() bool { return o.replaces }

// Job returns the job's id.
func (o ItemOutput) Job() string { return o.job }

// AfterEvent returns the id of the event that precedes the text, 0 if the text is
// the start of the output.
func (o ItemOutput) AfterEvent() uint64 { return o.afterEvent }

// LastEvent returns the id of the last event of a partial output, 0 for a result.
func (o ItemOutput) LastEvent() uint64 { return o.lastEvent }

// Result returns the result. Its status is 0 for a partial output.
func (o ItemOutput) Result() Result { return o.result }

// Command is a change of the state.
type Command struct {
	kind    CommandKind
	subject string
	spec    JobSpec
	outputs []ItemOutput
	before  time.Time
}

// Submit returns the command that accepts a job.
func Submit(spec JobSpec) Command { return Command{kind: CommandSubmit, spec: spec} }

// Store returns the command that stores results and partial outputs.
func Store(outputs []ItemOutput) Command { return Command{kind: CommandStore, outputs: outputs} }

// Cancel returns the command that cancels a job.
func Cancel(job string) Command { return Command{kind: CommandCancel, subject: job} }

// Expire returns the command that removes the jobs without waiting items that were
// submitted before the given time.
func Expire(before time.Time) Command { return Command{kind: CommandExpire, before: before} }

// Retire returns the command that marks an instance as retiring: it is to be emptied.
func Retire(instance string) Command { return Command{kind: CommandRetire, subject: instance} }

// Kind returns the kind of the command.
func (c Command) Kind() CommandKind { return c.kind }

// Spec returns the job of a CommandSubmit.
func (c Command) Spec() JobSpec { return c.spec }

// Outputs returns the results and partial outputs of a CommandStore.
func (c Command) Outputs() []ItemOutput { return c.outputs }

// Subject returns the job id of a CommandCancel or the instance of a CommandRetire.
func (c Command) Subject() string { return c.subject }

// Before returns the time of a CommandExpire. Older jobs are removed.
func (c Command) Before() time.Time { return c.before }
