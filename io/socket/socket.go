// Package socket sets the options of TCP connections that decide when the kernel gives up a peer.
//
// On Linux a TCP_USER_TIMEOUT that is set also decides when keep-alive probes give up, whatever their
// count, and ends a connection whose peer has kept its receive window closed for that long, although
// the peer answers each probe. So both options are set together, by the side that opened the connection.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Options decide when the kernel ends a connection to a peer that has vanished.
type Options struct {
	// UserTimeout is TCP_USER_TIMEOUT: how long sent data may stay unacknowledged, or the peer's receive
	// window closed. 0: the kernel's default, which is many minutes.
	UserTimeout time.Duration
	// KeepAlive probes peers on connections without unacknowledged data. With a UserTimeout it must be off,
	// or its probes must begin and end later.
	KeepAlive net.KeepAliveConfig
}

const (
	probeIdle     = 15 * time.Second
	probeInterval = 15 * time.Second
	probeCount    = 9
)

// Opened returns the options for connections to backend servers and the store. A request that can't
// be delivered fails soon, so that it can be sent elsewhere: the time is more than the second or two
// for which a sound server may be silent. There are no probes: each call has a deadline, idle
// connections are closed after seconds, and a probe would end a silent peer after the user timeout.
func Opened() Options {
	return Options{UserTimeout: 2 * time.Second, KeepAlive: net.KeepAliveConfig{Enable: false}}
}

// Accepted returns the options for callers' connections. There is no user timeout: a caller that
// pauses closes its window, and limits on the time of writes end that. Probes end a request whose
// caller has vanished within two and a half minutes.
func Accepted() Options { return Probed() }

// Probed returns the options for connections that serve opens, whose calls have limits of their own on
// silence and progress. Probes end a watch of the store that has vanished.
func Probed() Options {
	return Options{KeepAlive: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}
}

// IsLacking reports whether an error says that this host could open no socket, or had no port for it. That says
// nothing of a peer.
func IsLacking(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL)
}

// Dialer returns a dialer whose connections have the options.
func (options Options) Dialer(timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: options.KeepAlive, Control: options.control}
	if !options.KeepAlive.Enable {
		// Without it, the dialer enables probes of its own.
		dialer.KeepAlive = -1
	}
	return dialer
}

// Listen opens a listener whose connections have the options. Control sets further ones that accepted
// connections inherit; it may be nil.
func (options Options) Listen(ctx context.Context, network, address string, control func(raw syscall.RawConn) error) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: options.KeepAlive, Control: func(network, address string, raw syscall.RawConn) error {
		if err := options.control(network, address, raw); err != nil || control == nil {
			return err
		}
		return control(raw)
	}}
	if !options.KeepAlive.Enable {
		config.KeepAlive = -1
	}
	// Connections accepted from a multipath listener do not inherit options.
	config.SetMultipathTCP(false)
	return config.Listen(ctx, network, address)
}

// control sets what has to be set before a connection exists.
func (options Options) control(_, _ string, raw syscall.RawConn) error {
	return SetTCPOption(raw, unix.TCP_USER_TIMEOUT, int(options.UserTimeout.Milliseconds()))
}

// SetTCPOption sets an option of TCP on a socket.
func SetTCPOption(raw syscall.RawConn, option, value int) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
