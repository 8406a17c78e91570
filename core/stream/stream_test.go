package stream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRecords checks which records are found.
func TestRecords(t *testing.T) {
	for _, test := range []struct {
		name    string
		records []Record
		age     time.Duration
		want    string
		found   bool
	}{
		{"none", nil, 0, "", false},
		{"one attempt", []Record{NewRecord(1, 1, "v1")}, 0, "v1", true},
		{"second attempt", []Record{NewRecord(1, 1, "v1"), NewRecord(1, 2, "v2")}, 0, "v2", true},
		{"late record of the first attempt", []Record{NewRecord(1, 2, "v2"), NewRecord(1, 1, "v1")}, 0, "v2", true},
		{"another stream", []Record{NewRecord(2, 1, "v1")}, 0, "", false},
		{"old, but kept", []Record{NewRecord(1, 1, "v1")}, Retention, "v1", true},
		{"too old", []Record{NewRecord(1, 1, "v1")}, Retention + 1, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			records := NewRecords()
			for _, r := range test.records {
				records.Add(now, r)
			}
			found, ok := records.Find(now.Add(test.age), 1)
			c.Check(ok, qt.Equals, test.found)
			c.Check(found.Version(), qt.Equals, test.want)
		})
	}
}

// TestRecordsAreBounded checks that old records are removed, and the oldest of too many.
func TestRecordsAreBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	records := NewRecords()
	for i := range maxRecords + 10 {
		records.Add(now, NewRecord(ID(i), 1, "v1"))
	}
	c.Check(records.Len() <= maxRecords+1, qt.IsTrue)
	_, found := records.Find(now, ID(maxRecords+9))
	c.Check(found, qt.IsTrue)
	records.Add(now.Add(Retention+1), NewRecord(0, 1, "v1"))
	c.Check(records.Len(), qt.Equals, 1)
}

// TestHistory checks what follows from the times in which versions were in use.
func TestHistory(t *testing.T) {
	type use struct {
		version  string
		from, to time.Duration // since the start of the instance
	}
	const now = 100 * time.Second
	for _, test := range []struct {
		name       string
		now        time.Duration
		uses       []use
		mixed      bool
		unrecorded string // empty if uncertain
		later      string // version whose streams must be recorded, empty if none
	}{
		{"one version", now, []use{{"v1", 0, now}}, false, "v1", ""},
		{"one version, instance started just now", settleTime - 1, []use{{"v1", 0, settleTime}}, true, "", ""},
		{"one version, instance started lately", Retention - 1, []use{{"v1", 0, Retention}}, false, "v1", ""},
		{"two versions, instance started lately", Retention - 1, []use{{"v1", 0, Retention}, {"v2", 10 * time.Second, Retention}}, true, "", "v2"},
		{"a second version since a second", now, []use{{"v1", 0, now}, {"v2", now - time.Second, now}}, true, "v1", "v2"},
		{"a second version for longer than streams last", now, []use{{"v1", 0, now}, {"v2", now - Retention, now}}, true, "", "v2"},
		{"both known from the start", now, []use{{"v1", 0, now}, {"v2", 0, now}}, true, "", ""},
		{"the first version has left lately", now, []use{{"v1", 0, now - time.Second}, {"v2", now - 10*time.Second, now}}, true, "v1", "v2"},
		{"the first version has left before any stream that lasts", now, []use{{"v1", 0, now - Retention - time.Second}, {"v2", now - 50*time.Second, now}}, true, "v2", ""},
		{"a second version for long enough that all know it", now, []use{{"v1", 0, now}, {"v2", now - laterTime, now}}, true, "", ""},
		{"the first version is forgotten", 3 * now, []use{{"v1", 0, now}, {"v2", now, 3 * now}}, false, "v2", ""},
		{"three versions", now, []use{{"v1", 0, now}, {"v2", now - 10*time.Second, now}, {"v3", now - time.Second, now}}, true, "v1", "v2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			h := NewHistory(start)
			for at := time.Duration(0); at <= test.now; at += 100 * time.Millisecond {
				for _, u := range test.uses {
					if at >= u.from && at <= u.to {
						h.Observe(start.Add(at), "s", u.version, true)
					}
				}
				h.Run(start.Add(at))
				h.ContactedAt(start.Add(at))
			}
			c.Check(h.InUse(start.Add(test.now))["s"].Mixed(), qt.Equals, test.mixed)
			answer := h.Unrecorded(start.Add(test.now), "s")
			c.Check(answer.Certainty() == Deduced, qt.Equals, test.unrecorded != "")
			c.Check(answer.Version(), qt.Equals, test.unrecorded)
			for _, version := range []string{"v1", "v2"} {
				c.Check(h.InUse(start.Add(test.now))["s"].MustRecord(version), qt.Equals, version == test.later, qt.Commentf(version))
			}
		})
	}
}

