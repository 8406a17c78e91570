package usage

// SyncRequest is what an instance sends to hear the sums: what it runs itself, and
// up to where it heard them.
type SyncRequest struct {
	report Report
	cursor Cursor
}

// NewSyncRequest returns an enquiry.
func NewSyncRequest(report Report, heard Cursor) SyncRequest {
	return SyncRequest{report: report, cursor: heard}
}

// Report returns what the sender runs.
func (e SyncRequest) Report() Report { return e.report }

// Cursor names the state of the sums that the sender knows.
func (e SyncRequest) Cursor() Cursor { return e.cursor }
