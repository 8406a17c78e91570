package instance

import (
	"io"
	"net/http"
	"time"
)

// deadlineBody is a request body with a read deadline on its connection. The
// deadline is cleared at the end of the body, because responses may stream for
// longer.
type deadlineBody struct {
	io.ReadCloser
	clearDeadline func()
}

// Read reads from the body and clears the deadline at its end.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.clearDeadline()
	}
	return n, err
}

// withBodyTimeout limits the time that a client may take to send a request body.
func withBodyTimeout(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if controller.SetReadDeadline(time.Now().Add(bodyTimeout)) == nil {
			r.Body = &deadlineBody{ReadCloser: r.Body, clearDeadline: func() { _ = controller.SetReadDeadline(time.Time{}) }}
		}
		next.ServeHTTP(w, r)
	})
}
