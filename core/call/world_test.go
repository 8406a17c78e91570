package call

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCalls checks which instances a call is sent to and how it ends.
func TestCalls(t *testing.T) {
	done := func(number uint64) Reply { return NewReply(number, StatusDone, nil) }
	for _, test := range []struct {
		name    string
		leader  string
		members []string
		answer  func(address string, number uint64) (Reply, bool) // false for none
		called  []string
		status  Status
	}{
		{"leader known", "a", []string{"a", "b"}, func(_ string, n uint64) (Reply, bool) { return done(n), true }, []string{"a"}, StatusDone},
		{"redirected", "a", []string{"a", "b"}, func(address string, n uint64) (Reply, bool) {
			if address == "a" {
				return NewRedirect(n, "b"), true
			}
			return done(n), true
		}, []string{"a", "b"}, StatusDone},
		{"leader does not answer", "a", []string{"a", "b"}, func(address string, n uint64) (Reply, bool) { return done(n), address == "b" }, []string{"a", "b"}, StatusDone},
		{"no instance known", "", nil, nil, nil, StatusUnsent},
		{"no instance answers", "a", []string{"a"}, func(string, uint64) (Reply, bool) { return Reply{}, false }, []string{"a", "a"}, StatusTimeout},
		{"unknown subject", "a", []string{"a"}, func(_ string, n uint64) (Reply, bool) { return NewReply(n, StatusUnknown, nil), true }, []string{"a"}, StatusUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			w := NewWorld(func(Target) (string, []string) { return test.leader, test.members })
			var replies []Reply
			w.Start(now, New(KindPropose, TargetJobs, now.Add(2*attemptTimeout-time.Millisecond), nil), func(r Reply) { replies = append(replies, r) })
			var called []string
			for range 400 {
				for _, o := range w.Output() {
					called = append(called, o.Address())
					if reply, ok := test.answer(o.Address(), o.Request().Number()); ok {
						w.Receive(now, o.Address(), reply)
					}
				}
				now = now.Add(5 * time.Millisecond)
				w.Run(now)
			}
			c.Assert(replies, qt.HasLen, 1)
			c.Assert(replies[0].Status(), qt.Equals, test.status)
			c.Assert(called, qt.DeepEquals, test.called)
		})
	}
}
