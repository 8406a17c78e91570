package ledger

// compactionRow is a snapshot of this replica that is being written.
type compactionRow struct {
	partsRow
	sequence uint64 // batch of records with the last written part
	bytes    int
}

// CompactInParts starts to replace the applied entries by a snapshot of the state that the
// function of WithExport returns. The parts are written one after another, and the entries
// stay until the last one is. It has no effect while a snapshot is being written or received.
func (w *World) CompactInParts(ledger ID) {
	row := w.replicas.Get(ledger)
	if row == nil || row.compaction != nil || row.incoming.next > 0 || row.applied <= row.log.snapshot.index {
		return
	}
	row.compaction = &compactionRow{partsRow: *w.newPartsRow(row)}
}

// compact writes the next part of a snapshot once the one before is durable. A snapshot
// that cannot be encoded is given up.
func (w *World) compact(row *replicaRow) {
	c := row.compaction
	if c == nil || w.durableSequence < c.sequence {
		return
	}
	part, err := c.encodeNext()
	if err != nil || c.position.index <= row.log.snapshot.index {
		row.compaction = nil
		return
	}
	c.next++
	c.bytes += len(part.data)
	if part.IsLast() {
		row.compaction = nil
		row.log.compact(c.position, c.bytes)
	}
	w.queueRecord(row, NewSnapshotRecord(row.id, row.self, part))
	c.sequence = w.lastSequence + 1
}
