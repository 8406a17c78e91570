// Package socket opens TCP connections that notice a silent other side.
package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes find a silent peer on a connection that sends nothing. The
// kernel takes whole seconds.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// keepAlive is the configuration of the probes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer returns a dialer whose connections end when sent bytes stay
// unconfirmed for the silence timeout. Connections are made from the IP number
// source, if one is given.
func Dialer(dialTimeout, userTimeout time.Duration, source string) *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout(userTimeout)}
	if ip := net.ParseIP(source); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// ListenConfig returns the configuration of listeners whose connections end
// when sent bytes stay unconfirmed for the silence timeout.
func ListenConfig(userTimeout time.Duration) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout(userTimeout)}
}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT on a socket.
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
