package ledger

// Parts is the content of a state machine in parts. A part is encoded when it is
// written or sent, so that the encoded state is never in memory as a whole.
type Parts struct {
	count  int
	encode func(part int) ([]byte, error)
}

// NewParts returns a content of count parts; encode returns the encoded part at a
// position.
func NewParts(count int, encode func(part int) ([]byte, error)) Parts {
	return Parts{count: count, encode: encode}
}

// WithExport sets the function that returns the content of a ledger's state machine after
// it applied all steps that Output returned. Later changes of the state machine must not
// change the content.
func WithExport(export func(ID) Parts) Option { return func(w *World) { w.export = export } }

// partsRow is a snapshot that is being written or sent part by part.
type partsRow struct {
	position Snapshot // without data
	parts    Parts
	next     int // position of the part to write or send next
}

// newPartsRow returns the present state of a ledger, to be written or sent.
func (w *World) newPartsRow(row *replicaRow) *partsRow {
	members, _ := row.log.membersAt(row.applied)
	position := NewSnapshot(row.applied, row.log.termAt(row.applied), members, nil)
	return &partsRow{position: position, parts: w.export(row.id)}
}

// encodeNext returns the next part.
func (p *partsRow) encodeNext() (Snapshot, error) {
	data, err := p.parts.encode(p.next)
	return NewSnapshotPart(p.position.index, p.position.term, p.position.members, p.next, p.parts.count, data), err
}
