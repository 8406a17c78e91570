package stream

// Query asks which version began a stream of a service. If the caller did not name the stream,
// it asks for the only version of the service.
type Query struct {
	id      ID
	service string
}

// NewQuery returns a query. id is zero if the caller did not name the stream.
func NewQuery(id ID, service string) Query { return Query{id: id, service: service} }

// Named reports whether the stream is known by its id.
func (q Query) Named() bool { return q.id != 0 }

// ID returns the stream.
func (q Query) ID() ID { return q.id }

// Service returns the service that ran the stream.
func (q Query) Service() string { return q.service }

// Certainty is how an instance knows the version of an answer.
type Certainty uint8

// Certainties.
const (
	Unknown   Certainty = iota // the instance does not know the version
	Recorded                   // it has a record of the stream
	Deduced                    // it has no record, and streams of another version would have been recorded
	Ambiguous                  // it has no record, and streams of several versions may have none
)

// String returns the name used in logs.
func (c Certainty) String() string {
	names := [...]string{"unknown", "recorded", "deduced", "ambiguous"}
	if int(c) >= len(names) {
		return names[0]
	}
	return names[c]
}

// Answer is what an instance knows of the version that began a stream.
type Answer struct {
	certainty Certainty
	version   string
	attempt   int // of the record
}

// NewAnswer returns an answer.
func NewAnswer(certainty Certainty, version string) Answer {
	return Answer{certainty: certainty, version: version}
}

// WithAttempt returns the answer with the number of the recorded attempt.
func (a Answer) WithAttempt(attempt int) Answer {
	a.attempt = attempt
	return a
}

// Attempt returns the number of the recorded attempt.
func (a Answer) Attempt() int { return a.attempt }

// Certainty returns how the instance knows the version.
func (a Answer) Certainty() Certainty { return a.certainty }

// Version returns the version.
func (a Answer) Version() string { return a.version }

// maxCopies bounds the number of instances that must have a record.
const maxCopies = 4

// Copies returns how many of the instances that keep records must have one before its stream
// may begin, if others could conclude another version without it.
func Copies(instances int) int { return min(instances/2+1, maxCopies) }

// AnswersNeeded returns how many instances must answer so that at least one of them has a
// record of which there are Copies.
func AnswersNeeded(instances int) int { return max(instances-Copies(instances)+1, 1) }

// Conclude returns the version that began a stream, given the answers of the instances that
// keep records. A record counts whoever has it; of several, that of the latest attempt. Without
// one, at least AnswersNeeded must have deduced the version, and none may contradict.
func Conclude(answers []Answer, instances int) Answer {
	var recorded, deduced Answer
	deductions, contradicted := 0, false
	for _, a := range answers {
		switch a.certainty {
		case Recorded:
			if recorded.certainty == Unknown || a.attempt > recorded.attempt {
				recorded = a
			}
		case Ambiguous:
			contradicted = true
		case Deduced:
			contradicted = contradicted || (deductions > 0 && a.version != deduced.version)
			deduced, deductions = a, deductions+1
		}
	}
	switch {
	case recorded.certainty == Recorded:
		return recorded
	case contradicted || deductions < AnswersNeeded(instances):
		return Answer{}
	}
	return deduced
}
