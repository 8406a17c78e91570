package batch

// MaxPageBytes is the maximum size of the results of a page, in bytes. Callers accept
// at most 1 MB of encoded results.
const MaxPageBytes = 700 << 10

// PageResult is a result as a caller reads it, with the id of its item.
type PageResult struct {
	id     string
	status ItemStatus
	text   []byte
}

// NewPageResult returns the result of the item with the given id.
func NewPageResult(id string, status ItemStatus, text []byte) PageResult {
	return PageResult{id: id, status: status, text: text}
}

// ID returns the item's id.
func (r PageResult) ID() string { return r.id }

// Status returns the final status of the item.
func (r PageResult) Status() ItemStatus { return r.status }

// Text returns the output.
func (r PageResult) Text() []byte { return r.text }

// Page is a range of a job's results.
type Page struct {
	total   int
	next    int
	results []PageResult
}

// NewPage returns a page. total is the number of items of the job, next the position
// after the last result of the page.
func NewPage(total, next int, results []PageResult) Page {
	return Page{total: total, next: next, results: results}
}

// Total returns the number of items of the job.
func (p Page) Total() int { return p.total }

// Next returns the position after the last result of the page.
func (p Page) Next() int { return p.next }

// Results returns the results of the page.
func (p Page) Results() []PageResult { return p.results }

// Page returns the results from position after on. It returns at least one result if
// there is one, even if that result exceeds MaxPageBytes.
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

// ItemBody returns the request body of an item by the item's id. It reports false if
// the item does not exist, has a result, or belongs to a cancelled job.
func (j Job) ItemBody(id string) ([]byte, bool) {
	for i, item := range j.spec.items {
		if item.id == id && !j.cancelled && j.itemStatuses[i] == 0 {
			return item.body, true
		}
	}
	return nil, false
}
