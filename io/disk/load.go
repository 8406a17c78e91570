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

// load reads all segments in the order of their numbers.
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
	if s.segment != nil {
		s.olderSegments = append(s.olderSegments, s.segment)
	}
	s.segment = f
	if _, err := fmt.Sscanf(filepath.Base(path), "wal-%d.log", &s.segmentNumber); err != nil {
		return errors.Wrapf(err, "segment name %s", path)
	}
	end, err := s.loadRecords(f, data)
	if err != nil {
		if !last || hasIntactRecord(data[end:]) {
			event.LogCorrupt.Log(s.logger, "file", path, "offset", end)
			return errors.Wrapf(ErrCorrupt, "%s at offset %d", path, end)
		}
		event.LogTruncated.Log(s.logger, "file", path, "offset", end, "cut", len(data)-end)
		if err := f.Truncate(int64(end)); err != nil {
			return errors.Wrap(err, "truncate torn record")
		}
	}
	s.offset = int64(end)
	s.totalBytes += int64(end)
	if last && s.nonce == "" {
		return s.removeEmptySegment(path)
	}
	return nil
}

// removeEmptySegment removes a segment without an identity record. No record in
// it was ever confirmed.
func (s *Store) removeEmptySegment(path string) error {
	s.segment.Close()
	s.segment = nil
	return errors.Wrap(os.Remove(path), "remove empty segment")
}

// loadRecords applies the records of a segment and returns the offset at which
// they end.
func (s *Store) loadRecords(f *os.File, data []byte) (int, error) {
	offset := 0
	for offset < len(data) {
		b, size, err := readFrame(data[offset:])
		if err != nil {
			return offset, err
		}
		b.Data = bytes.Clone(b.Data)
		s.applyRecord(b, location{index: b.Index, offset: int64(offset), size: size, file: f}, true)
		offset += size
	}
	return offset, nil
}

// hasIntactRecord reports whether an intact record starts after the first byte of
// data. It reads only frames whose content begins like a body: the checksum of what
// random bytes take for the size of a frame would be computed over much of the data, for
// many of its offsets.
func hasIntactRecord(data []byte) bool {
	for offset := 1; offset < len(data); offset++ {
		if !beginsLikeFrame(data[offset:]) {
			continue
		}
		if b, _, err := readFrame(data[offset:]); err == nil && b.Replica != "" {
			return true
		}
	}
	return false
}

// applyRecord updates the row of a ledger with a record at a location. With
// loading it also keeps the content of entries and snapshots.
func (s *Store) applyRecord(b body, at location, loading bool) {
	if b.Kind == kindIdentity {
		s.nonce = b.Replica
		s.liveBytes += int64(at.size)
		return
	}
	id := ledger.ID(b.Ledger)
	row := s.ledgers.Get(id)
	if row == nil {
		row = s.ledgers.Put(id, ledgerRow{})
	}
	row.replica = ledger.ReplicaID(b.Replica)
	s.liveBytes += int64(at.size)
	switch ledger.RecordKind(b.Kind) {
	case ledger.RecordVote:
		s.liveBytes -= int64(row.voteLocation.size)
		row.term, row.vote, row.voteLocation = b.Term, ledger.ReplicaID(b.Vote), at
	case ledger.RecordEntry:
		s.dropEntries(row, func(p location) bool { return p.index >= b.Index })
		row.entryLocations = append(row.entryLocations, at)
		if loading {
			row.entries = append(row.entries, b.entry())
		}
	case ledger.RecordSnapshot:
		s.liveBytes -= int64(row.snapshotLocation.size)
		row.snapshotLocation = at
		s.applySnapshot(row, b, loading)
	}
}

// applySnapshot drops the entries that a snapshot covers. Later entries stay only
// if the log reaches the index of the snapshot.
func (s *Store) applySnapshot(row *ledgerRow, b body, loading bool) {
	reachesSnapshot := len(row.entryLocations) > 0 && row.entryLocations[len(row.entryLocations)-1].index >= b.Index
	s.dropEntries(row, func(p location) bool { return p.index <= b.Index || !reachesSnapshot })
	if loading {
		row.snapshot = b.snapshot()
	}
}

// dropEntries removes the entries of a ledger for which drop returns true. Such
// entries stand at the start or at the end of the log.
func (s *Store) dropEntries(row *ledgerRow, drop func(location) bool) {
	if n := len(row.entryLocations); n == 0 || !drop(row.entryLocations[0]) && !drop(row.entryLocations[n-1]) {
		return
	}
	keptLocations, kept := row.entryLocations[:0:0], row.entries[:0:0]
	for i, p := range row.entryLocations {
		if drop(p) {
			s.liveBytes -= int64(p.size)
			continue
		}
		keptLocations = append(keptLocations, p)
		if i < len(row.entries) {
			kept = append(kept, row.entries[i])
		}
	}
	row.entryLocations, row.entries = keptLocations, kept
}
