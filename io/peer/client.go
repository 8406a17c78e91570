package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"papayaquay/io/socket"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Sender limits.
const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	dialPause    = 100 * time.Millisecond // between attempts to reach an instance
	queueLength  = 1024                   // packets that wait for one instance
	closeIdle    = 90 * time.Second       // without a packet

	// silenceTimeout ends a connection whose other side confirms nothing.
	silenceTimeout = 1500 * time.Millisecond
)

// Client sends packets to other instances. Packets that cannot be sent are
// dropped; every protocol above it sends again what matters.
type Client struct {
	name string
	keys func() []string
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	links map[string]*link
}

// ClientOption changes a client at construction.
type ClientOption func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithSourceIP sets the IP number that connections are made from.
func WithSourceIP(source string) ClientOption {
	return WithDial(socket.Dialer(dialTimeout, silenceTimeout, source).DialContext)
}

// NewClient returns a client of the named instance. The first of the keys
// signs.
func NewClient(name string, keys func() []string, options ...ClientOption) *Client {
	c := &Client{name: name, keys: keys, dial: socket.Dialer(dialTimeout, silenceTimeout, "").DialContext, links: make(map[string]*link)}
	for _, option := range options {
		option(c)
	}
	return c
}

// link is the queue and connection to one instance.
type link struct {
	client  *Client
	address string
	queue   chan func() ([]byte, error)
}

// Send queues a packet for the instance at a peer address. It never blocks;
// encode runs on another goroutine.
func (c *Client) Send(ctx context.Context, address string, encode func() ([]byte, error)) {
	c.mu.Lock()
	l := c.links[address]
	if l == nil {
		l = &link{client: c, address: address, queue: make(chan func() ([]byte, error), queueLength)}
		c.links[address] = l
		go l.run(ctx)
	}
	select {
	case l.queue <- encode:
	default: // the instance is out of reach, the packet is dropped
	}
	c.mu.Unlock()
}

// run sends queued packets until the link is idle for long.
func (l *link) run(ctx context.Context) {
	var rpc *jsonrpc2.Conn
	var conn net.Conn
	var failedAt time.Time
	defer func() {
		if rpc != nil {
			rpc.Close()
		}
	}()
	for {
		p, ok := l.take(ctx)
		if !ok {
			return
		}
		if rpc == nil {
			if time.Since(failedAt) < dialPause {
				continue
			}
			var err error
			if rpc, conn, err = l.connect(ctx); err != nil {
				failedAt = time.Now()
				l.drop()
				continue
			}
		}
		if l.write(rpc, conn, p) != nil {
			rpc.Close()
			rpc, failedAt = nil, time.Now()
		}
	}
}

// drop empties the queue, so that nothing old is sent after a long outage.
func (l *link) drop() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// take returns the next packet, or false when the link should end.
func (l *link) take(ctx context.Context) (func() ([]byte, error), bool) {
	idle := time.NewTimer(closeIdle)
	defer idle.Stop()
	select {
	case p := <-l.queue:
		return p, true
	case <-ctx.Done():
		return nil, false
	case <-idle.C:
	}
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	select {
	case p := <-l.queue:
		return p, true
	default:
		delete(l.client.links, l.address)
		return nil, false
	}
}

// connect opens a connection and proves the key.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, net.Conn, error) {
	conn, err := l.client.dial(ctx, "tcp", l.address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial")
	}
	if err := conn.SetDeadline(time.Now().Add(greetingTimeout)); err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "set deadline")
	}
	nothing := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil })
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, newFrameCodec()), nothing, jsonrpc2.SetLogger(quiet{}))
	var c challenge
	err = rpc.Call(ctx, methodHello, greeting{From: l.client.name}, &c)
	if err == nil {
		err = rpc.Call(ctx, methodProve, sign(l.client.keys()[0], l.client.name, c), nil)
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		rpc.Close()
		return nil, nil, errors.Wrap(err, "greet")
	}
	return rpc, conn, nil
}

// write sends one packet.
func (l *link) write(rpc *jsonrpc2.Conn, conn net.Conn, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return nil // a packet that cannot be encoded is not the connection's fault
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	select {
	case <-rpc.DisconnectNotify():
		return errors.New("connection closed")
	default:
	}
	return writePacket(conn, data)
}
