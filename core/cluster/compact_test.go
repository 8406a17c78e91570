package cluster

import (
	"bytes"
	"testing"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/registry"

	qt "github.com/frankban/quicktest"
)

// Sizes of large configuration documents and of what a control instance may hold of
// them, in bytes.
const (
	largeDocumentBytes = 300 << 10
	maxHeldBytes       = 32 << 20 // a quarter of the disk of a control instance
)

// TestLogOfLargeDocumentsIsBounded checks that control instances hold few of many large
// configuration documents, so that neither their disks nor their memory fill up.
func TestLogOfLargeDocumentsIsBounded(t *testing.T) {
	s := newTestSystem(t, 0)
	plain := s.codec.Registry
	s.codec.Registry = NewEncoding(func(c registry.Command) ([]byte, error) {
		data, err := plain.Encode(c)
		return append(data, bytes.Repeat([]byte(" "), largeDocumentBytes)...), err
	}, plain.Decode)
	for _, n := range s.instances {
		s.start(n, true)
	}
	s.run(4 * time.Second)
	for number := range uint64(150) {
		s.c.Assert(s.configure("c0", number+1), qt.Equals, call.StatusDone)
		for _, n := range s.instances {
			if n.role == directory.RoleControl {
				s.c.Assert(n.world.ledgers.LogBytes(ControlLedger) <= maxHeldBytes, qt.IsTrue, qt.Commentf("%s, document %d", n.address, number+1))
			}
		}
	}
}
