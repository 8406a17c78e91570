package disk

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"papayaquay/core/ledger"

	qt "github.com/frankban/quicktest"
)

// maxRecovery is the time in which service must be back after a loss of power.
const maxRecovery = 12 * time.Second

// TestOpenAfterTornSnapshot checks that a log whose last record is a large snapshot that
// was being written when the power failed opens in time. Bodies of requests are any bytes.
func TestOpenAfterTornSnapshot(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	writeEntries(c, folder, 10)
	random := rand.NewChaCha8([32]byte{21})
	state := make([]byte, 24<<20)
	_, err := random.Read(state)
	c.Assert(err, qt.IsNil)
	frame, err := appendFrame(nil, toBody(ledger.NewSnapshotRecord("home/a", "i1#x", ledger.NewSnapshot(9, 1, nil, state))))
	c.Assert(err, qt.IsNil)
	f, err := os.OpenFile(segmentPaths(c, folder)[0], os.O_APPEND|os.O_WRONLY, fileMode)
	c.Assert(err, qt.IsNil)
	_, err = f.Write(frame[:len(frame)-100])
	c.Assert(err, qt.IsNil)
	c.Assert(f.Close(), qt.IsNil)

	opened := make(chan *Store, 1)
	go func() {
		store, err := Open(folder)
		c.Check(err, qt.IsNil)
		opened <- store
	}()
	select {
	case store := <-opened:
		c.Assert(store.TakeLoaded()[0].Entries(), qt.HasLen, 10)
		store.Close()
	case <-time.After(maxRecovery):
		c.Fatalf("the log was not open after %v", maxRecovery)
	}
}
