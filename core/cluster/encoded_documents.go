package cluster

import (
	"time"

	"papayaquay/core/registry"
	"papayaquay/core/table"

	"github.com/cespare/xxhash/v2"
)

// documentRetention is how long an encoded document is kept that is not asked for.
const documentRetention = 5 * time.Second

// encodedDocumentRow is an encoded document that other instances fetch.
type encodedDocumentRow struct {
	number   uint64
	checksum uint64
	data     []byte
	usedAt   time.Time
}

// part returns the part of the document that begins at offset.
func (r *encodedDocumentRow) part(offset int) DocumentPart {
	end := min(offset+documentPartBytes, len(r.data))
	return NewDocumentPart(r.number, r.checksum, len(r.data), offset, r.data[offset:end])
}

// encodedDocuments holds the newest document and those that are being fetched, by number.
// A document is encoded once for all instances.
type encodedDocuments struct {
	rows *table.Table[uint64, encodedDocumentRow]
}

// newEncodedDocuments returns an empty table.
func newEncodedDocuments() *encodedDocuments {
	return &encodedDocuments{rows: table.New[uint64, encodedDocumentRow]()}
}

// get returns the document with a number, or nil.
func (e *encodedDocuments) get(now time.Time, number uint64) *encodedDocumentRow {
	row := e.rows.Get(number)
	if row != nil {
		row.usedAt = now
	}
	return row
}

// add encodes a document and removes those that were not asked for lately.
func (e *encodedDocuments) add(now time.Time, d registry.Document, encode func(registry.Document) ([]byte, error)) (*encodedDocumentRow, error) {
	e.rows.Each(func(number uint64, row *encodedDocumentRow) {
		if now.Sub(row.usedAt) > documentRetention {
			e.rows.Remove(number)
		}
	})
	data, err := encode(d)
	if err != nil {
		return nil, err
	}
	return e.rows.Put(d.Number(), encodedDocumentRow{number: d.Number(), checksum: xxhash.Sum64(data), data: data, usedAt: now}), nil
}
