package client

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"papayaquay/core/budget"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// bodyResult is what ReadBody returned.
type bodyResult struct {
	body []byte
	err  error
}

// serveBodies starts a server that reads bodies of at most limit bytes.
func serveBodies(t *testing.T, g *Gate, limit int64, timeout time.Duration) (address string, results chan bodyResult) {
	results = make(chan bodyResult, 100)
	return serve(t, g, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, limit, time.Now().Add(timeout))
		results <- bodyResult{body, err}
	}), results
}

// chunked returns a request with a body in chunks of a size.
func chunked(body string, size int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		body = body[len(chunk):]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return b.String() + "0\r\n\r\n"
}

// withLength returns a request with a body of a length.
func withLength(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// TestReadBody checks what is read, and which error tells what.
func TestReadBody(t *testing.T) {
	const limit = 300 << 10
	text := strings.Repeat("0123456789", limit/10)
	for _, test := range []struct {
		name    string
		request string
		close   bool // the client ends its side
		timeout time.Duration
		want    string
		err     error
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", false, testTimeout, "", nil},
		{"short", withLength(5, "short"), false, testTimeout, "short", nil},
		{"of the largest length", withLength(limit, text), false, testTimeout, text, nil},
		{"empty in chunks", chunked("", 1), false, testTimeout, "", nil},
		{"in tiny chunks", chunked(text[:10_000], 1), false, testTimeout, text[:10_000], nil},
		{"in chunks as large as a block", chunked(text[:3*blockBytes], blockBytes), false, testTimeout, text[:3*blockBytes], nil},
		{"of the largest length in chunks", chunked(text, 1000), false, testTimeout, text, nil},
		{"longer than the limit, announced", withLength(limit+1, ""), false, testTimeout, "", ErrBodyTooLarge},
		{"longer than the limit in chunks", chunked(text+"x", 1000), false, testTimeout, "", ErrBodyTooLarge},
		{"that stops", withLength(5, "shor"), false, 50 * time.Millisecond, "", ErrBodyTooSlow},
		{"that stops in chunks", strings.TrimSuffix(chunked(text, 1000), "0\r\n\r\n"), false, 500 * time.Millisecond, "", ErrBodyTooSlow},
		{"that ends early", withLength(5, "shor"), true, testTimeout, "", io.ErrUnexpectedEOF},
		{"that ends early in chunks", strings.TrimSuffix(chunked(text[:9000], 1000), "0\r\n\r\n"), true, testTimeout, "", io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGate(t, 4)
			address, results := serveBodies(t, g, limit, test.timeout)
			conn := dial(t, address)
			_, err := io.WriteString(conn, test.request)
			qt.Assert(t, err, qt.IsNil)
			if test.close {
				conn.(interface{ CloseWrite() error }).CloseWrite()
			}
			r := <-results
			qt.Check(t, errors.Is(r.err, test.err), qt.IsTrue, qt.Commentf("%v", r.err))
			qt.Check(t, bytes.Equal(r.body, []byte(test.want)), qt.IsTrue)
			conn.Close()
			eventually(t, func() bool { return g.budget.Usage().Bytes() == 0 })
		})
	}
}

// TestBodiesTogether checks that bodies that stop give way to others, and that small ones are read beside
// large ones.
func TestBodiesTogether(t *testing.T) {
	const large = 300 << 10 // two of them are all that large holders may use of 1 MiB
	g := newTestGate(t, 40)
	address, results := serveBodies(t, g, large, testTimeout)
	for range 6 {
		_, err := io.WriteString(dial(t, address), withLength(large, "x"))
		qt.Assert(t, err, qt.IsNil)
	}
	_, err := io.WriteString(dial(t, address), withLength(5, "small"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, (<-results).err, qt.IsNil) // beside the others: two wait for bytes, four for room
	for range 4 {
		err := (<-results).err
		qt.Check(t, errors.Is(err, budget.ErrGaveWay) || errors.Is(err, budget.ErrNoRoom), qt.IsTrue, qt.Commentf("%v", err))
	}
	eventually(t, func() bool {
		conn := dial(t, address)
		_, _ = io.WriteString(conn, withLength(large, strings.Repeat("x", large)))
		for {
			if r := <-results; r.err == nil {
				return len(r.body) == large
			}
		}
	})
}
