package batch

import (
	"maps"
	"time"

	"papayaquay/core/table"
)

// Job is an accepted job.
type Job struct {
	spec           JobSpec
	cancelled      bool
	results        []Result
	itemStatuses   []ItemStatus          // by item, 0 while the item waits
	partialOutputs map[int]PartialOutput // by item
}

// PartialOutput is the stored output of a waiting item up to and including its last
// event.
type PartialOutput struct {
	text      []byte
	lastEvent uint64
	version   string
}

// RestorePartialOutput returns a partial output from a snapshot.
func RestorePartialOutput(text []byte, lastEvent uint64, version string) PartialOutput {
	return PartialOutput{text: text, lastEvent: lastEvent, version: version}
}

// Version returns the software version of the servers that wrote the output.
func (p PartialOutput) Version() string { return p.version }

// Text returns the output.
func (p PartialOutput) Text() []byte { return p.text }

// LastEvent returns the id of the last event, 0 for none.
func (p PartialOutput) LastEvent() uint64 { return p.lastEvent }

// join returns the stored output followed by text, separated by a newline.
func (p PartialOutput) join(text []byte) []byte {
	if p.lastEvent == 0 {
		return text
	}
	joined := make([]byte, 0, len(p.text)+1+len(text))
	joined = append(joined, p.text...)
	if len(text) == 0 {
		return joined
	}
	return append(append(joined, '\n'), text...)
}

// RestoreJob returns a job from the content of a snapshot.
func RestoreJob(spec JobSpec, cancelled bool, results []Result, partialOutputs map[int]PartialOutput) Job {
	j := Job{spec: spec, cancelled: cancelled, results: results, itemStatuses: make([]ItemStatus, len(spec.items)), partialOutputs: partialOutputs}
	for _, r := range results {
		j.itemStatuses[r.item] = r.status
	}
	return j
}

// Spec returns the job as it was submitted, without the bodies of items that have a
// result.
func (j Job) Spec() JobSpec { return j.spec }

// Cancelled reports whether the client cancelled the job.
func (j Job) Cancelled() bool { return j.cancelled }

// Results returns the results in the order in which they were stored.
func (j Job) Results() []Result { return j.results }

// Open reports whether items of the job still wait to run.
func (j Job) Open() bool { return !j.cancelled && len(j.results) < len(j.spec.items) }

// PartialOutput returns the stored output of a waiting item.
func (j Job) PartialOutput(item int) PartialOutput { return j.partialOutputs[item] }

// PartialOutputs returns the stored output of the waiting items, by item.
func (j Job) PartialOutputs() map[int]PartialOutput { return j.partialOutputs }

// IsWaiting reports whether an item has no result.
func (j Job) IsWaiting(item int) bool { return j.itemStatuses[item] == 0 }

// State is the state machine of the jobs ledger.
type State struct {
	jobs          *table.Table[string, Job]
	tokensByRoute map[string]int // tokens of waiting items
	retiring      map[string]bool
}

// New returns the initial state.
func New() *State {
	return &State{jobs: table.New[string, Job](), tokensByRoute: make(map[string]int), retiring: make(map[string]bool)}
}

// Restore returns a state from a snapshot's content.
func Restore(jobs []Job, retiring []string) *State {
	s := New()
	for _, j := range jobs {
		s.jobs.Put(j.spec.id, j)
		s.tokensByRoute[j.spec.route] += j.waitingTokens()
	}
	for _, name := range retiring {
		s.retiring[name] = true
	}
	return s
}

// waitingTokens returns the number of tokens of the waiting items.
func (j Job) waitingTokens() int {
	if j.cancelled {
		return 0
	}
	sum := 0
	for i, item := range j.spec.items {
		if j.itemStatuses[i] == 0 {
			sum += item.tokens
		}
	}
	return sum
}

// Job returns a job by its id.
func (s *State) Job(id string) (Job, bool) {
	row := s.jobs.Get(id)
	if row == nil {
		return Job{}, false
	}
	return *row, true
}

// Each calls visit for each job.
func (s *State) Each(visit func(Job)) {
	s.jobs.Each(func(_ string, row *Job) { visit(*row) })
}

// Export returns copies of all jobs. Later commands do not change the copies, so that
// another thread can encode them.
func (s *State) Export() []Job {
	jobs := make([]Job, 0, s.jobs.Len())
	s.jobs.Each(func(_ string, row *Job) {
		j := *row
		j.spec.items = append([]Item(nil), j.spec.items...)
		j.itemStatuses = append([]ItemStatus(nil), j.itemStatuses...)
		j.partialOutputs = maps.Clone(j.partialOutputs)
		jobs = append(jobs, j)
	})
	return jobs
}

