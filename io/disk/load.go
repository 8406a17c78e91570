package disk

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/io/record"

	"github.com/cockroachdb/errors"
)

// readBufferBytes is the size of the parts in which a segment is read.
const readBufferBytes = 1 << 20

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
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Wrap(err, "size of segment")
	}
	end, err := s.loadRecords(f, size)
	if err != nil && !errors.Is(err, errInvalidFrame) {
		return err
	}
	if err != nil {
		if err := s.truncateTorn(f, path, end, size, last); err != nil {
			return err
		}
	}
	s.offset = end
	s.totalBytes += end
	if last && s.nonce == "" {
		return s.removeEmptySegment(path)
	}
	return nil
}

// truncateTorn truncates a segment to the offset end, at which an invalid record stands.
// It returns ErrCorrupt if that is not the torn end of the log.
func (s *Store) truncateTorn(f *os.File, path string, end, size int64, last bool) error {
	corrupt := !last
	if last {
		var err error
		if corrupt, err = hasIntactRecord(f, end+1, size); err != nil {
			return err
		}
	}
	if corrupt {
		event.LogCorrupt.Log(s.logger, "file", path, "offset", end)
		return errors.Wrapf(ErrCorrupt, "%s at offset %d", path, end)
	}
	event.LogTruncated.Log(s.logger, "file", path, "offset", end, "cut", size-end)
	return errors.Wrap(f.Truncate(end), "truncate torn record")
}

// removeEmptySegment removes a segment without an identity record. No record in
// it was ever confirmed.
func (s *Store) removeEmptySegment(path string) error {
	s.segment.Close()
	s.segment = nil
	return errors.Wrap(os.Remove(path), "remove empty segment")
}

// loadRecords applies the records of a segment and returns the offset at which
// they end. It reads one record at a time, since the dead records of a segment may
// exceed the instance's memory.
func (s *Store) loadRecords(f *os.File, size int64) (int64, error) {
	reader := bufio.NewReaderSize(io.NewSectionReader(f, 0, size), readBufferBytes)
	frames := frameReader{source: reader, left: size}
	offset := int64(0)
	for offset < size {
		b, n, err := frames.next()
		if err != nil {
			return offset, err
		}
		s.applyRecord(b, location{index: b.Index, offset: offset, size: n, file: f}, true)
		offset += int64(n)
	}
	return offset, nil
}

// hasIntactRecord reports whether an intact record starts between the offsets from and
// size of a file. It reads only frames whose content begins like a body: the checksum
// of what random bytes take for the size of a frame would be computed over much of the file,
// for many of its offsets.
func hasIntactRecord(f *os.File, from, size int64) (bool, error) {
	window := make([]byte, readBufferBytes)
	for start := from; start < size; start += readBufferBytes - frameBeginBytes {
		n, err := f.ReadAt(window, start)
		if err != nil && !errors.Is(err, io.EOF) {
			return false, errors.Wrap(err, "search intact record")
		}
		for i := 0; i < n; i++ {
			if !beginsLikeFrame(window[i:n]) {
				continue
			}
			frames := frameReader{source: io.NewSectionReader(f, start+int64(i), size), left: size - start - int64(i)}
			if b, _, err := frames.next(); err == nil && b.Replica != "" {
				return true, nil
			}
		}
	}
	return false, nil
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
		if s.addPart(row, b, at, loading) {
			s.applySnapshot(row, b, loading)
		}
	}
}

// addPart adds a snapshot or one part of it to the pending parts and reports whether the
// snapshot is complete. The first part of another snapshot replaces the pending ones, since
// a replica that stores it has given up theirs.
func (s *Store) addPart(row *ledgerRow, b body, at location, loading bool) bool {
	if b.Part == 0 {
		s.dropLocations(row.pendingLocations)
		row.pendingLocations, row.pendingParts = nil, nil
	}
	row.pendingLocations = append(row.pendingLocations, at)
	if loading && b.Parts > 1 {
		row.pendingParts = append(row.pendingParts, b.Data)
	}
	return b.snapshot().IsLast()
}

// dropLocations counts records as dead.
func (s *Store) dropLocations(locations []location) {
	for _, p := range locations {
		s.liveBytes -= int64(p.size)
	}
}

// applySnapshot puts the pending parts in the place of the last snapshot and drops the
// entries that they cover. Later entries stay only if the log reaches the index of the
// snapshot.
func (s *Store) applySnapshot(row *ledgerRow, b body, loading bool) {
	s.dropLocations(row.snapshotLocations)
	row.snapshotLocations, row.parts = row.pendingLocations, row.pendingParts
	row.pendingLocations, row.pendingParts = nil, nil
	reachesSnapshot := len(row.entryLocations) > 0 && row.entryLocations[len(row.entryLocations)-1].index >= b.Index
	s.dropEntries(row, func(p location) bool { return p.index <= b.Index || !reachesSnapshot })
	if !loading {
		return
	}
	if len(row.parts) > 0 {
		b.Data = nil
	}
	row.snapshot = ledger.NewSnapshot(b.Index, b.Term, record.Members(b.Members), b.Data)
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
