package quarantine

// Cursor is the position of a reader in the versions of another instance's crashes.
type Cursor struct {
	epoch   uint64
	version uint64
}

// NewCursor returns a cursor for a version within an epoch.
func NewCursor(epoch, version uint64) Cursor { return Cursor{epoch: epoch, version: version} }

// Epoch returns the epoch in which the versions are counted.
func (c Cursor) Epoch() uint64 { return c.epoch }

// Version returns the version up to which the reader knows the crashes.
func (c Cursor) Version() uint64 { return c.version }

// SyncRequest tells another instance the sender's new evidence and asks for changes after
// a cursor.
type SyncRequest struct {
	cursor  Cursor
	crashes []Crash
}

// NewSyncRequest returns a request.
func NewSyncRequest(cursor Cursor, crashes []Crash) SyncRequest {
	return SyncRequest{cursor: cursor, crashes: crashes}
}

// Cursor returns the sender's position.
func (r SyncRequest) Cursor() Cursor { return r.cursor }

// Crashes returns the sender's new evidence.
func (r SyncRequest) Crashes() []Crash { return r.crashes }

// Update brings a reader to a newer position.
type Update struct {
	cursor  Cursor
	crashes []Crash
}

// NewUpdate returns an update.
func NewUpdate(cursor Cursor, crashes []Crash) Update {
	return Update{cursor: cursor, crashes: crashes}
}

// Cursor returns the position of the reader after the update.
func (u Update) Cursor() Cursor { return u.cursor }

// Crashes returns the changed crashes.
func (u Update) Crashes() []Crash { return u.crashes }
