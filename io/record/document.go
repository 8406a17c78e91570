package record

import (
	"bytes"
	"compress/flate"
	"io"

	"papayaquay/core/cluster"
	"papayaquay/core/registry"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxDocumentBytes bounds a decompressed document.
const maxDocumentBytes = 64 << 20

// encodeDocument encodes and compresses a document for its transfer to other instances.
func encodeDocument(d registry.Document) ([]byte, error) {
	data, err := cbor.Marshal(toDocument(d))
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return compressed.Bytes(), nil
}

// decodeDocument decodes a document that encodeDocument encoded.
func decodeDocument(compressed []byte) (registry.Document, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentBytes))
	if err != nil {
		return registry.Document{}, errors.Wrap(err, "decompress document")
	}
	var wire document
	err = Decode(data, &wire)
	return wire.document(), err
}

// documentRequest is the wire format of cluster.DocumentRequest.
type documentRequest struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Offset int
}

// encodeDocumentRequest encodes a request for a part of a document.
func encodeDocumentRequest(r cluster.DocumentRequest) ([]byte, error) {
	data, err := cbor.Marshal(documentRequest{Number: r.Number(), Offset: r.Offset()})
	return data, errors.Wrap(err, "encode document request")
}

// decodeDocumentRequest decodes a request for a part of a document.
func decodeDocumentRequest(data []byte) (cluster.DocumentRequest, error) {
	var wire documentRequest
	if err := Decode(data, &wire); err != nil {
		return cluster.DocumentRequest{}, err
	}
	if wire.Offset < 0 {
		return cluster.DocumentRequest{}, errors.Newf("offset %d of a document", wire.Offset)
	}
	return cluster.NewDocumentRequest(wire.Number, wire.Offset), nil
}

// documentPart is the wire format of cluster.DocumentPart.
type documentPart struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Checksum uint64
	Size     int
	Offset   int
	Data     []byte
}

// encodeDocumentPart encodes a part of a document.
func encodeDocumentPart(p cluster.DocumentPart) ([]byte, error) {
	data, err := cbor.Marshal(documentPart{Number: p.Number(), Checksum: p.Checksum(), Size: p.Size(), Offset: p.Offset(), Data: p.Data()})
	return data, errors.Wrap(err, "encode document part")
}

// decodeDocumentPart decodes a part of a document.
func decodeDocumentPart(data []byte) (cluster.DocumentPart, error) {
	var wire documentPart
	err := Decode(data, &wire)
	return cluster.NewDocumentPart(wire.Number, wire.Checksum, wire.Size, wire.Offset, wire.Data), err
}
