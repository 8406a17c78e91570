package disk

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"papayaquay/core/event"
	"papayaquay/core/ledger"

	"github.com/cockroachdb/errors"
)

// load reads all segments in order.
func (s *Store) load() error {
	paths, err := filepath.Glob(filepath.Join(s.folder, segmentGlob))
	if err != nil {
		return errors.Wrap(err, "list segments")
	}
	slices.Sort(paths)
	for i, path := range paths {
		if err := s.loadSegment(path, i == len(paths)-1); err != nil {
			return err
		}
	}
	return nil
}

// loadSegment reads one segment. Only the last one may end in a torn record.
func (s *Store) loadSegment(path string, last bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	if s.file != nil {
		s.older = append(s.older, s.file)
	}
	s.file = f
	if _, err := fmt.Sscanf(filepath.Base(path), "wal-%d.log", &s.number); err != nil {
		return errors.Wrapf(err, "segment name %s", path)
	}
	end, err := s.scan(f, data)
	if err != nil {
		if !last || intactAfter(data[end:]) {
			event.LogCorrupt.Log(s.logger, "file", path, "offset", end)
			return errors.Wrapf(ErrCorrupt, "%s at offset %d", path, end)
		}
		event.LogTruncated.Log(s.logger, "file", path, "offset", end, "cut", len(data)-end)
		if err := f.Truncate(int64(end)); err != nil {
			return errors.Wrap(err, "cut torn record")
		}
	}
	s.offset = int64(end)
	s.total += int64(end)
	if last && s.nonce == "" {
		return s.dropEmpty(path)
	}
	return nil
}

// dropEmpty removes a segment that lost even its identity record; nothing in
// it was ever confirmed.
func (s *Store) dropEmpty(path string) error {
	s.file.Close()
	s.file = nil
	return errors.Wrap(os.Remove(path), "remove empty segment")
}

// scan takes in the records of a segment and returns where they end.
func (s *Store) scan(f *os.File, data []byte) (int, error) {
	at := 0
	for at < len(data) {
		b, size, err := readFrame(data[at:])
		if err != nil {
			return at, err
		}
		b.Data = bytes.Clone(b.Data)
		s.take(b, place{index: b.Index, offset: int64(at), size: size, file: f}, true)
		at += size
	}
	return at, nil
}

// intactAfter reports whether an intact record follows somewhere in data.
func intactAfter(data []byte) bool {
	for at := 1; at < len(data); at++ {
		if b, _, err := readFrame(data[at:]); err == nil && b.Replica != "" {
			return true
		}
	}
	return false
}

// take notes one record that is in the log at a place.
func (s *Store) take(b body, at place, loading bool) {
	if b.Kind == kindIdentity {
		s.nonce = b.Replica
		s.live += int64(at.size)
		return
	}
	id := ledger.ID(b.Ledger)
	row := s.ledgers.Get(id)
	if row == nil {
		row = s.ledgers.Put(id, ledgerRow{})
	}
	row.replica = ledger.ReplicaID(b.Replica)
	s.live += int64(at.size)
	switch ledger.RecordKind(b.Kind) {
	case ledger.RecordVote:
		s.live -= int64(row.voteAt.size)
		row.term, row.vote, row.voteAt = b.Term, ledger.ReplicaID(b.Vote), at
	case ledger.RecordEntry:
		s.dropEntries(row, func(p place) bool { return p.index >= b.Index })
		row.entriesAt = append(row.entriesAt, at)
		if loading {
			row.entries = append(row.entries, b.entry())
		}
	case ledger.RecordSnapshot:
		s.live -= int64(row.snapshotAt.size)
		row.snapshotAt = at
		s.takeSnapshot(row, b, loading)
	}
}

// takeSnapshot drops the entries that a snapshot covers. Entries behind it
// stay only if the log reached the snapshot's index.
func (s *Store) takeSnapshot(row *ledgerRow, b body, loading bool) {
	reaches := len(row.entriesAt) > 0 && row.entriesAt[len(row.entriesAt)-1].index >= b.Index
	s.dropEntries(row, func(p place) bool { return p.index <= b.Index || !reaches })
	if loading {
		row.snapshot = b.snapshot()
	}
}

// dropEntries forgets entries of a ledger.
func (s *Store) dropEntries(row *ledgerRow, drop func(place) bool) {
	if n := len(row.entriesAt); n == 0 || !drop(row.entriesAt[0]) && !drop(row.entriesAt[n-1]) {
		return
	}
	keptAt, kept := row.entriesAt[:0:0], row.entries[:0:0]
	for i, p := range row.entriesAt {
		if drop(p) {
			s.live -= int64(p.size)
			continue
		}
		keptAt = append(keptAt, p)
		if i < len(row.entries) {
			kept = append(kept, row.entries[i])
		}
	}
	row.entriesAt, row.entries = keptAt, kept
}
