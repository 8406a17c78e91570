package batch

import (
	"maps"
	"time"

	"papayaquay/core/table"
)

// Job is an accepted job.
type Job struct {
	spec      JobSpec
	cancelled bool
	results   []Result
	states    []ItemStatus // by item; 0 while the item waits
	partials  map[int]Partial
}

// Partial is the output of a waiting item up to an event.
type Partial struct {
	text      []byte
	lastEvent uint64
}

// RestorePartial returns a part from a snapshot.
func RestorePartial(text []byte, last uint64) Partial { return Partial{text: text, lastEvent: last} }

// Text returns the output.
func (p Partial) Text() []byte { return p.text }

// LastEvent returns the id of its last event, 0 for none.
func (p Partial) LastEvent() uint64 { return p.lastEvent }

// join returns the output with more of it behind.
func (p Partial) join(text []byte) []byte {
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

// RestoreJob returns a job from a snapshot.
func RestoreJob(order JobSpec, ended bool, results []Result, parts map[int]Partial) Job {
	j := Job{spec: order, cancelled: ended, results: results, states: make([]ItemStatus, len(order.items)), partials: parts}
	for _, r := range results {
		j.states[r.item] = r.status
	}
	return j
}

// JobSpec returns the job as it was handed in, without the bodies of items that
// have a result.
func (j Job) Spec() JobSpec { return j.spec }

// Cancelled reports that its client ended the job.
func (j Job) Cancelled() bool { return j.cancelled }

// Results returns the results by position.
func (j Job) Results() []Result { return j.results }

// Open reports whether items still wait to be run.
func (j Job) Open() bool { return !j.cancelled && len(j.results) < len(j.spec.items) }

// Partial returns the stored output of a waiting item.
func (j Job) Partial(item int) Partial { return j.partials[item] }

// Partials returns the stored output of waiting items.
func (j Job) Partials() map[int]Partial { return j.partials }

// IsWaiting reports whether an item has no result.
func (j Job) IsWaiting(item int) bool { return j.states[item] == 0 }

// State is the state machine.
type State struct {
	jobs          *table.Table[string, Job]
	tokensByRoute map[string]int // tokens by route
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

// waitingTokens returns the tokens of the items that wait.
func (j Job) waitingTokens() int {
	if j.cancelled {
		return 0
	}
	sum := 0
	for i, item := range j.spec.items {
		if j.states[i] == 0 {
			sum += item.tokens
		}
	}
	return sum
}

// Job returns a job by id.
func (s *State) Job(id string) (Job, bool) {
	row := s.jobs.Get(id)
	if row == nil {
		return Job{}, false
	}
	return *row, true
}

// Each visits all jobs.
func (s *State) Each(visit func(Job)) {
	s.jobs.Each(func(_ string, row *Job) { visit(*row) })
}

// Export returns copies of all jobs that stay as they are, for encoding on
// another thread.
func (s *State) Export() []Job {
	jobs := make([]Job, 0, s.jobs.Len())
	s.jobs.Each(func(_ string, row *Job) {
		j := *row
		j.spec.items = append([]Item(nil), j.spec.items...)
		j.states = nil
		j.partials = maps.Clone(j.partials)
		jobs = append(jobs, j)
	})
	return jobs
}

// IsRetiring reports whether an instance is to be emptied.
func (s *State) IsRetiring(instance string) bool { return s.retiring[instance] }

// RetiringInstances returns the instances to be emptied.
func (s *State) RetiringInstances() []string {
	var names []string
	for name := range s.retiring {
		names = append(names, name)
	}
	return names
}

// QueuedTokens returns the tokens that wait on a route.
func (s *State) QueuedTokens(route string) int { return s.tokensByRoute[route] }

// Apply applies a command and returns its answer.
func (s *State) Apply(c Command) Reply {
	switch c.kind {
	case CommandSubmit:
		return s.submit(c.spec)
	case CommandStore:
		for _, f := range c.outputs {
			s.finish(f)
		}
	case CommandCancel:
		return s.end(c.job)
	case CommandExpire:
		s.expire(c.at)
	case CommandRetire:
		s.retiring[c.job] = true
	}
	return ReplyOK
}

// submit accepts a job once.
func (s *State) submit(o JobSpec) Reply {
	if s.jobs.Get(o.id) != nil {
		return ReplyOK
	}
	j := Job{spec: o, states: make([]ItemStatus, len(o.items))}
	tokens := j.waitingTokens()
	if o.maxQueuedTokens > 0 && s.tokensByRoute[o.route]+tokens > o.maxQueuedTokens {
		return ReplyQueueFull
	}
	s.tokensByRoute[o.route] += tokens
	s.jobs.Put(o.id, j)
	return ReplyOK
}

// finish stores the first result of an item, or a part of its output. What
// does not follow the stored output comes of a leader that was replaced.
func (s *State) finish(f ItemOutput) {
	row := s.jobs.Get(f.job)
	item := f.result.item
	if row == nil || item < 0 || item >= len(row.states) || row.states[item] != 0 {
		return
	}
	stored := row.partials[item]
	if f.afterEvent != stored.lastEvent && f.result.status != ItemDeadLettered {
		return
	}
	if f.result.status == 0 {
		if row.partials == nil {
			row.partials = make(map[int]Partial)
		}
		row.partials[item] = Partial{text: stored.join(f.result.text), lastEvent: f.lastEvent}
		return
	}
	if !row.cancelled {
		s.tokensByRoute[row.spec.route] -= row.spec.items[item].tokens
	}
	if f.result.status == ItemDone {
		f.result.text = stored.join(f.result.text)
	}
	delete(row.partials, item)
	row.states[item] = f.result.status
	row.results = append(row.results[:len(row.results):len(row.results)], f.result)
	row.spec.items[item].body = nil
}

// end stops a job.
func (s *State) end(id string) Reply {
	row := s.jobs.Get(id)
	if row == nil {
		return ReplyUnknownJob
	}
	if !row.cancelled {
		s.tokensByRoute[row.spec.route] -= row.waitingTokens()
		row.cancelled, row.partials = true, nil
	}
	return ReplyOK
}

// expire drops the jobs that were submitted before a time and wait for nothing.
func (s *State) expire(before time.Time) {
	s.jobs.Each(func(id string, row *Job) {
		if !row.Open() && row.spec.submitted.Before(before) {
			s.jobs.Remove(id)
		}
	})
}
