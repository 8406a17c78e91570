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
	dialTimeout       = 500 * time.Millisecond
	writeTimeout      = 2 * time.Second
	dialRetryInterval = 100 * time.Millisecond // between attempts to reach an instance
	maxQueuedPackets  = 1024                   // packets that wait for one instance
	idleCloseTimeout  = 90 * time.Second       // without a packet

	// tcpUserTimeout ends a connection whose other side confirms nothing.
	tcpUserTimeout = 1500 * time.Millisecond
)

// Client sends packets to other instances. Packets that cannot be sent are
// dropped; every protocol above it sends again what matters.
type Client struct {
	name string
	keys func() []string
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	senders map[string]*sender
}

// ClientOption changes a client at construction.
type ClientOption func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithSourceIP sets the IP number that connections are made from.
func WithSourceIP(source string) ClientOption {
	return WithDial(socket.Dialer(dialTimeout, tcpUserTimeout, source).DialContext)
}

// NewClient returns a client of the named instance. The first of the keys
// signs.
func NewClient(name string, keys func() []string, options ...ClientOption) *Client {
	c := &Client{name: name, keys: keys, dial: socket.Dialer(dialTimeout, tcpUserTimeout, "").DialContext, senders: make(map[string]*sender)}
	for _, option := range options {
		option(c)
	}
	return c
}

// sender is the queue and connection to one instance.
type sender struct {
	client  *Client
	address string
	queue   chan func() ([]byte, error)
}

// Send queues a packet for the instance at a peer address. It never blocks;
// encode runs on another goroutine.
func (c *Client) Send(ctx context.Context, address string, encode func() ([]byte, error)) {
	c.mu.Lock()
	s := c.senders[address]
	if s == nil {
		s = &sender{client: c, address: address, queue: make(chan func() ([]byte, error), maxQueuedPackets)}
		c.senders[address] = s
		go s.run(ctx)
	}
	select {
	case s.queue <- encode:
	default: // the instance is out of reach, the packet is dropped
	}
	c.mu.Unlock()
}

// run sends queued packets until the link is idle for long.
func (s *sender) run(ctx context.Context) {
	var rpc *jsonrpc2.Conn
	var conn net.Conn
	var failedAt time.Time
	defer func() {
		if rpc != nil {
			rpc.Close()
		}
	}()
	for {
		encode, ok := s.next(ctx)
		if !ok {
			return
		}
		if rpc == nil {
			if time.Since(failedAt) < dialRetryInterval {
				continue
			}
			var err error
			if rpc, conn, err = s.connect(ctx); err != nil {
				failedAt = time.Now()
				s.discardQueue()
				continue
			}
		}
		if s.write(rpc, conn, encode) != nil {
			rpc.Close()
			rpc, failedAt = nil, time.Now()
		}
	}
}

// discardQueue empties the queue, so that nothing old is sent after a long outage.
func (s *sender) discardQueue() {
	for {
		select {
		case <-s.queue:
		default:
			return
		}
	}
}

// next returns the next packet, or false when the link should end.
func (s *sender) next(ctx context.Context) (func() ([]byte, error), bool) {
	idle := time.NewTimer(idleCloseTimeout)
	defer idle.Stop()
	select {
	case encode := <-s.queue:
		return encode, true
	case <-ctx.Done():
		return nil, false
	case <-idle.C:
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	select {
	case encode := <-s.queue:
		return encode, true
	default:
		delete(s.client.senders, s.address)
		return nil, false
	}
}

// connect opens a connection and proves the key.
func (s *sender) connect(ctx context.Context) (*jsonrpc2.Conn, net.Conn, error) {
	conn, err := s.client.dial(ctx, "tcp", s.address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial")
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		conn.Close()
		return nil, nil, errors.Wrap(err, "set deadline")
	}
	noHandler := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil })
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, newFrameCodec()), noHandler, jsonrpc2.SetLogger(discardLogger{}))
	var c challenge
	err = rpc.Call(ctx, methodHello, hello{From: s.client.name}, &c)
	if err == nil {
		err = rpc.Call(ctx, methodProve, sign(s.client.keys()[0], s.client.name, c), nil)
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
func (s *sender) write(rpc *jsonrpc2.Conn, conn net.Conn, encode func() ([]byte, error)) error {
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
