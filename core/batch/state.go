package batch

import (
	"maps"
	"time"

	"papayaquay/core/table"
)

// Job is an accepted job.
type Job struct {
	order   Order
	ended   bool
	results []Result
	states  []Verdict // by item; 0 while the item waits
	parts   map[int]Part
}

// Part is the output of a waiting item up to an event.
type Part struct {
	text []byte
	last uint64
}

// RestorePart returns a part from a snapshot.
func RestorePart(text []byte, last uint64) Part { return Part{text: text, last: last} }

// Text returns the output.
func (p Part) Text() []byte { return p.text }

// Last returns the id of its last event, 0 for none.
func (p Part) Last() uint64 { return p.last }

// join returns the output with more of it behind.
func (p Part) join(text []byte) []byte {
	if p.last == 0 {
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
func RestoreJob(order Order, ended bool, results []Result, parts map[int]Part) Job {
	j := Job{order: order, ended: ended, results: results, states: make([]Verdict, len(order.items)), parts: parts}
	for _, r := range results {
		j.states[r.item] = r.verdict
	}
	return j
}

// Order returns the job as it was handed in, without the bodies of items that
// have a result.
func (j Job) Order() Order { return j.order }

// Ended reports that its client ended the job.
func (j Job) Ended() bool { return j.ended }

// Results returns the results by position.
func (j Job) Results() []Result { return j.results }

// Open reports whether items still wait to be run.
func (j Job) Open() bool { return !j.ended && len(j.results) < len(j.order.items) }

// Part returns the stored output of a waiting item.
func (j Job) Part(item int) Part { return j.parts[item] }

// Parts returns the stored output of waiting items.
func (j Job) Parts() map[int]Part { return j.parts }

// Waits reports whether an item has no result.
func (j Job) Waits(item int) bool { return j.states[item] == 0 }

// State is the state machine.
type State struct {
	jobs     *table.Table[string, Job]
	waiting  map[string]int // tokens by route
	retiring map[string]bool
}

// New returns the initial state.
func New() *State {
	return &State{jobs: table.New[string, Job](), waiting: make(map[string]int), retiring: make(map[string]bool)}
}

// Restore returns a state from a snapshot's content.
func Restore(jobs []Job, retiring []string) *State {
	s := New()
	for _, j := range jobs {
		s.jobs.Put(j.order.id, j)
		s.waiting[j.order.route] += j.waitingTokens()
	}
	for _, name := range retiring {
		s.retiring[name] = true
	}
	return s
}

// waitingTokens returns the tokens of the items that wait.
func (j Job) waitingTokens() int {
	if j.ended {
		return 0
	}
	sum := 0
	for i, item := range j.order.items {
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
		j.order.items = append([]Item(nil), j.order.items...)
		j.states = nil
		j.parts = maps.Clone(j.parts)
		jobs = append(jobs, j)
	})
	return jobs
}

// Retiring reports whether an instance is to be emptied.
func (s *State) Retiring(instance string) bool { return s.retiring[instance] }

// Retirees returns the instances to be emptied.
func (s *State) Retirees() []string {
	var names []string
	for name := range s.retiring {
		names = append(names, name)
	}
	return names
}

// Waiting returns the tokens that wait on a route.
func (s *State) Waiting(route string) int { return s.waiting[route] }

// Apply applies a command and returns its answer.
func (s *State) Apply(c Command) Answer {
	switch c.kind {
	case CommandSubmit:
		return s.submit(c.order)
	case CommandFinish:
		for _, f := range c.finishes {
			s.finish(f)
		}
	case CommandEnd:
		return s.end(c.job)
	case CommandExpire:
		s.expire(c.at)
	case CommandRetire:
		s.retiring[c.job] = true
	}
	return AnswerDone
}

// submit accepts a job once.
func (s *State) submit(o Order) Answer {
	if s.jobs.Get(o.id) != nil {
		return AnswerDone
	}
	j := Job{order: o, states: make([]Verdict, len(o.items))}
	tokens := j.waitingTokens()
	if o.limit > 0 && s.waiting[o.route]+tokens > o.limit {
		return AnswerFull
	}
	s.waiting[o.route] += tokens
	s.jobs.Put(o.id, j)
	return AnswerDone
}

// finish stores the first result of an item, or a part of its output. What
// does not follow the stored output comes of a leader that was replaced.
func (s *State) finish(f Finish) {
	row := s.jobs.Get(f.job)
	item := f.result.item
	if row == nil || item < 0 || item >= len(row.states) || row.states[item] != 0 {
		return
	}
	stored := row.parts[item]
	if f.from != stored.last && f.result.verdict != VerdictDead {
		return
	}
	if f.result.verdict == 0 {
		if row.parts == nil {
			row.parts = make(map[int]Part)
		}
		row.parts[item] = Part{text: stored.join(f.result.text), last: f.last}
		return
	}
	if !row.ended {
		s.waiting[row.order.route] -= row.order.items[item].tokens
	}
	if f.result.verdict == VerdictDone {
		f.result.text = stored.join(f.result.text)
	}
	delete(row.parts, item)
	row.states[item] = f.result.verdict
	row.results = append(row.results[:len(row.results):len(row.results)], f.result)
	row.order.items[item].body = nil
}

// end stops a job.
func (s *State) end(id string) Answer {
	row := s.jobs.Get(id)
	if row == nil {
		return AnswerUnknown
	}
	if !row.ended {
		s.waiting[row.order.route] -= row.waitingTokens()
		row.ended, row.parts = true, nil
	}
	return AnswerDone
}

// expire drops the jobs that were submitted before a time and wait for nothing.
func (s *State) expire(before time.Time) {
	s.jobs.Each(func(id string, row *Job) {
		if !row.Open() && row.order.submitted.Before(before) {
			s.jobs.Remove(id)
		}
	})
}
