package ledger

// entryLog holds the last snapshot and the entries that follow it.
type entryLog struct {
	snapshot      Snapshot // without data if it was written in parts
	snapshotBytes int
	entries       []Entry
	bytes         int      // of the payloads of entries
	memberChanges []uint64 // indices of the entries of kind EntryMembers
}

// newEntryLog returns a log of a snapshot and the entries that follow it.
func newEntryLog(snapshot Snapshot, entries []Entry) entryLog {
	l := entryLog{snapshot: snapshot, snapshotBytes: len(snapshot.data)}
	for _, e := range entries {
		l.add(e)
	}
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.snapshot.index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.termAt(l.lastIndex()) }

// termAt returns the term of the entry at index, or zero if the log does not
// contain it.
func (l *entryLog) termAt(index uint64) uint64 {
	if index == l.snapshot.index {
		return l.snapshot.term
	}
	if index < l.snapshot.index || index > l.lastIndex() {
		return 0
	}
	return l.entries[index-l.snapshot.index-1].term
}

// matches reports whether the log contains an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	if index < l.snapshot.index {
		return true // covered by the snapshot, hence committed
	}
	return index <= l.lastIndex() && l.termAt(index) == term
}

// entriesAfter returns at most limit entries that follow index.
func (l *entryLog) entriesAfter(index uint64, limit int) []Entry {
	if index < l.snapshot.index || index >= l.lastIndex() {
		return nil
	}
	entries := l.entries[index-l.snapshot.index:]
	return entries[:min(limit, len(entries)):min(limit, len(entries))]
}

// overwriteFrom stores an entry at its index and removes all entries that
// follow it.
func (l *entryLog) overwriteFrom(entry Entry) {
	keep := entry.index - l.snapshot.index - 1
	for _, removed := range l.entries[keep:] {
		l.bytes -= len(removed.payload)
	}
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	for len(l.memberChanges) > 0 && l.memberChanges[len(l.memberChanges)-1] >= entry.index {
		l.memberChanges = l.memberChanges[:len(l.memberChanges)-1]
	}
	l.add(entry)
}

// add appends an entry at the end.
func (l *entryLog) add(entry Entry) {
	l.entries = append(l.entries, entry)
	l.bytes += len(entry.payload)
	if entry.kind == EntryMembers {
		l.memberChanges = append(l.memberChanges, entry.index)
	}
}

// compact replaces the entries up to the snapshot's index by the snapshot of the given
// size. If the log does not contain the snapshot's last entry, all entries are removed.
func (l *entryLog) compact(snapshot Snapshot, bytes int) {
	if snapshot.index <= l.snapshot.index {
		return
	}
	var rest []Entry
	if l.termAt(snapshot.index) == snapshot.term {
		rest = append(rest, l.entries[snapshot.index-l.snapshot.index:]...)
	}
	*l = newEntryLog(snapshot, rest)
	l.snapshotBytes = bytes
}

// members returns the newest member list and the index of the entry that set
// it.
func (l *entryLog) members() ([]Member, uint64) { return l.membersAt(l.lastIndex()) }

// membersAt returns the member list that applies at index and the index of the
// entry that set it.
func (l *entryLog) membersAt(index uint64) ([]Member, uint64) {
	for i := len(l.memberChanges) - 1; i >= 0; i-- {
		if l.memberChanges[i] <= index {
			return l.entries[l.memberChanges[i]-l.snapshot.index-1].members, l.memberChanges[i]
		}
	}
	return l.snapshot.members, l.snapshot.index
}
