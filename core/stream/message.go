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
}

// NewAnswer returns an answer.
func NewAnswer(certainty Certainty, version string) Answer {
	return Answer{certainty: certainty, version: version}
}

// Certainty returns how the instance knows the version.
func (a Answer) Certainty() Certainty { return a.certainty }

// Version returns the version.
func (a Answer) Version() string { return a.version }

// Conclude returns the version that began a stream, given the answers of the instances that
// keep records. A record counts whoever has it. Without one, the version must follow from
// what at least one instance knows, no other one may contradict, and at most one instance
// may not have answered: each record is sent to two.
func Conclude(answers []Answer, instances int) Answer {
	deduced, contradicted := Answer{}, false
	for _, a := range answers {
		switch {
		case a.certainty == Recorded:
			return a
		case a.certainty == Ambiguous:
			contradicted = true
		case a.certainty == Deduced && deduced.certainty == Unknown:
			deduced = a
		case a.certainty == Deduced && a.version != deduced.version:
			contradicted = true
		}
	}
	if contradicted || len(answers) < max(instances-1, 1) {
		return Answer{}
	}
	return deduced
}