// Bytes returns the memory in bytes of the items, results and partial outputs that the
// state holds.
func (s *State) Bytes() int {
	size := 0
	s.jobs.Each(func(_ string, row *Job) { size += row.Bytes() })
	return size
}

// Bytes returns the memory in bytes of the items, results and partial outputs.
func (j Job) Bytes() int {
	size := j.spec.Bytes()
	for _, r := range j.results {
		size += len(r.text)
	}
	for _, p := range j.partialOutputs {
		size += len(p.text)
	}
	return size
}

// IsRetiring reports whether an instance is retiring.
func (s *State) IsRetiring(instance string) bool { return s.retiring[instance] }

// RetiringInstances returns the retiring instances, in no order.
func (s *State) RetiringInstances() []string {
	var names []string
	for name := range s.retiring {
		names = append(names, name)
	}
	return names
}

// WaitingTokens returns the number of tokens that wait on a route.
func (s *State) WaitingTokens(route string) int { return s.tokensByRoute[route] }

// Apply applies a command and returns its reply.
func (s *State) Apply(c Command) Reply {
	switch c.kind {
	case CommandSubmit:
		return s.submit(c.spec)
	case CommandStore:
		for _, output := range c.outputs {
			s.storeOutput(output)
		}
	case CommandCancel:
		return s.cancel(c.subject)
	case CommandExpire:
		s.expire(c.before)
	case CommandRetire:
		s.retiring[c.subject] = true
	}
	return ReplyOK
}

// submit accepts a job. Submitting an accepted job again has no effect.
func (s *State) submit(spec JobSpec) Reply {
	if s.jobs.Get(spec.id) != nil {
		return ReplyOK
	}
	j := Job{spec: spec, itemStatuses: make([]ItemStatus, len(spec.items))}
	tokens := j.waitingTokens()
	if spec.maxWaitingTokens > 0 && s.tokensByRoute[spec.route]+tokens > spec.maxWaitingTokens {
		return ReplyQueueFull
	}
	s.tokensByRoute[spec.route] += tokens
	s.jobs.Put(spec.id, j)
	return ReplyOK
}

// storeOutput stores the first result of an item, or partial output. Output that does
// not continue the stored output is ignored, since it comes from a leader that was
// replaced. Output that begins anew discards the stored output. The result of a dead-lettered item has no output and is always stored.
func (s *State) storeOutput(output ItemOutput) {
	row := s.jobs.Get(output.job)
	item := output.result.item
	if row == nil || item < 0 || item >= len(row.itemStatuses) || row.itemStatuses[item] != 0 {
		return
	}
	stored := row.partialOutputs[item]
	if output.replaces {
		stored = PartialOutput{}
	}
	if output.afterEvent != stored.lastEvent && output.result.status != ItemDeadLettered {
		return
	}
	if output.result.status == 0 {
		if row.partialOutputs == nil {
			row.partialOutputs = make(map[int]PartialOutput)
		}
		row.partialOutputs[item] = PartialOutput{text: stored.join(output.result.text), lastEvent: output.lastEvent, version: output.version}
		return
	}
	if !row.cancelled {
		s.tokensByRoute[row.spec.route] -= row.spec.items[item].tokens
	}
	if output.result.status == ItemDone {
		output.result.text = stored.join(output.result.text)
	}
	delete(row.partialOutputs, item)
	row.itemStatuses[item] = output.result.status
	row.results = append(row.results[:len(row.results):len(row.results)], output.result)
	row.spec.items[item].body = nil
}

// cancel cancels a job and discards its partial outputs.
func (s *State) cancel(id string) Reply {
	row := s.jobs.Get(id)
	if row == nil {
		return ReplyUnknownJob
	}
	if !row.cancelled {
		s.tokensByRoute[row.spec.route] -= row.waitingTokens()
		row.cancelled, row.partialOutputs = true, nil
	}
	return ReplyOK
}

// expire removes the jobs without waiting items that were submitted before a time.
func (s *State) expire(before time.Time) {
	s.jobs.Each(func(id string, row *Job) {
		if !row.Open() && row.spec.submitted.Before(before) {
			s.jobs.Remove(id)
		}
	})
}
