package usage

// SyncRequest is the request with which an instance polls the load totals. It
// contains the sender's own report and its position in the totals.
type SyncRequest struct {
	report Report
	cursor Cursor
}

// NewSyncRequest returns a request with a report and a cursor.
func NewSyncRequest(r Report, c Cursor) SyncRequest { return SyncRequest{report: r, cursor: c} }

// Report returns the report of the sender.
func (r SyncRequest) Report() Report { return r.report }

// Cursor returns the sender's position in the load totals.
func (r SyncRequest) Cursor() Cursor { return r.cursor }
