package disk

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"papayaquay/core/event"
	"papayaquay/core/ledger"
	"papayaquay/core/table"
	"papayaquay/core/tick"

	"github.com/cockroachdb/errors"
)

// Limits and timing.
const (
	DefaultMaxDeadBytes = 64 << 20 // dead bytes that trigger a rewrite of the segments

	writeRetryDelay = 500 * time.Millisecond
	nonceBytes      = 6
	folderMode      = 0o700
	fileMode        = 0o600
	segmentGlob     = "wal-*.log"
	corruptSuffix   = ".corrupt"
)

// ErrCorrupt reports a corrupt record before the end of the log.
var ErrCorrupt = errors.New("corrupt record before intact records")

// batch is the set of records that one control tick stores.
type batch struct {
	sequence uint64
	records  []ledger.Record
}

// location is the position of a live record in a segment.
type location struct {
	index  uint64 // in the log of the ledger
	offset int64  // of the frame, in bytes
	size   int    // of the frame, in bytes
	file   *os.File
}

// ledgerRow is the content of the log for one ledger.
type ledgerRow struct {
	replica  ledger.ReplicaID
	term     uint64
	vote     ledger.ReplicaID
	snapshot ledger.Snapshot
	entries  []ledger.Entry // loaded by Open, freed by TakeLoaded

	parts [][]byte // of the snapshot, if it has several; loaded and freed likewise

	voteLocation      location
	snapshotLocations []location // one for each part of the snapshot
	entryLocations    []location

	pendingLocations []location // parts of a snapshot that is not complete yet
	pendingParts     [][]byte   // their content, while Open loads
}

// Store is the write-ahead log of an instance. One goroutine runs it.
type Store struct {
	folder  string
	nonce   string
	logger  *slog.Logger
	inbox   *tick.Inbox[batch]
	ledgers *table.Table[ledger.ID, ledgerRow]

	segment       *os.File
	olderSegments []*os.File
	segmentNumber int   // of the newest segment
	offset        int64 // end of the durable records in the newest segment
	totalBytes    int64 // bytes in all segments
	liveBytes     int64 // bytes of records that no later record replaces
	pending       []batch
	retryAt       time.Time

	maxDeadBytes int64
	onDurable    func(sequence uint64)
	onDiskState  func(error)
	write        func(*os.File, []byte, int64) (int, error)
	sync         func(*os.File) error
}

// Option configures a store in Open.
type Option func(*Store)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(s *Store) { s.logger = logger } }

// WithCallbacks sets two callbacks. onDurable receives the sequence of the last
// durable batch. onDiskState receives the error of a failed write, and nil when a
// later write succeeds.
func WithCallbacks(onDurable func(sequence uint64), onDiskState func(error)) Option {
	return func(s *Store) { s.onDurable, s.onDiskState = onDurable, onDiskState }
}

// WithFileOperations sets the functions that write to a file at an offset and
// that sync a file.
func WithFileOperations(write func(*os.File, []byte, int64) (int, error), sync func(*os.File) error) Option {
	return func(s *Store) { s.write, s.sync = write, sync }
}

// WithMaxDeadBytes sets how many bytes of dead records the log may hold before
// the segments are rewritten.
func WithMaxDeadBytes(limit int64) Option { return func(s *Store) { s.maxDeadBytes = limit } }

