package instance

import (
	"io"
	"net/http"
	"time"
)

// timedBody is a request body that must be read before a deadline. The
// deadline is lifted at the end of the body, since answers may stream for
// longer.
type timedBody struct {
	io.ReadCloser
	lift func()
}

// Read reads from the body.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.lift()
	}
	return n, err
}

// limitBodies bounds the time that a client may take to send its request.
func limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		if c.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
			r.Body = &timedBody{ReadCloser: r.Body, lift: func() { _ = c.SetReadDeadline(time.Time{}) }}
		}
		next.ServeHTTP(w, r)
	})
}
