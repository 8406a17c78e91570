package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"papayaquay/core/member"
)

// Limits of a reservation.
const (
	reserveTimeout      = 100 * time.Millisecond // for the response to the call
	maxReservation      = 250 * time.Millisecond // until the request must arrive
	maxReservationBytes = 4 << 10                // of the response body
)

// Call is an HTTP call to a backend server that is not a caller's request.
type Call struct {
	method string
	path   string
	body   []byte
}

// NewCall returns a call with a JSON body.
func NewCall(method, path string, body []byte) Call {
	return Call{method: method, path: path, body: body}
}

// Reservation is the result of a call for a slot.
type Reservation struct {
	slot     string
	rejected bool
	leaving  bool
}

// NewReservation returns a result: the reserved slot, or rejected if the server
// has no free slot. A result with neither means that the server does not support
// reservations.
func NewReservation(slot string, rejected bool) Reservation {
	return Reservation{slot: slot, rejected: rejected}
}

// FromLeaving returns a copy of the result of a server that is leaving: it counts as rejected,
// since the server must get no new requests.
func (r Reservation) FromLeaving() Reservation {
	r.rejected, r.leaving = true, true
	return r
}

// Leaving reports whether the server said that it is leaving.
func (r Reservation) Leaving() bool { return r.leaving }

// Slot returns the name of the reserved slot for the request, empty for none.
func (r Reservation) Slot() string { return r.slot }

// Rejected reports whether the server rejected the call because no slot is free, or is leaving.
func (r Reservation) Rejected() bool { return r.rejected }

// Reserve reserves a slot for a request with the given number of tokens.
// maxDuration is the longest reservation that the server allows. ok is false if
// there was no complete response.
func (c *Client) Reserve(ctx context.Context, b member.Backend, tokens int, maxDuration time.Duration) (r Reservation, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	call := c.codec.newReserveCall(tokens, min(maxDuration, maxReservation))
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+b.Address()+call.path, bytes.NewReader(call.body))
	if err != nil {
		return Reservation{}, false
	}
	request.Header.Set("Content-Type", "application/json")
	response, _, err := c.roundTrip(request, "", b.ID())
	if err != nil {
		return Reservation{}, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReservationBytes))
	if err != nil {
		return Reservation{}, false
	}
	return c.codec.readReservation(response.StatusCode, response.Header, body), true
}
