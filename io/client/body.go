package client

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"papayaquay/core/budget"

	"github.com/cockroachdb/errors"
)

// Errors of bodies, beside those of the budget.
var (
	ErrBodyTooLarge = errors.New("the body exceeds its limit")
	ErrBodyTooSlow  = errors.New("the body did not arrive in time")
)

// Sizes of the blocks in which a body of unknown length is read.
const (
	firstBlockBytes = 4 << 10
	blockBytes      = 64 << 10
)

// ReadBody reads the body of a request, of at most limit bytes, until a time. The body is reserved until
// the request ends. A length that exceeds the limit is rejected before any byte is read. The error is
// one of the above, of the budget, or of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(until) // fails only for writers of tests
	read := readBlocks
	if r.ContentLength > 0 {
		read = readLength
	}
	body, err := read(r, limit)
	if err == nil {
		err = Arrived(r.Context())
	}
	if err != nil {
		return nil, bodyError(r.Context(), err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// bodyError returns the reason for which a body could not be read.
func bodyError(ctx context.Context, err error) error {
	var tooLarge *http.MaxBytesError
	hold := holdOf(ctx)
	switch {
	case errors.As(err, &tooLarge):
		return ErrBodyTooLarge
	case hold != nil && errors.Is(hold.Serving(), budget.ErrGaveWay):
		return budget.ErrGaveWay
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrBodyTooSlow
	}
	return err
}

// progressReader records the bytes that arrive.
type progressReader struct {
	io.Reader
	hold *budget.Hold
}

// Read reads bytes and records them.
func (p progressReader) Read(data []byte) (int, error) {
	n, err := p.Reader.Read(data)
	if p.hold != nil {
		p.hold.Received(n)
	}
	return n, err
}

// readLength reads a body whose length is known.
func readLength(r *http.Request, _ int64) ([]byte, error) {
	if err := Reserve(r.Context(), r.ContentLength); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(progressReader{r.Body, holdOf(r.Context())}, body)
	return body, err
}

// readBlocks reads a body whose length is not known in blocks, so that little is reserved for bytes
// that may not come, and joins them.
func readBlocks(r *http.Request, limit int64) ([]byte, error) {
	reader := progressReader{http.MaxBytesReader(nil, r.Body, limit), holdOf(r.Context())}
	var blocks [][]byte
	size := 0
	for length, ended := firstBlockBytes, false; !ended; length = min(2*length, blockBytes) {
		if err := Reserve(r.Context(), int64(length)); err != nil {
			return nil, err
		}
		block := make([]byte, length)
		n, err := fill(reader, block)
		if err != nil && err != io.EOF {
			return nil, err
		}
		blocks, size, ended = append(blocks, block[:n]), size+n, err == io.EOF
	}
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	if err := Reserve(r.Context(), int64(size)); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for _, block := range blocks {
		body = append(body, block...)
	}
	Release(r.Context(), int64(size))
	return body, nil
}

// fill reads until the block is full or an error occurs, io.EOF at the end of the body.
func fill(reader io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = reader.Read(block[n:])
		n += read
	}
	return n, err
}