// TestVersionsThatMustBeRecorded guards against streams that begin without a record on a version
// which others conclude not to have begun them: the instance was started, or out of contact, when
// two versions came, and does not know which is the earlier one (review/9, ORDER).
func TestVersionsThatMustBeRecorded(t *testing.T) {
	type use struct {
		version  string
		from, to time.Duration // since the start of the instance
	}
	const second = time.Second
	for _, test := range []struct {
		name       string
		firstStart bool
		lost       time.Duration // contact, for lostFor
		lostFor    time.Duration
		now        time.Duration
		uses       []use
		want       []string
	}{
		{"one version", false, 0, 0, 2 * second, []use{{"v1", second, 2 * second}}, nil},
		{"started just before the second version", false, 0, 0, 4 * second, []use{{"v1", second, 4 * second}, {"v2", 3 * second, 4 * second}}, []string{"v1", "v2"}},
		{"started just after the second version", false, 0, 0, 2 * second, []use{{"v1", second, 2 * second}, {"v2", second, 2 * second}}, []string{"v1", "v2"}},
		{"started just before two more versions", false, 0, 0, 4 * second, []use{{"v1", second, 4 * second}, {"v2", 2 * second, 4 * second}, {"v3", 3 * second, 4 * second}}, []string{"v1", "v2", "v3"}},
		{"started long before the second version", false, 0, 0, 9 * second, []use{{"v1", second, 9 * second}, {"v2", 8 * second, 9 * second}}, []string{"v2"}},
		{"started long before two more versions", false, 0, 0, 9 * second, []use{{"v1", second, 9 * second}, {"v2", 8 * second, 9 * second}, {"v3", 8 * second, 9 * second}}, []string{"v2", "v3"}},
		{"both versions longer than streams are kept", false, 0, 0, laterTime + 2*second, []use{{"v1", second, laterTime + 2*second}, {"v2", second, laterTime + 2*second}}, nil},
		{"the second version came while others may conclude that the first was alone", false, 0, 0, 25 * second, []use{{"v1", 20 * second, 25 * second}, {"v2", 24 * second, 25 * second}}, []string{"v2"}},
		{"both came together", false, 0, 0, 25 * second, []use{{"v1", 20 * second, 25 * second}, {"v2", 21 * second, 25 * second}}, nil},
		{"both came while the instance had no contact", false, 10 * second, 10 * second, 21 * second, []use{{"v1", 20 * second, 21 * second}, {"v2", 20 * second, 21 * second}}, []string{"v1", "v2"}},
		{"the second came while the instance had no contact", false, 10 * second, 10 * second, 21 * second, []use{{"v1", second, 21 * second}, {"v2", 20 * second, 21 * second}}, []string{"v2"}},
		{"first start with both versions", true, 0, 0, 3 * second, []use{{"v1", second, 3 * second}, {"v2", 2 * second, 3 * second}}, nil},
		{"first start, the second version later", true, 0, 0, 9 * second, []use{{"v1", second, 9 * second}, {"v2", 8 * second, 9 * second}}, []string{"v2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			h := NewHistory(start)
			if test.firstStart {
				h.BeginDeployment()
			}
			for at := time.Duration(0); at <= test.now; at += 100 * time.Millisecond {
				for _, u := range test.uses {
					if at >= u.from && at <= u.to {
						h.Observe(start.Add(at), "s", u.version, true)
					}
				}
				h.Run(start.Add(at))
				if at < test.lost || at >= test.lost+test.lostFor {
					h.ContactedAt(start.Add(at))
				}
			}
			var must []string
			for _, version := range []string{"v1", "v2", "v3"} {
				if h.InUse(start.Add(test.now))["s"].MustRecord(version) {
					must = append(must, version)
				}
			}
			qt.Assert(t, must, qt.DeepEquals, test.want)
		})
	}
}

// TestCopies checks that any instances which are enough for a conclusion include one with a record.
func TestCopies(t *testing.T) {
	for instances := 1; instances < 40; instances++ {
		copies, answers := Copies(instances), AnswersNeeded(instances)
		qt.Assert(t, copies+answers > instances, qt.IsTrue, qt.Commentf("%d instances", instances))
		qt.Assert(t, copies <= instances && answers <= instances, qt.IsTrue, qt.Commentf("%d instances", instances))
	}
}

// TestConclude checks which version follows from the answers of several instances.
func TestConclude(t *testing.T) {
	unknown, recorded, deduced := Answer{}, NewAnswer(Recorded, "v1"), NewAnswer(Deduced, "v2")
	for _, test := range []struct {
		name      string
		answers   []Answer
		instances int
		want      Answer
	}{
		{"no answers", nil, 3, unknown},
		{"one record", []Answer{recorded}, 5, recorded},
		{"a record beside deductions", []Answer{deduced, deduced, recorded}, 3, recorded},
		{"all deduce the same", []Answer{deduced, deduced, deduced}, 3, deduced},
		{"one has not answered", []Answer{deduced, deduced}, 3, deduced},
		{"two have not answered", []Answer{deduced}, 3, unknown},
		{"one does not know", []Answer{deduced, unknown, deduced}, 3, deduced},
		{"deductions differ", []Answer{deduced, NewAnswer(Deduced, "v3")}, 2, unknown},
		{"the only instance deduces", []Answer{deduced}, 1, deduced},
		{"two of five are down", []Answer{deduced, deduced, deduced}, 5, deduced},
		{"three of five are down", []Answer{deduced, deduced}, 5, unknown},
		{"two of six are down", []Answer{deduced, deduced, deduced, deduced}, 6, deduced},
		{"one of three is down and one does not know", []Answer{deduced, unknown}, 3, unknown},
		{"records of two attempts", []Answer{recorded.WithAttempt(1), NewAnswer(Recorded, "v2").WithAttempt(2)}, 3, NewAnswer(Recorded, "v2").WithAttempt(2)},
		{"one knows that several versions are possible", []Answer{deduced, deduced, NewAnswer(Ambiguous, "")}, 3, unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, Conclude(test.answers, test.instances) == test.want, qt.IsTrue)
		})
	}
}
