// Package forward sends requests to backend servers over HTTP/1.1 as they are
// and copies the answers: to callers, or collected for batch items. Answers are
// matched by the request's id, never by their connection.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/member"
	"papayaquay/io/socket"
)

// Limits of connections to backend servers.
const (
	dialTimeout    = 250 * time.Millisecond
	silenceTimeout = 1500 * time.Millisecond // bytes that a server does not confirm
	idleTimeout    = 9 * time.Second         // ends before servers usually end it, perhaps under a request
	maxIdlePerHost = 64
	headBytes      = 64 << 10
)

// ResponseHeader is what the head of an answer says.
type ResponseHeader struct {
	mine   bool // it answers this request and carries the server's proof
	notRun bool
	load   entry.LoadReport
}

// NewResponseHeader returns a decoded head: whether it belongs to the request, whether
// the server did not run it, and the server's load.
func NewResponseHeader(mine, notRun bool, load entry.LoadReport) ResponseHeader {
	return ResponseHeader{mine: mine, notRun: notRun, load: load}
}

// Metadata are what the system adds to a request.
type Metadata struct {
	backend   string
	timeLeft  time.Duration
	lastEvent uint64
	slot      string
}

// Backend returns the id of the server that alone may run the request.
func (m Metadata) Backend() string { return m.backend }

// TimeLeft returns the time until the caller's deadline, 0 for none.
func (m Metadata) TimeLeft() time.Duration { return m.timeLeft }

// LastEvent returns the id of the event to resume after, 0 for none.
func (m Metadata) LastEvent() uint64 { return m.lastEvent }

// Slot returns the reserved slot to use, empty for none.
func (m Metadata) Slot() string { return m.slot }

// Codec translates what stands in headers, and calls to backend servers.
type Codec struct {
	mark     func(h http.Header, m Metadata)
	read     func(id string, status int, h http.Header) ResponseHeader
	reserve  func(tokens int, longest time.Duration) Call
	reserved func(status int, body []byte) Reservation
}

// NewCodec returns the translation of requests and answers.
func NewCodec(mark func(h http.Header, m Metadata), read func(id string, status int, h http.Header) ResponseHeader) Codec {
	return Codec{mark: mark, read: read}
}

// WithReservations returns the dialect with the call that reserves a slot and
// the reading of its answer.
func (d Codec) WithReservations(reserve func(tokens int, longest time.Duration) Call, reserved func(status int, body []byte) Reservation) Codec {
	d.reserve, d.reserved = reserve, reserved
	return d
}

// Request is a request as it is sent to a backend server.
type Request struct {
	id       string
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	deadline time.Time
}

// NewRequest returns a request; target is its path with the query, header what
// is passed on, deadline when the caller stops waiting, zero for never.
func NewRequest(id, method, target, host string, header http.Header, body []byte, deadline time.Time) Request {
	return Request{id: id, method: method, target: target, host: host, header: header, body: body, deadline: deadline}
}

// Client sends requests.
type Client struct {
	dialect   Codec
	transport *http.Transport
	now       func() time.Time
}

// Option changes a client at construction.
type Option func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.transport.DialContext = dial }
}

// WithSourceIP sets the IP number that connections are made from.
func WithSourceIP(source string) Option {
	return WithDial(socket.Dialer(dialTimeout, silenceTimeout, source).DialContext)
}

// New returns a client that speaks a dialect.
func New(dialect Codec, options ...Option) *Client {
	c := &Client{dialect: dialect, now: time.Now, transport: &http.Transport{
		DialContext:            socket.Dialer(dialTimeout, silenceTimeout, "").DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headBytes,
	}}
	for _, option := range options {
		option(c)
	}
	return c
}

// CanConnect reports whether a connection to a server can be opened.
func (c *Client) CanConnect(ctx context.Context, address string) bool {
	conn, err := c.transport.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// answer is the answer of a backend server whose body is still to be read.
type answer struct {
	response *http.Response
	head     ResponseHeader
}

// send sends a request to a backend server, into a reserved slot if there is
// one, and reads the head of its answer.
// Without an answer, sent tells whether the server may have got the request.
func (c *Client) send(ctx context.Context, r Request, b member.Backend, last uint64, slot string) (a *answer, sent bool) {
	target, err := url.ParseRequestURI(r.target)
	if err != nil {
		return nil, false
	}
	out := &http.Request{
		Method: r.method, Host: r.host, Header: r.header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:           &url.URL{Scheme: "http", Host: b.Address(), Opaque: target.Opaque, Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery},
		ContentLength: int64(len(r.body)),
	}
	// A body without GetBody keeps the transport from sending the request a
	// second time on its own.
	out.Body = io.NopCloser(bytes.NewReader(r.body))
	marks := Metadata{backend: b.ID(), lastEvent: last, slot: slot}
	if !r.deadline.IsZero() {
		marks.timeLeft = r.deadline.Sub(c.now())
	}
	c.dialect.mark(out.Header, marks)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	response, err := c.transport.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, sent
	}
	head := c.dialect.read(r.id, response.StatusCode, response.Header)
	head.load = head.load.WithIdleTimeout(keptFor(response.Header))
	return &answer{response: response, head: head}, true
}

// keptFor returns how long a server keeps an idle connection, 0 if it does not
// say. Source: the timeout parameter of Keep-Alive, RFC 2068, section 19.7.1.1.
func keptFor(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
