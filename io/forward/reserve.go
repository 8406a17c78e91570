package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"papayaquay/core/member"
)

// Bounds of a reservation.
const (
	reserveTimeout = 100 * time.Millisecond // for the answer
	reserveFor     = 250 * time.Millisecond // for the request to arrive
	reserveBytes   = 4 << 10                // of the answer
)

// Call is a call to a backend server besides requests.
type Call struct {
	method string
	path   string
	body   []byte
}

// NewCall returns a call with a JSON body.
func NewCall(method, path string, body []byte) Call {
	return Call{method: method, path: path, body: body}
}

// Reservation is the answer to a call for a slot.
type Reservation struct {
	slot     string
	rejected bool
}

// NewReservation returns an answer: the reserved slot, or that the server has
// none. Neither means that it knows no reservations.
func NewReservation(slot string, refused bool) Reservation {
	return Reservation{slot: slot, rejected: refused}
}

// Slot returns what a request names to use the slot, empty for none.
func (r Reservation) Slot() string { return r.slot }

// Rejected reports that the server has no free slot.
func (r Reservation) Rejected() bool { return r.rejected }

// Reserve reserves a slot with room for some tokens, no longer than the server
// allows. ok is false when no answer came.
func (c *Client) Reserve(ctx context.Context, b member.Backend, tokens int, longest time.Duration) (r Reservation, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	call := c.dialect.reserve(tokens, min(longest, reserveFor))
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+b.Address()+call.path, bytes.NewReader(call.body))
	if err != nil {
		return Reservation{}, false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Reservation{}, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, reserveBytes))
	if err != nil {
		return Reservation{}, false
	}
	return c.dialect.reserved(response.StatusCode, body), true
}
