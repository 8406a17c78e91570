package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Parameters of proxies.
const (
	proxyBuffer  = 32 << 10
	cutPollPause = 10 * time.Millisecond
)

// link is the network between one instance and those with a disk. While it is cut, all bytes are
// held up in both directions.
type link struct {
	address string // from which the instance connects
	cut     atomic.Bool
}

// proxy passes connections to an address on to another one.
type proxy struct {
	listener net.Listener
	target   string
	find     func(remote string) *link // returns the link that a connection uses, nil for none
}

// startProxy starts a proxy.
func startProxy(address, target string, find func(remote string) *link) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, find: find}
	go p.run()
	return p, nil
}

// run accepts connections until the listener is closed.
func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn)
	}
}

// pass passes the bytes of one connection on.
func (p *proxy) pass(conn net.Conn) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	l := p.find(host)
	l.await()
	// The target sees the address of the instance that connects.
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	out, err := dialer.Dial("tcp", p.target)
	if err != nil {
		conn.Close()
		return
	}
	go l.copy(out, conn)
	l.copy(conn, out)
}

// await waits until the link is not cut.
func (l *link) await() {
	for l != nil && l.cut.Load() {
		time.Sleep(cutPollPause)
	}
}

// copy copies bytes until one side ends, and closes both.
func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// proxiedOffset is added to the last number of an address for the one behind its proxy.
const proxiedOffset = 40

// proxyPeers puts a proxy before the peer port of each instance, so that one entry can be cut off.
func (c *cluster) proxyPeers() (*link, error) {
	entry := c.role("entry")[1]
	for n, i := range c.instances {
		if i.role != "entry" || i == entry {
			i.listen = fmt.Sprintf("%s.%d", c.subnet, n+1+proxiedOffset)
		}
	}
	l := &link{address: entry.listen}
	for _, i := range c.instances {
		find := func(remote string) *link {
			if remote == l.address || i == entry {
				return l
			}
			return nil
		}
		if i.listen == "" {
			continue
		}
		p, err := startProxy(fmt.Sprintf("%s:%d", i.address, peerPort), fmt.Sprintf("%s:%d", i.listen, peerPort), find)
		if err != nil {
			return nil, err
		}
		c.proxies = append(c.proxies, p)
	}
	return l, nil
}
