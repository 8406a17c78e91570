package ledger

// entryLog holds the entries after the last snapshot.
type entryLog struct {
	snapshot      Snapshot
	entries       []Entry
	memberChanges []uint64 // indices of the EntryMembers among entries
}

// newEntryLog returns a log that continues after snapshot.
func newEntryLog(snapshot Snapshot, entries []Entry) entryLog {
	l := entryLog{snapshot: snapshot}
	for _, e := range entries {
		l.add(e)
	}
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.snapshot.index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.termAt(l.lastIndex()) }

// termAt returns the term at index, or zero when the log does not hold it.
func (l *entryLog) termAt(index uint64) uint64 {
	if index == l.snapshot.index {
		return l.snapshot.term
	}
	if index < l.snapshot.index || index > l.lastIndex() {
		return 0
	}
	return l.entries[index-l.snapshot.index-1].term
}

// matches reports whether the log agrees with (index, term).
func (l *entryLog) matches(index, term uint64) bool {
	if index < l.snapshot.index {
		return true // covered by the snapshot, hence committed
	}
	return index <= l.lastIndex() && l.termAt(index) == term
}

// entriesAfter returns at most limit entries after index.
func (l *entryLog) entriesAfter(index uint64, limit int) []Entry {
	if index < l.snapshot.index || index >= l.lastIndex() {
		return nil
	}
	entries := l.entries[index-l.snapshot.index:]
	return entries[:min(limit, len(entries)):min(limit, len(entries))]
}

// overwriteFrom stores an entry at its index and drops later ones.
func (l *entryLog) overwriteFrom(entry Entry) {
	keep := entry.index - l.snapshot.index - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	for len(l.memberChanges) > 0 && l.memberChanges[len(l.memberChanges)-1] >= entry.index {
		l.memberChanges = l.memberChanges[:len(l.memberChanges)-1]
	}
	l.add(entry)
}

// add appends an entry at the end.
func (l *entryLog) add(entry Entry) {
	l.entries = append(l.entries, entry)
	if entry.kind == EntryMembers {
		l.memberChanges = append(l.memberChanges, entry.index)
	}
}

// compact replaces the entries up to the snapshot's index.
func (l *entryLog) compact(snapshot Snapshot) {
	if snapshot.index <= l.snapshot.index {
		return
	}
	var rest []Entry
	if l.termAt(snapshot.index) == snapshot.term {
		rest = append(rest, l.entries[snapshot.index-l.snapshot.index:]...)
	}
	*l = newEntryLog(snapshot, rest)
}

// members returns the newest member list and the index that set it.
func (l *entryLog) members() ([]Member, uint64) { return l.membersAt(l.lastIndex()) }

// membersAt returns the member list in force at index and the index that set it.
func (l *entryLog) membersAt(index uint64) ([]Member, uint64) {
	for i := len(l.memberChanges) - 1; i >= 0; i-- {
		if l.memberChanges[i] <= index {
			return l.entries[l.memberChanges[i]-l.snapshot.index-1].members, l.memberChanges[i]
		}
	}
	return l.snapshot.members, l.snapshot.index
}
