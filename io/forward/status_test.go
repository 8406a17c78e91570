package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	qt "github.com/frankban/quicktest"
)

// TestStatusOfNoAnswer guards against responses whose status is none: they made the handler panic,
// which kept the place on the server (review/7, LOST), passed for answers of callers (MIXED) or for
// failures of items.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, test := range []struct {
		status string
		header string
		online entry.AttemptStatus
		item   runner.AttemptStatus
	}{
		{"000", "", entry.AttemptLost, runner.AttemptInterrupted},
		{"001", "", entry.AttemptLost, runner.AttemptInterrupted},
		{"099", "", entry.AttemptLost, runner.AttemptInterrupted},
		{"101", "Upgrade: x\r\nConnection: Upgrade\r\n", entry.AttemptLost, runner.AttemptInterrupted},
		{"600", "", entry.AttemptLost, runner.AttemptInterrupted},
		{"999", "", entry.AttemptLost, runner.AttemptInterrupted},
		{"000", "Not-Run: 1\r\n", entry.AttemptLost, runner.AttemptInterrupted},
		{"777", "Not-Run: 1\r\n", entry.AttemptLost, runner.AttemptInterrupted},
		{"200", "", entry.AttemptAnswered, runner.AttemptInterrupted},
		{"599", "", entry.AttemptAnswered, runner.AttemptFailed},
		{"503", "Not-Run: 1\r\n", entry.AttemptNotRun, runner.AttemptNotRun},
	} {
		for _, length := range []int{0, 4} {
			t.Run(fmt.Sprintf("%s %s%d", test.status, test.header, length), func(t *testing.T) {
				c := qt.New(t)
				response := fmt.Sprintf("HTTP/1.1 %s OK\r\nId: r1\r\n%sContent-Length: %d\r\n\r\n%s", test.status, test.header, length, "body"[:length])
				s := newTestServer(t, false, response, response, response)
				client := New(testCodec().WithReservations(func(int, time.Duration) Call { return NewCall("POST", "/x", nil) }, readTestReservation))
				out := httptest.NewRecorder()
				relay := client.NewRelay(newRequest("POST"), out, false, progress.New())
				status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
				c.Check(status, qt.Equals, test.online)
				c.Check(relay.ResponseStarted(), qt.Equals, test.online == entry.AttemptAnswered)
				c.Check(relay.MayHaveRun(), qt.Equals, test.online != entry.AttemptNotRun)
				item, _, _ := client.Collect(context.Background(), newRequest("POST"), s.backend(), 0, progress.New(), func(entry.LoadReport) {}, func([]byte, uint64) {})
				if test.status != "200" { // as the answer of an item it lacks its events
					c.Check(item, qt.Equals, test.item)
				}
				_, ok := client.Reserve(context.Background(), s.backend(), 1, time.Second)
				c.Check(ok, qt.Equals, test.online != entry.AttemptLost)
				if _, conns := s.count(); test.online == entry.AttemptLost {
					c.Check(conns, qt.Equals, 3) // none is used again
				}
			})
		}
	}
}

// readTestReservation reads any response as a reserved slot.
func readTestReservation(int, http.Header, []byte) Reservation {
	return NewReservation("slot", false)
}
