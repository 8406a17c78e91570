// Package forward sends requests unchanged to backend servers over HTTP/1.1. It
// copies the responses to callers or collects their text for batch items. It
// matches a response to its request by the request's id, never by the connection.
package forward

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/event"
	"papayaquay/core/member"
	"papayaquay/io/socket"

	"github.com/cockroachdb/errors"
)

// Limits of connections to backend servers.
const (
	dialTimeout            = 250 * time.Millisecond
	tcpUserTimeout         = 1500 * time.Millisecond // for a server to acknowledge sent data
	idleTimeout            = 9 * time.Second         // shorter than the usual timeout of servers, which may close a connection while a request is sent
	maxIdlePerHost         = 64
	maxResponseHeaderBytes = 64 << 10
)

// ResponseHeader is the decoded header of a response.
type ResponseHeader struct {
	matchesRequest bool // the response belongs to the request, by its id and the server's stamp
	notRun         bool
	load           entry.LoadReport
}

// NewResponseHeader returns a decoded header: whether it belongs to the request by its id,
// whether the server did not run the request, and the server's load. A response without an
// id that says that a request was not run does not match, but belongs to the request if
// the connection had no other.
func NewResponseHeader(matchesRequest, notRun bool, load entry.LoadReport) ResponseHeader {
	return ResponseHeader{matchesRequest: matchesRequest, notRun: notRun, load: load}
}

// Metadata is the information that the system adds to the headers of a request.
type Metadata struct {
	backend   string
	timeLeft  time.Duration
	lastEvent uint64
	slot      string
}

// Backend returns the id of the only server that may run the request.
func (m Metadata) Backend() string { return m.backend }

// TimeLeft returns the time until the caller's deadline, 0 for none.
func (m Metadata) TimeLeft() time.Duration { return m.timeLeft }

// LastEvent returns the id of the event after which the response is resumed, 0
// for a response from the start.
func (m Metadata) LastEvent() uint64 { return m.lastEvent }

// Slot returns the reserved slot for the request, empty for none.
func (m Metadata) Slot() string { return m.slot }

// Codec encodes metadata into request headers, decodes response headers, and
// encodes and decodes calls that reserve a slot.
type Codec struct {
	setMetadata     func(h http.Header, m Metadata)
	readHeader      func(id string, status int, h http.Header) ResponseHeader
	newReserveCall  func(tokens int, maxDuration time.Duration) Call
	readReservation func(status int, h http.Header, body []byte) Reservation
}

// NewCodec returns a codec. setMetadata adds metadata to request headers;
// readHeader decodes the header of the response to the request with the id.
func NewCodec(setMetadata func(h http.Header, m Metadata), readHeader func(id string, status int, h http.Header) ResponseHeader) Codec {
	return Codec{setMetadata: setMetadata, readHeader: readHeader}
}

// WithReservations returns the codec with the functions that encode the call for
// a slot and decode its response.
func (c Codec) WithReservations(newReserveCall func(tokens int, maxDuration time.Duration) Call, readReservation func(status int, h http.Header, body []byte) Reservation) Codec {
	c.newReserveCall, c.readReservation = newReserveCall, readReservation
	return c
}

// Request is a request in the form that is sent to a backend server.
type Request struct {
	id       string
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	deadline time.Time
}

// NewRequest returns a request. target is the path with the query, header has
// the headers that are passed on, and deadline is when the caller stops waiting,
// zero for never.
func NewRequest(id, method, target, host string, header http.Header, body []byte, deadline time.Time) Request {
	return Request{id: id, method: method, target: target, host: host, header: header, body: body, deadline: deadline}
}

// errEndless is the error of an answer that exceeds its limits.
var errEndless = errors.New("the answer exceeds its limits")

// Client sends requests to backend servers.
type Client struct {
	codec     Codec
	transport *http.Transport
	now       func() time.Time
	logger    *slog.Logger
}

// Option configures a client in New.
type Option func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// WithSourceIP sets the local IP address of connections.
func WithSourceIP(sourceIP string) Option {
	return WithDial(socket.Dialer(dialTimeout, tcpUserTimeout, sourceIP).DialContext)
}

