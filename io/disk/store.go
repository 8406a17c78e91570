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
	DefaultMaxDeadBytes = 64 << 20 // bytes of dead records before segments are rewritten

	retryWrite   = 500 * time.Millisecond
	nonceBytes   = 6
	folderMode   = 0o700
	fileMode     = 0o600
	segmentGlob  = "wal-*.log"
	corruptAfter = ".corrupt"
)

// ErrCorrupt reports a bad record in front of good ones.
var ErrCorrupt = errors.New("corrupt record in front of intact ones")

// batch is what one control tick wants to be durable.
type batch struct {
	sequence uint64
	records  []ledger.Record
}

// place is where a live record stands.
type place struct {
	index  uint64
	offset int64
	size   int
	file   *os.File
}

// ledgerRow is what the log holds of one ledger.
type ledgerRow struct {
	replica  ledger.ReplicaID
	term     uint64
	vote     ledger.ReplicaID
	snapshot ledger.Snapshot
	entries  []ledger.Entry // only while loading

	voteAt     place
	snapshotAt place
	entriesAt  []place
}

// Store is the write-ahead log of an instance. One goroutine runs it.
type Store struct {
	folder  string
	nonce   string
	logger  *slog.Logger
	inbox   *tick.Inbox[batch]
	ledgers *table.Table[ledger.ID, ledgerRow]

	file    *os.File
	older   []*os.File
	number  int   // of the newest segment
	offset  int64 // end of the durable records in the newest segment
	total   int64 // bytes in all segments
	live    int64 // bytes of records that still count
	pending []batch
	retryAt time.Time

	maxDeadBytes int64
	synced       func(sequence uint64)
	failed       func(error)
	write        func(*os.File, []byte, int64) (int, error)
	sync         func(*os.File) error
}

// Option changes a store at construction.
type Option func(*Store)

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(s *Store) { s.logger = logger } }

// WithCallbacks sets the functions told of durable batches and of the disk's
// state: a failure, or nil after it.
func WithCallbacks(synced func(sequence uint64), failed func(error)) Option {
	return func(s *Store) { s.synced, s.failed = synced, failed }
}

// WithFileOperations sets the functions that write at an offset and sync a file.
func WithFileOperations(write func(*os.File, []byte, int64) (int, error), sync func(*os.File) error) Option {
	return func(s *Store) { s.write, s.sync = write, sync }
}

// WithMaxDeadBytes sets how many bytes of dead records are kept.
func WithMaxDeadBytes(maxDeadBytes int64) Option {
	return func(s *Store) { s.maxDeadBytes = maxDeadBytes }
}

// Open reads the log in folder, which is created if missing. A torn end is
// cut. ErrCorrupt leaves the files as they are; see RenameCorruptLog.
func Open(folder string, options ...Option) (*Store, error) {
	s := &Store{
		folder: folder, logger: slog.New(slog.DiscardHandler),
		inbox:        tick.NewInbox[batch](),
		ledgers:      table.New[ledger.ID, ledgerRow](),
		maxDeadBytes: DefaultMaxDeadBytes,
		synced:       func(uint64) {},
		failed:       func(error) {},
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
	if s.file == nil {
		if err := s.create(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// create starts the log of a fresh replica.
func (s *Store) create() error {
	random := make([]byte, nonceBytes)
	if _, err := rand.Read(random); err != nil {
		return errors.Wrap(err, "draw replica id")
	}
	s.nonce = hex.EncodeToString(random)
	event.ReplicaCreated.Log(s.logger, "folder", s.folder, "replica", s.nonce)
	return s.openSegment()
}

// RenameCorruptLog renames all segments of a corrupt log, so that the instance can
// join its ledgers as a fresh replica.
func RenameCorruptLog(folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, segmentGlob))
	if err != nil {
		return errors.Wrap(err, "list segments")
	}
	for _, path := range paths {
		if err := os.Rename(path, path+corruptAfter); err != nil {
			return errors.Wrap(err, "set segment aside")
		}
	}
	return syncFolder(folder)
}

// syncFolder makes created, renamed and removed names durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer f.Close()
	return errors.Wrap(f.Sync(), "sync data folder")
}

// Nonce returns the part of the replica ids that is new on a fresh disk.
func (s *Store) Nonce() string { return s.nonce }

// PersistedState is what the disk holds of one ledger.
type PersistedState struct {
	ledger   ledger.ID
	replica  ledger.ReplicaID
	term     uint64
	vote     ledger.ReplicaID
	snapshot ledger.Snapshot
	entries  []ledger.Entry
}

// Ledger returns the ledger's id.
func (s PersistedState) Ledger() ledger.ID { return s.ledger }

// Replica returns the replica that wrote the records.
func (s PersistedState) Replica() ledger.ReplicaID { return s.replica }

// Term returns the stored term.
func (s PersistedState) Term() uint64 { return s.term }

// Vote returns the stored vote.
func (s PersistedState) Vote() ledger.ReplicaID { return s.vote }

// Snapshot returns the newest snapshot.
func (s PersistedState) Snapshot() ledger.Snapshot { return s.snapshot }

// Entries returns the entries after the snapshot.
func (s PersistedState) Entries() []ledger.Entry { return s.entries }

// TakeLoaded returns what was loaded and frees it.
func (s *Store) TakeLoaded() []PersistedState {
	var stored []PersistedState
	s.ledgers.Each(func(id ledger.ID, row *ledgerRow) {
		stored = append(stored, PersistedState{ledger: id, replica: row.replica, term: row.term, vote: row.vote,
			snapshot: row.snapshot, entries: row.entries})
		row.entries, row.snapshot = nil, ledger.NewSnapshot(row.snapshot.Index(), row.snapshot.Term(), nil, nil)
	})
	return stored
}

// Append queues records; Synced confirms them. It never blocks.
func (s *Store) Append(sequence uint64, records []ledger.Record) {
	s.inbox.Post(batch{sequence: sequence, records: records})
}

// Run writes batches until the context ends.
func (s *Store) Run(ctx context.Context) {
	tick.New(s.inbox, s.step, s.next).Run(ctx)
}

// Close closes the files.
func (s *Store) Close() {
	for _, f := range append(s.older, s.file) {
		if f != nil {
			f.Close()
		}
	}
}
