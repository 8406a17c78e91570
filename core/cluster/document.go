package cluster

// DocumentRequest asks a control instance for a part of an encoded configuration document.
type DocumentRequest struct {
	number uint64
	offset int
}

// NewDocumentRequest returns a request for the bytes from offset on of the document with a
// number. Number 0 asks for the start of the newest document.
func NewDocumentRequest(number uint64, offset int) DocumentRequest {
	return DocumentRequest{number: number, offset: offset}
}

// Number returns the number of the document, 0 for the newest one.
func (r DocumentRequest) Number() uint64 { return r.number }

// Offset returns the position of the first byte of the part.
func (r DocumentRequest) Offset() int { return r.offset }

// DocumentPart is a part of an encoded configuration document.
type DocumentPart struct {
	number   uint64
	checksum uint64
	size     int
	offset   int
	data     []byte
}

// NewDocumentPart returns the bytes from offset on of the document with a number. The
// checksum and the size are those of the whole encoded document.
func NewDocumentPart(number, checksum uint64, size, offset int, data []byte) DocumentPart {
	return DocumentPart{number: number, checksum: checksum, size: size, offset: offset, data: data}
}

// Number returns the number of the document.
func (p DocumentPart) Number() uint64 { return p.number }

// Checksum returns the checksum of the whole encoded document.
func (p DocumentPart) Checksum() uint64 { return p.checksum }

// Size returns the size of the whole encoded document in bytes.
func (p DocumentPart) Size() int { return p.size }

// Offset returns the position of the first byte of the part.
func (p DocumentPart) Offset() int { return p.offset }

// Data returns the bytes of the part.
func (p DocumentPart) Data() []byte { return p.data }