// WithLogger sets the logger.
func WithLogger(logger *slog.Logger) Option { return func(c *Client) { c.logger = logger } }

// New returns a client that uses the given codec.
func New(codec Codec, options ...Option) *Client {
	c := &Client{codec: codec, now: time.Now, logger: slog.New(slog.DiscardHandler), transport: &http.Transport{
		DialContext:            socket.Dialer(dialTimeout, tcpUserTimeout, "").DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	for _, option := range options {
		option(c)
	}
	dial := c.transport.DialContext
	c.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return socket.NewClientConn(conn), nil
	}
	return c
}

// CanConnect reports whether a connection to the address can be opened.
func (c *Client) CanConnect(ctx context.Context, address string) bool {
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// Refuses reports whether a server refuses connections: its process is gone, while its
// machine answers.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

// backendResponse is the response of a backend server. Its body is still unread.
type backendResponse struct {
	backend  string
	response *http.Response
	header   ResponseHeader
	conn     *socket.ClientConn
}

// closeConnection closes the connection. A response to another request came on it, so the
// next one would not be that to the next request either. The next request may have got the connection
// already; it is then sent on another one.
func (r *backendResponse) closeConnection() { r.conn.Close() }

// send sends a request to a backend server, with a reserved slot if there is
// one, and reads the header of its response. If resp is nil, sent reports whether
// the server may have received the request.
func (c *Client) send(ctx context.Context, r Request, b member.Backend, lastEvent uint64, slot string) (resp *backendResponse, sent bool) {
	target, err := url.ParseRequestURI(r.target)
	if err != nil {
		return nil, false
	}
	metadata := Metadata{backend: b.ID(), lastEvent: lastEvent, slot: slot}
	if !r.deadline.IsZero() {
		metadata.timeLeft = r.deadline.Sub(c.now())
	}
	response, used, err := c.roundTrip(c.newRequest(ctx, r, target, b, metadata), r.id, b.ID())
	for n := 0; err != nil && used.isStale() && ctx.Err() == nil && n < maxStaleConns; n++ {
		response, used, err = c.roundTrip(c.newRequest(ctx, r, target, b, metadata), r.id, b.ID())
	}
	if err != nil {
		return nil, used.mayBeSent()
	}
	header := c.codec.readHeader(r.id, response.StatusCode, response.Header)
	header.load = header.load.WithIdleTimeout(keepAliveTimeout(response.Header))
	// On a connection that had other requests, a refusal without an id may be an earlier one
	// that the server wrote once more.
	header.notRun = header.notRun && (header.matchesRequest || !used.reused)
	return &backendResponse{backend: b.ID(), response: response, header: header, conn: used.conn}, true
}

// maxStaleConns is the number of connections that may turn out to be closed, before any of a request
// was sent, until the request counts as not sent.
const maxStaleConns = 4

// newRequest returns the request in the form that is sent to a backend server.
func (c *Client) newRequest(ctx context.Context, r Request, target *url.URL, b member.Backend, metadata Metadata) *http.Request {
	out := &http.Request{
		Method: r.method, Host: r.host, Header: r.header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           &url.URL{Scheme: "http", Host: b.Address(), Opaque: target.Opaque, Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery},
		ContentLength: int64(len(r.body)),
	}
	// A body without GetBody prevents the transport from sending the request a
	// second time on its own.
	out.Body = io.NopCloser(bytes.NewReader(r.body))
	c.codec.setMetadata(out.Header, metadata)
	return out.WithContext(ctx)
}

// logExceeded logs that an answer was given up because it exceeds its limits.
func (c *Client) logExceeded(request string, resp *backendResponse, meter *answerMeter) {
	event.AnswerTooLong.Log(c.logger, "request", request, "backend", resp.backend, "status", resp.response.StatusCode,
		"bytes", meter.totalBytes, "event_bytes", meter.eventBytes)
}

// keepAliveTimeout returns how long a server keeps an idle connection open, 0 if
// the header does not say it. Source: the timeout parameter of Keep-Alive, RFC
// 2068, section 19.7.1.1.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
