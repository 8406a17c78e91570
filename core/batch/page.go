package batch

// MaxPageBytes bounds the results of one page; the caller's bound is 1 MB of
// encoded results.
const MaxPageBytes = 700 << 10

// PageResult is a result as it is read.
type PageResult struct {
	id     string
	status ItemStatus
	text   []byte
}

// NewPageResult returns a result under its item's id.
func NewPageResult(id string, verdict ItemStatus, text []byte) PageResult {
	return PageResult{id: id, status: verdict, text: text}
}

// ID returns the item's id.
func (r PageResult) ID() string { return r.id }

// Status returns the final state.
func (r PageResult) Status() ItemStatus { return r.status }

// Text returns the output.
func (r PageResult) Text() []byte { return r.text }

// Page is a part of a job's results.
type Page struct {
	total   int
	next    int
	results []PageResult
}

// NewPage returns a page; total is the number of items, next the position after
// the last result of the page.
func NewPage(total, next int, results []PageResult) Page {
	return Page{total: total, next: next, results: results}
}

// Total returns the number of items of the job.
func (p Page) Total() int { return p.total }

// Next returns the position after the last result of the page.
func (p Page) Next() int { return p.next }

// Results returns the results.
func (p Page) Results() []PageResult { return p.results }

// Page returns the results from a position on, at least one if there is one.
func (j Job) Page(after int) Page {
	p := Page{total: len(j.spec.items), next: after}
	size := 0
	for i := after; i >= 0 && i < len(j.results); i++ {
		r := j.results[i]
		if size += len(r.text); size > MaxPageBytes && len(p.results) > 0 {
			break
		}
		p.results = append(p.results, PageResult{id: j.spec.items[r.item].id, status: r.status, text: r.text})
		p.next++
	}
	return p
}

// ItemBody returns the body of an item that has no result yet.
func (j Job) ItemBody(id string) ([]byte, bool) {
	for i, item := range j.spec.items {
		if item.id == id && !j.cancelled && j.states[i] == 0 {
			return item.body, true
		}
	}
	return nil, false
}
