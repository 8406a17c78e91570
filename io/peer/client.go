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

// Limits of outgoing connections.
const (
	dialTimeout       = 500 * time.Millisecond
	writeTimeout      = 2 * time.Second
	dialRetryInterval = 100 * time.Millisecond // after a failed connection; packets are dropped meanwhile
	maxQueuedPackets  = 1024                   // for one instance
	idleCloseTimeout  = 90 * time.Second       // time without a packet to send

	// tcpUserTimeout is the time for the peer to acknowledge sent data. After it, the
	// connection ends.
	tcpUserTimeout = 1500 * time.Millisecond
)

// Client sends packets to other instances. It drops packets that it cannot
// send; each protocol that uses it retransmits what must arrive.
type Client struct {
	name string
	keys func() []string
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	senders map[string]*sender
}

// ClientOption configures a client in NewClient.
type ClientOption func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithSourceIP sets the local IP address of connections.
func WithSourceIP(sourceIP string) ClientOption {
	return WithDial(socket.Dialer(dialTimeout, tcpUserTimeout, sourceIP).DialContext)
}

// NewClient returns a client of the named instance. It signs with the first of
// the keys.
func NewClient(name string, keys func() []string, options ...ClientOption) *Client {
	c := &Client{name: name, keys: keys, dial: socket.Dialer(dialTimeout, tcpUserTimeout, "").DialContext, senders: make(map[string]*sender)}
	for _, option := range options {
		option(c)
	}
	return c
}

// sender holds the queue of packets and the connection to one instance.
type sender struct {
	client  *Client
	address string
	queue   chan queued
}

// queued is a packet that waits to be sent.
type queued struct {
	encode func() ([][]byte, error)
	done   func() // called when the packet was sent or dropped
}

// Send queues a packet for the instance at a peer address. It never blocks and
// drops the packet when the queue is full. encode runs on another goroutine and returns
// the encoded packet in parts, at least one. done is called when the packet was sent or dropped.
func (c *Client) Send(ctx context.Context, address string, encode func() ([][]byte, error), done func()) {
	c.mu.Lock()
	s := c.senders[address]
	if s == nil {
		s = &sender{client: c, address: address, queue: make(chan queued, maxQueuedPackets)}
		c.senders[address] = s
		go s.run(ctx)
	}
	select {
	case s.queue <- queued{encode: encode, done: done}:
	default: // the queue is full because the instance is unreachable: drop the packet
		done()
	}
	c.mu.Unlock()
}

// run sends queued packets until the context ends or no packet has been queued
// for idleCloseTimeout.
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
		packet, ok := s.next(ctx)
		if !ok {
			return
		}
		if rpc == nil && time.Since(failedAt) >= dialRetryInterval {
			var err error
			if rpc, conn, err = s.connect(ctx); err != nil {
				rpc, failedAt = nil, time.Now()
				s.discardQueue()
			}
		}
		if rpc != nil && s.write(rpc, conn, packet.encode) != nil {
			rpc.Close()
			rpc, failedAt = nil, time.Now()
		}
		packet.done()
	}
}

// discardQueue empties the queue, so that no outdated packets are sent after a
// long outage.
func (s *sender) discardQueue() {
	for {
		select {
		case packet := <-s.queue:
			packet.done()
		default:
			return
		}
	}
}

// next returns the next packet, or false when the sender must stop. It removes an
// idle sender from the client.
func (s *sender) next(ctx context.Context) (queued, bool) {
	idle := time.NewTimer(idleCloseTimeout)
	defer idle.Stop()
	select {
	case packet := <-s.queue:
		return packet, true
	case <-ctx.Done():
		return queued{}, false
	case <-idle.C:
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	select {
	case packet := <-s.queue:
		return packet, true
	default:
		delete(s.client.senders, s.address)
		return queued{}, false
	}
}

// connect opens a connection and authenticates to the server.
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

// write encodes and sends one packet.
func (s *sender) write(rpc *jsonrpc2.Conn, conn net.Conn, encode func() ([][]byte, error)) error {
	data, err := encode()
	if err != nil {
		return nil // an encoding error must not close the connection
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
