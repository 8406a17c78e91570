package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"papayaquay/core/event"
	"papayaquay/core/ledger"

	"github.com/cockroachdb/errors"
)

// step makes all pending batches durable with one sync. After a failed write it
// retries the same batches in a new segment, because the content of the old
// segment after the last successful sync is unknown.
func (s *Store) step(now time.Time, batches []batch) {
	s.pending = append(s.pending, batches...)
	if len(s.pending) == 0 || now.Before(s.retryAt) {
		return
	}
	if err := s.flush(); err != nil {
		event.DiskWriteFailed.Log(s.logger, "error", err)
		s.retryAt = now.Add(writeRetryDelay)
		s.onDiskState(err)
		return
	}
	if !s.retryAt.IsZero() {
		s.retryAt = time.Time{}
		s.onDiskState(nil)
	}
	s.onDurable(s.pending[len(s.pending)-1].sequence)
	s.pending = nil
	if s.totalBytes-s.liveBytes > s.maxDeadBytes {
		if err := s.rewrite(); err != nil {
			event.DiskWriteFailed.Log(s.logger, "error", err)
		}
	}
}

// nextRetry returns the time of the next retry and whether batches are pending.
func (s *Store) nextRetry() (time.Time, bool) {
	return s.retryAt, len(s.pending) > 0
}

// flush writes and syncs the pending batches.
func (s *Store) flush() error {
	if !s.retryAt.IsZero() {
		if err := s.rotateAfterFailure(); err != nil {
			return err
		}
	}
	var buffer []byte
	var encodedRecords []body
	var locations []location
	for _, b := range s.pending {
		for _, r := range b.records {
			encoded := toBody(r)
			recordStart := len(buffer)
			var err error
			if buffer, err = appendFrame(buffer, encoded); err != nil {
				return err
			}
			encodedRecords = append(encodedRecords, encoded)
			locations = append(locations, location{index: encoded.Index, offset: s.offset + int64(recordStart), size: len(buffer) - recordStart, file: s.segment})
		}
	}
	if _, err := s.write(s.segment, buffer, s.offset); err != nil {
		return errors.Wrap(err, "write records")
	}
	if err := s.sync(s.segment); err != nil {
		return errors.Wrap(err, "sync records")
	}
	s.offset += int64(len(buffer))
	s.totalBytes += int64(len(buffer))
	for i := range encodedRecords {
		s.applyRecord(encodedRecords[i], locations[i], false)
	}
	return nil
}

// rotateAfterFailure truncates the segment to its durable records and adds a new
// segment.
func (s *Store) rotateAfterFailure() error {
	if err := s.segment.Truncate(s.offset); err != nil {
		return errors.Wrap(err, "truncate failed write")
	}
	if err := s.sync(s.segment); err != nil {
		return errors.Wrap(err, "sync truncated segment")
	}
	s.olderSegments = append(s.olderSegments, s.segment)
	return s.addSegment()
}

// segmentPath returns the path of the segment with a number.
func (s *Store) segmentPath(number int) string {
	return filepath.Join(s.folder, fmt.Sprintf("wal-%012d.log", number))
}

// addSegment creates the next segment, which receives all further records.
func (s *Store) addSegment() error {
	f, err := s.createSegment(s.segmentPath(s.segmentNumber + 1))
	if err != nil {
		return err
	}
	s.segment = f
	s.segmentNumber++
	return syncFolder(s.folder)
}

// createSegment creates a segment file with its identity record and syncs it.
func (s *Store) createSegment(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "create segment")
	}
	frame, err := appendFrame(nil, body{Kind: kindIdentity, Replica: s.nonce})
	if err != nil {
		return nil, err
	}
	if _, err := s.write(f, frame, 0); err != nil {
		f.Close()
		return nil, errors.Wrap(err, "write identity")
	}
	if err := s.sync(f); err != nil {
		f.Close()
		return nil, errors.Wrap(err, "sync identity")
	}
	s.offset = int64(len(frame))
	s.totalBytes += s.offset
	s.liveBytes += s.offset
	return f, nil
}

// relocation is the old and the new location of a live record in a rewrite.
type relocation struct {
	from *location
	to   location
}

// rewrite copies the live records into one new segment and removes the old
// segments. The new segment is written under a temporary name and renamed when
// it is complete.
func (s *Store) rewrite() error {
	temporary, final := filepath.Join(s.folder, "rewrite.tmp"), s.segmentPath(s.segmentNumber+1)
	offset, totalBytes, liveBytes := s.offset, s.totalBytes, s.liveBytes
	f, relocations, err := s.copyLiveRecords(temporary)
	if err == nil {
		f.Close()
		err = os.Rename(temporary, final)
	}
	if err == nil {
		f, err = os.OpenFile(final, os.O_RDWR, fileMode)
	}
	if err != nil {
		s.offset, s.totalBytes, s.liveBytes = offset, totalBytes, liveBytes
		return errors.Wrap(err, "rewrite segments")
	}
	for _, r := range relocations {
		r.to.file = f
		*r.from = r.to
	}
	if err := syncFolder(s.folder); err != nil {
		return err
	}
	return s.replaceSegments(f)
}

// copyLiveRecords writes the live records of all ledgers to a new file and syncs
// it.
func (s *Store) copyLiveRecords(path string) (*os.File, []relocation, error) {
	f, err := s.createSegment(path)
	if err != nil {
		return nil, nil, err
	}
	var relocations []relocation
	for _, p := range s.liveLocations() {
		if err := s.copyRecord(f, p); err != nil {
			f.Close()
			return nil, nil, err
		}
		relocations = append(relocations, relocation{from: p, to: location{index: p.index, offset: s.offset, size: p.size}})
		s.offset += int64(p.size)
	}
	if err := s.sync(f); err != nil {
		f.Close()
		return nil, nil, errors.Wrap(err, "sync rewritten segment")
	}
	return f, relocations, nil
}

// liveLocations returns the locations of the live records in an order that load
// can read.
func (s *Store) liveLocations() []*location {
	var locations []*location
	s.ledgers.Each(func(_ ledger.ID, row *ledgerRow) {
		if row.voteLocation.size > 0 {
			locations = append(locations, &row.voteLocation)
		}
		for _, list := range [][]location{row.snapshotLocations, row.entryLocations, row.pendingLocations} {
			for i := range list {
				locations = append(locations, &list[i])
			}
		}
	})
	return locations
}

// copyRecord appends one record to the file f at the current offset.
func (s *Store) copyRecord(f *os.File, p *location) error {
	buffer := make([]byte, p.size)
	if _, err := p.file.ReadAt(buffer, p.offset); err != nil {
		return errors.Wrap(err, "read record")
	}
	_, err := s.write(f, buffer, s.offset)
	return errors.Wrap(err, "copy record")
}

// replaceSegments makes f the only segment and removes the old ones.
func (s *Store) replaceSegments(f *os.File) error {
	replaced := append(s.olderSegments, s.segment)
	s.olderSegments, s.segment = nil, f
	s.segmentNumber++
	s.totalBytes, s.liveBytes = s.offset, s.offset
	for _, segment := range replaced {
		name := segment.Name()
		segment.Close()
		if err := os.Remove(name); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	return syncFolder(s.folder)
}
