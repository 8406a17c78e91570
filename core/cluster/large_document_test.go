package cluster

import (
	"testing"
	"time"

	"papayaquay/core/call"

	qt "github.com/frankban/quicktest"
)

// maxDrainTime is the time after which no request may be sent to a leaving server.
const maxDrainTime = 2 * time.Second

// TestLargeDocumentsDelayLeaves guards against large configuration documents that keep
// entry instances on slow links from learning that servers leave.
func TestLargeDocumentsDelayLeaves(t *testing.T) {
	for _, test := range []struct {
		name          string
		documents     int
		documentBytes int
		pause         time.Duration // between two documents
		linkBytes     int           // bytes per second
	}{
		{"one document", 1, 1_000_000, 0, 2_500_000},
		{"two documents", 2, 1_000_000, 500 * time.Millisecond, 2_500_000},
		{"a document every second", 5, 1_000_000, time.Second, 2_500_000},
		{"links that take a second for a document", 2, 1_000_000, 500 * time.Millisecond, 1_000_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			backend := s.announce("c1", "b0", 1)
			s.announce("c1", "b1", 1)
			s.run(2 * time.Second)
			s.entryLinkBytes = test.linkBytes
			for i := range test.documents {
				s.c.Assert(s.configureSized("c0", uint64(i+1), test.documentBytes), qt.Equals, call.StatusDone)
				s.run(test.pause)
			}
			s.c.Assert(s.leave("c1", backend), qt.Equals, call.StatusDone)
			s.run(maxDrainTime)
			for _, entry := range []string{"e0", "e1"} {
				s.c.Check(s.lists(entry, "b0"), qt.IsFalse, qt.Commentf(entry))
				s.c.Check(s.lists(entry, "b1"), qt.IsTrue, qt.Commentf(entry))
			}
		})
	}
}

// TestDocumentTransferContinues guards against transfers of large documents that begin anew,
// or never end, when an upstream is lost or a newer document appears.
func TestDocumentTransferContinues(t *testing.T) {
	const documentBytes, linkBytes = 1_000_000, 1_000_000
	for _, test := range []struct {
		name      string
		lose      int // upstreams lost during the transfer
		newer     int // newer documents during the transfer
		maxParts  int // received by one entry instance
		transfers int // time that the transfers may take, in transfers of one document
	}{
		{"undisturbed", 0, 0, 16, 2},
		{"an upstream is lost", 1, 0, 18, 3},
		{"newer documents appear", 0, 3, 48, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 0)
			s.run(4 * time.Second)
			s.entryLinkBytes = linkBytes
			parts := 0
			s.onSend = func(p Packet) {
				for _, r := range p.Replies() {
					if _, err := s.codec.DocumentPart.Decode(r.Payload()); err == nil && p.To() == "e0" {
						parts++
					}
				}
			}
			number := uint64(1)
			s.c.Assert(s.configureSized("c0", number, documentBytes), qt.Equals, call.StatusDone)
			for range test.newer {
				s.run(200 * time.Millisecond)
				number++
				s.c.Assert(s.configureSized("c0", number, documentBytes), qt.Equals, call.StatusDone)
			}
			s.run(300 * time.Millisecond)
			for _, address := range s.instance("e0").world.documentSources()[:test.lose] {
				s.instance(address).down = true
			}
			s.run(time.Duration(test.transfers) * time.Second * documentBytes / linkBytes)
			s.c.Assert(s.instance("e0").snapshot.Config(), qt.IsNotNil)
			s.c.Check(s.instance("e0").snapshot.Config().Number(), qt.Equals, number)
			s.c.Check(parts <= test.maxParts, qt.IsTrue, qt.Commentf("%d parts", parts))
		})
	}
}
