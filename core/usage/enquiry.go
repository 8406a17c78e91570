package usage

// Enquiry is what an instance sends to hear the sums: what it runs itself, and
// up to where it heard them.
type Enquiry struct {
	report Report
	heard  Mark
}

// NewEnquiry returns an enquiry.
func NewEnquiry(report Report, heard Mark) Enquiry { return Enquiry{report: report, heard: heard} }

// Report returns what the sender runs.
func (e Enquiry) Report() Report { return e.report }

// Heard names the state of the sums that the sender knows.
func (e Enquiry) Heard() Mark { return e.heard }
