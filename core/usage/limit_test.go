package usage

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimited checks what the reports of several instances say of a server's limit: the
// newest answer counts, and the requests of all instances add up.
func TestLimited(t *testing.T) {
	limit := func(perSecond float64, age time.Duration, sent int) LimitedUse {
		return NewLimitedUse(NewLimit(perSecond, 1), age, NewSent(sent, 2*sent))
	}
	for _, test := range []struct {
		name    string
		reports []LimitedUse
		want    LimitedUse
		known   bool
	}{
		{"one report", []LimitedUse{limit(3, time.Second, 2)}, limit(3, time.Second, 2), true},
		{"newer limit", []LimitedUse{limit(3, time.Second, 2), limit(5, time.Millisecond, 1)}, limit(5, time.Millisecond, 3), true},
		{"older limit", []LimitedUse{limit(3, time.Second, 2), limit(5, 2*time.Second, 1)}, limit(3, time.Second, 3), true},
		{"ended", []LimitedUse{limit(3, time.Second, 2), limit(0, time.Millisecond, 1)}, limit(0, time.Millisecond, 3), true},
		{"sent without an own answer", []LimitedUse{limit(3, LimitMaxAge, 4), limit(3, time.Second, 1)}, limit(3, time.Second, 5), true},
		{"forgotten", []LimitedUse{limit(3, LimitMaxAge, 4)}, LimitedUse{}, false},
		{"another incarnation", []LimitedUse{limit(3, time.Second, 2), NewLimitedUse(NewLimit(5, 2), 0, NewSent(1, 1))}, NewLimitedUse(NewLimit(5, 2), 0, NewSent(1, 1)), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := New()
			for i, use := range test.reports {
				w.SetReport(now, string(rune('a'+i)), NewReport(nil).WithLimited(map[string]LimitedUse{"s": use}))
			}
			use, known := w.Limited(now)["s"]
			c.Assert(known, qt.Equals, test.known)
			c.Assert(use == test.want, qt.IsTrue, qt.Commentf("%+v", use))
		})
	}
}

// TestWindow checks for how long requests count.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	var w Window
	start := time.Unix(1000, 0)
	for i := range 3 {
		w.Add(start.Add(time.Duration(i) * time.Second))
	}
	for _, test := range []struct {
		after time.Duration
		want  Sent
	}{
		{3 * time.Second, NewSent(3, 3)},
		{BurstWindow, NewSent(2, 3)},
		{BurstWindow + 2*time.Second, NewSent(0, 3)},
		{SustainedWindow + time.Second, NewSent(0, 1)},
		{SustainedWindow + 2*time.Second, NewSent(0, 0)},
	} {
		c.Assert(w.Sent(start.Add(test.after)), qt.Equals, test.want, qt.Commentf("after %v", test.after))
	}
}
