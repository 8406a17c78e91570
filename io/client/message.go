package client

import (
	"context"
	"io"
	"net/http"
)

// bodyKey is the context key of a request's messageBody.
type bodyKey struct{}

// messageBody is a body that a library reads and decodes. It reserves the memory for that as it arrives.
type messageBody struct {
	io.ReadCloser
	ctx        context.Context
	compressed bool
	memoryOf   func(size int64, compressed bool) int64
	toError    func(error) error
	size       int64
	reserved   int64
}

// Messages reserves the memory of the bodies that a handler's library reads. memoryOf returns the memory that
// a body of a size takes until it is decoded; toError returns the error that the library gets for one of the
// budget.
func Messages(next http.Handler, memoryOf func(size int64, compressed bool) int64, toError func(error) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &messageBody{ReadCloser: r.Body, ctx: r.Context(), compressed: isCompressed(r.Header), memoryOf: memoryOf, toError: toError}
		r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, body))
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// isCompressed reports whether the header says that a body or its messages are compressed.
func isCompressed(h http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Grpc-Encoding", "Connect-Content-Encoding"} {
		if encoding := h.Get(name); encoding != "" && encoding != "identity" {
			return true
		}
	}
	return false
}

// Read reads from the body.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	hold := holdOf(b.ctx)
	if n == 0 || hold == nil {
		return n, err
	}
	hold.Received(n)
	b.size += int64(n)
	want := b.memoryOf(b.size, b.compressed)
	if roomErr := hold.Grow(want - b.reserved); roomErr != nil {
		return 0, b.toError(roomErr)
	}
	b.reserved = want
	return n, err
}

// Keep records that the message of a request was decoded and takes the given memory until the request
// ends. The request does not have to give way from now on.
func Keep(ctx context.Context, bytes int64) error {
	if b, ok := ctx.Value(bodyKey{}).(*messageBody); ok && b.reserved > bytes {
		Release(ctx, b.reserved-bytes)
		b.reserved = bytes
	}
	return Arrived(ctx)
}
