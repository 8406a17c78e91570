package cluster

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/registry"

	qt "github.com/frankban/quicktest"
)

// TestPollAnswerRounds checks that an update in each millisecond causes a
// bounded number of answers to each polling instance, and that the last update
// reaches all of them within one interval.
func TestPollAnswerRounds(t *testing.T) {
	const span = time.Second
	for _, test := range []struct {
		name     string
		pollers  int
		interval time.Duration
	}{
		{"few pollers", 10, minRoundInterval},
		{"many pollers", 200, 200 * roundIntervalPerPoll},
		{"very many pollers", 2000, maxRoundInterval},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPolls()
			now := time.Unix(1000, 0)
			newest := uint64(0)
			answers := 0
			received := make(map[string]uint64)
			add := func(from string) {
				row := pollRow{request: NewPollRequest(newEntryInstance(from), 1, received[from], 0, true), due: now.Add(10 * span)}
				p.add(from, row, received[from] < newest)
			}
			tick := func() {
				p.answerReady(now, updateVersion{directory: newest}, func(row *pollRow) bool { return row.request.version < newest },
					func(requester requesterKey, _ PollRequest) {
						answers++
						received[requester.from] = newest
						add(requester.from)
					})
				now = now.Add(time.Millisecond)
			}
			for i := range test.pollers {
				add(fmt.Sprint(i))
			}
			for range span / time.Millisecond {
				newest++
				tick()
			}
			rounds := int(span/test.interval) + 1
			c.Assert(answers <= rounds*test.pollers, qt.IsTrue, qt.Commentf("%d answers, %d rounds", answers, rounds))
			for range test.interval/time.Millisecond + 1 {
				tick()
			}
			for from, version := range received {
				c.Assert(version, qt.Equals, newest, qt.Commentf(from))
			}
			c.Assert(received, qt.HasLen, test.pollers)
		})
	}
}

// newEntryInstance returns the description of an entry instance with an address.
func newEntryInstance(address string) directory.Instance {
	return directory.NewInstance(address, address, "z", directory.RoleEntry, 1)
}

// TestDocumentIsEncodedOnceForAllPolls checks that a new document is encoded a few times for
// each control instance, however many instances wait for it.
func TestDocumentIsEncodedOnceForAllPolls(t *testing.T) {
	const entries = 30
	s := newTestSystem(t, 0)
	encoded := 0
	plain := s.codec.Document
	s.codec.Document = NewEncoding(func(d registry.Document) ([]byte, error) {
		encoded++
		return plain.Encode(d)
	}, plain.Decode)
	responses := s.codec.PollResponse
	s.codec.PollResponse = NewEncoding(func(r PollResponse) ([]byte, error) {
		if len(r.document.Content()) > 0 {
			encoded++
		}
		return responses.Encode(r)
	}, responses.Decode)
	for i := range entries {
		s.add(fmt.Sprintf("x%d", i), directory.RoleEntry, "z0")
	}
	for _, n := range s.instances {
		s.start(n, true)
	}
	s.run(8 * time.Second)
	for number := range uint64(10) {
		s.c.Assert(s.configure("c0", number+1), qt.Equals, call.StatusDone)
		s.run(time.Second)
	}
	for _, n := range s.instances {
		s.c.Assert(n.snapshot.Config().Number(), qt.Equals, uint64(10), qt.Commentf(n.address))
	}
	s.c.Assert(encoded <= 10*2*len(s.seeds), qt.IsTrue, qt.Commentf("%d times for 10 documents at %d control instances", encoded, len(s.seeds)))
}
