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

// step makes all waiting batches durable with one sync. After a failure the
// same batches are tried again in a new segment, since what the failed one
// holds behind the last sync is uncertain.
func (s *Store) step(now time.Time, batches []batch) {
	s.pending = append(s.pending, batches...)
	if len(s.pending) == 0 || now.Before(s.retryAt) {
		return
	}
	if err := s.flush(); err != nil {
		event.DiskWriteFailed.Log(s.logger, "error", err)
		s.retryAt = now.Add(retryWrite)
		s.failed(err)
		return
	}
	if !s.retryAt.IsZero() {
		s.retryAt = time.Time{}
		s.failed(nil)
	}
	s.synced(s.pending[len(s.pending)-1].sequence)
	s.pending = nil
	if s.total-s.live > s.maxDeadBytes {
		if err := s.rewrite(); err != nil {
			event.DiskWriteFailed.Log(s.logger, "error", err)
		}
	}
}

// next returns when a failed write is tried again.
func (s *Store) next() (time.Time, bool) {
	return s.retryAt, len(s.pending) > 0
}

// flush writes and syncs the pending batches.
func (s *Store) flush() error {
	if !s.retryAt.IsZero() {
		if err := s.abandonTail(); err != nil {
			return err
		}
	}
	var buffer []byte
	var bodies []body
	var places []place
	for _, b := range s.pending {
		for _, r := range b.records {
			wire := toBody(r)
			start := len(buffer)
			var err error
			if buffer, err = appendFrame(buffer, wire); err != nil {
				return err
			}
			bodies = append(bodies, wire)
			places = append(places, place{index: wire.Index, offset: s.offset + int64(start), size: len(buffer) - start, file: s.file})
		}
	}
	if _, err := s.write(s.file, buffer, s.offset); err != nil {
		return errors.Wrap(err, "write records")
	}
	if err := s.sync(s.file); err != nil {
		return errors.Wrap(err, "sync records")
	}
	s.offset += int64(len(buffer))
	s.total += int64(len(buffer))
	for i := range bodies {
		s.take(bodies[i], places[i], false)
	}
	return nil
}

// abandonTail cuts what a failed write left and goes on in a new segment.
func (s *Store) abandonTail() error {
	if err := s.file.Truncate(s.offset); err != nil {
		return errors.Wrap(err, "cut failed write")
	}
	if err := s.sync(s.file); err != nil {
		return errors.Wrap(err, "sync cut")
	}
	s.older = append(s.older, s.file)
	return s.openSegment()
}

// segmentPath returns the path of a segment.
func (s *Store) segmentPath(number int) string {
	return filepath.Join(s.folder, fmt.Sprintf("wal-%012d.log", number))
}

// openSegment starts a new segment with an identity record.
func (s *Store) openSegment() error {
	f, err := s.startSegment(s.segmentPath(s.number + 1))
	if err != nil {
		return err
	}
	s.file = f
	s.number++
	return syncFolder(s.folder)
}

// startSegment creates a segment file with its identity record and syncs it.
func (s *Store) startSegment(path string) (*os.File, error) {
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
	s.total += s.offset
	s.live += s.offset
	return f, nil
}

// move tells where a live record stands after a rewrite.
type move struct {
	from *place
	to   place
}

// rewrite copies the live records into one new segment and removes the others.
// The new segment gets its name only when it is complete.
func (s *Store) rewrite() error {
	temporary, final := filepath.Join(s.folder, "rewrite.tmp"), s.segmentPath(s.number+1)
	offset, total, live := s.offset, s.total, s.live
	f, moves, err := s.copyLive(temporary)
	if err == nil {
		f.Close()
		err = os.Rename(temporary, final)
	}
	if err == nil {
		f, err = os.OpenFile(final, os.O_RDWR, fileMode)
	}
	if err != nil {
		s.offset, s.total, s.live = offset, total, live
		return errors.Wrap(err, "rewrite segments")
	}
	for _, m := range moves {
		m.to.file = f
		*m.from = m.to
	}
	if err := syncFolder(s.folder); err != nil {
		return err
	}
	return s.replaceSegments(f)
}

// copyLive writes the live records of all ledgers to a new file and syncs it.
func (s *Store) copyLive(path string) (*os.File, []move, error) {
	f, err := s.startSegment(path)
	if err != nil {
		return nil, nil, err
	}
	var moves []move
	for _, p := range s.livePlaces() {
		if err := s.copyRecord(f, p); err != nil {
			f.Close()
			return nil, nil, err
		}
		moves = append(moves, move{from: p, to: place{index: p.index, offset: s.offset, size: p.size}})
		s.offset += int64(p.size)
	}
	if err := s.sync(f); err != nil {
		f.Close()
		return nil, nil, errors.Wrap(err, "sync rewritten segment")
	}
	return f, moves, nil
}

// livePlaces returns where the live records stand, in an order that can be
// loaded again.
func (s *Store) livePlaces() []*place {
	var places []*place
	s.ledgers.Each(func(_ ledger.ID, row *ledgerRow) {
		for _, p := range []*place{&row.voteAt, &row.snapshotAt} {
			if p.size > 0 {
				places = append(places, p)
			}
		}
		for i := range row.entriesAt {
			places = append(places, &row.entriesAt[i])
		}
	})
	return places
}

// copyRecord appends one record to a file.
func (s *Store) copyRecord(f *os.File, p *place) error {
	buffer := make([]byte, p.size)
	if _, err := p.file.ReadAt(buffer, p.offset); err != nil {
		return errors.Wrap(err, "read record")
	}
	_, err := s.write(f, buffer, s.offset)
	return errors.Wrap(err, "copy record")
}

// replaceSegments removes the segments that were rewritten into f.
func (s *Store) replaceSegments(f *os.File) error {
	old := append(s.older, s.file)
	s.older, s.file = nil, f
	s.number++
	s.total, s.live = s.offset, s.offset
	for _, o := range old {
		name := o.Name()
		o.Close()
		if err := os.Remove(name); err != nil {
			return errors.Wrap(err, "remove old segment")
		}
	}
	return syncFolder(s.folder)
}