// Open reads the log in folder and creates the folder if it is missing. It
// truncates a torn record at the end of the log. It returns ErrCorrupt and leaves
// the files unchanged if a record before the end is corrupt; see RenameCorruptLog.
func Open(folder string, options ...Option) (*Store, error) {
	s := &Store{
		folder: folder, logger: slog.New(slog.DiscardHandler),
		inbox:        tick.NewInbox[batch](),
		ledgers:      table.New[ledger.ID, ledgerRow](),
		maxDeadBytes: DefaultMaxDeadBytes,
		onDurable:    func(uint64) {},
		onDiskState:  func(error) {},
		write:        func(f *os.File, data []byte, at int64) (int, error) { return f.WriteAt(data, at) },
		sync:         func(f *os.File) error { return f.Sync() },
	}
	for _, option := range options {
		option(s)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	if err := s.load(); err != nil {
		s.Close()
		return nil, err
	}
	if s.segment == nil {
		if err := s.initialize(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// initialize creates an empty log with a random nonce.
func (s *Store) initialize() error {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return errors.Wrap(err, "generate replica id")
	}
	s.nonce = hex.EncodeToString(nonce)
	event.ReplicaCreated.Log(s.logger, "folder", s.folder, "replica", s.nonce)
	return s.addSegment()
}

// RenameCorruptLog renames all segments of a corrupt log, so that the instance
// can join its ledgers as an uninitialized replica.
func RenameCorruptLog(folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, segmentGlob))
	if err != nil {
		return errors.Wrap(err, "list segments")
	}
	for _, path := range paths {
		if err := os.Rename(path, path+corruptSuffix); err != nil {
			return errors.Wrap(err, "rename corrupt segment")
		}
	}
	return syncFolder(folder)
}

// syncFolder makes the creation, renaming and removal of files durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer f.Close()
	return errors.Wrap(f.Sync(), "sync data folder")
}

// Nonce returns the random suffix of the instance's replica ids. A new disk has a
// new nonce.
func (s *Store) Nonce() string { return s.nonce }

// PersistedState is the state of one ledger that Open loaded.
type PersistedState struct {
	ledger   ledger.ID
	replica  ledger.ReplicaID
	term     uint64
	vote     ledger.ReplicaID
	snapshot ledger.Snapshot
	parts    [][]byte
	entries  []ledger.Entry
}

// Ledger returns the id of the ledger.
func (s PersistedState) Ledger() ledger.ID { return s.ledger }

// Replica returns the replica that wrote the records.
func (s PersistedState) Replica() ledger.ReplicaID { return s.replica }

// Term returns the stored term.
func (s PersistedState) Term() uint64 { return s.term }

// Vote returns the replica that the stored vote is for, empty for none.
func (s PersistedState) Vote() ledger.ReplicaID { return s.vote }

// Snapshot returns the newest snapshot, without data if it has several parts.
func (s PersistedState) Snapshot() ledger.Snapshot { return s.snapshot }

// SnapshotParts returns the parts of the newest snapshot if it has several.
func (s PersistedState) SnapshotParts() [][]byte { return s.parts }

// Entries returns the entries after the snapshot.
func (s PersistedState) Entries() []ledger.Entry { return s.entries }

// TakeLoaded returns the loaded states and frees their memory in the store.
func (s *Store) TakeLoaded() []PersistedState {
	var stored []PersistedState
	s.ledgers.Each(func(id ledger.ID, row *ledgerRow) {
		stored = append(stored, PersistedState{ledger: id, replica: row.replica, term: row.term, vote: row.vote,
			snapshot: row.snapshot, parts: row.parts, entries: row.entries})
		row.entries, row.parts, row.pendingParts = nil, nil, nil
		row.snapshot = ledger.NewSnapshot(row.snapshot.Index(), row.snapshot.Term(), nil, nil)
	})
	return stored
}

// Append queues records. The onDurable callback confirms them by their sequence.
// Append never blocks.
func (s *Store) Append(sequence uint64, records []ledger.Record) {
	s.inbox.Post(batch{sequence: sequence, records: records})
}

// Run writes batches until ctx is cancelled.
func (s *Store) Run(ctx context.Context) {
	tick.New(s.inbox, s.step, s.nextRetry).Run(ctx)
}

// Close closes the segment files.
func (s *Store) Close() {
	for _, f := range append(s.olderSegments, s.segment) {
		if f != nil {
			f.Close()
		}
	}
}
