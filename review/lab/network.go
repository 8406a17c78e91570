package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// network holds the proxies before processes, and the partitions between hosts.
type network struct {
	mu        sync.Mutex
	cut       map[[2]string]bool // pairs of hosts that exchange no bytes
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// newNetwork returns a network without proxies.
func newNetwork() *network {
	return &network{cut: make(map[[2]string]bool), conns: make(map[net.Conn]bool)}
}

// open starts a proxy on a port of a public host. It forwards to the same port of the host
// listen.
func (n *network) open(public, listen string, port int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", public, port))
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, l)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(conn, listen, fmt.Sprintf("%s:%d", listen, port))
		}
	}()
	return nil
}

// forward connects a connection to its target and copies bytes both ways.
func (n *network) forward(conn net.Conn, to, target string) {
	defer conn.Close()
	from, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil || !n.await(from, to) {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	n.mu.Lock()
	n.conns[conn], n.conns[out] = true, true
	n.mu.Unlock()
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 16<<10)
		for {
			count, err := src.Read(buffer)
			if !n.await(from, to) {
				return
			}
			if _, failed := dst.Write(buffer[:count]); failed != nil || err != nil {
				return
			}
		}
	}
	go pipe(out, conn)
	go pipe(conn, out)
	<-done
	n.mu.Lock()
	delete(n.conns, conn)
	delete(n.conns, out)
	n.mu.Unlock()
}

// await waits until two hosts are not cut from each other. It returns false if the network is
// closed.
func (n *network) await(a, b string) bool {
	for {
		n.mu.Lock()
		cut, closed := n.cut[[2]string{a, b}] || n.cut[[2]string{b, a}], n.closed
		n.mu.Unlock()
		if closed || !cut {
			return !closed
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setCut cuts two hosts from each other, or joins them.
func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
}

// close closes all listeners and connections.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		l.Close()
	}
	for c := range n.conns {
		c.Close()
	}
}

// breaker is a proxy on a way of clients to an entry. It can reset all its connections.
type breaker struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// newBreaker starts a proxy to a target.
func newBreaker(target string) (*breaker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &breaker{listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.forward(conn, target)
		}
	}()
	return b, nil
}

// forward connects a connection to the target and copies bytes both ways.
func (b *breaker) forward(conn net.Conn, target string) {
	out, err := net.Dial("tcp", target)
	if err != nil {
		conn.Close()
		return
	}
	b.mu.Lock()
	b.conns = append(b.conns, conn, out)
	b.mu.Unlock()
	pipe := func(dst, src net.Conn) {
		buffer := make([]byte, 16<<10)
		for {
			count, err := src.Read(buffer)
			if _, failed := dst.Write(buffer[:count]); failed != nil || err != nil {
				dst.Close()
				return
			}
		}
	}
	go pipe(out, conn)
	pipe(conn, out)
}

// reset resets all connections.
func (b *breaker) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the connection closes in any case
		}
		c.Close()
	}
	b.conns = nil
}
