// Package socket opens TCP connections that detect unresponsive peers.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes detect an unresponsive peer on an idle connection. The kernel
// accepts whole seconds only.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAlive configures the probes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer returns a dialer whose connections end when sent data is not
// acknowledged for userTimeout. sourceIP is the local address of connections,
// empty for any.
func Dialer(dialTimeout, userTimeout time.Duration, sourceIP string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout(userTimeout)}
	if ip := net.ParseIP(sourceIP); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// ListenConfig returns the configuration of listeners whose connections end when
// sent data is not acknowledged for userTimeout.
func ListenConfig(userTimeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout(userTimeout)}
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT on a socket, in
// milliseconds.
func setUserTimeout(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}
}
