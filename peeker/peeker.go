// Package peeker finds out whether the peer of a TCP connection has closed it, without
// reading from it.
//
// net/http cancels a request's context only once a read in the background has returned, which
// is after the handler has started: the context of a client that closed its connection before
// it was accepted has not ended when the handler first looks at it.
package peeker

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Closed reports whether the peer of a connection has closed or reset it, as far as this host
// has been told, or whether it is closed on this side. Bytes that were received and not read
// do not hide that. A connection without a file descriptor counts as open.
func Closed(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Unlike Read, Control does not wait for another goroutine that reads.
	err = raw.Control(func(fd uintptr) { closed = closedAt(int(fd)) })
	return err != nil || closed
}

func closedAt(fd int) bool {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EWOULDBLOCK):
			return false
		case err == nil && n > 0:
			return hungUp(fd)
		default:
			return true
		}
	}
}

// hungUp reports whether a connection with unread bytes was closed behind them.
func hungUp(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	if _, err := unix.Poll(p, 0); err != nil {
		return false
	}
	return p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// connKey is the context key of a client's connection.
type connKey struct{}

// WithClient returns a context that holds the connection of a client, for http.Server's
// ConnContext.
func WithClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Client returns the connection that WithClient has put into a context.
func Client(ctx context.Context) (net.Conn, bool) {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	return c, ok
}

// ClientLeft reports whether the client whose request has a context has closed its
// connection. Without a connection in the context, only the end of the context shows that.
func ClientLeft(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	c, ok := Client(ctx)
	return ok && Closed(c)
}

// Unreceived returns how many bytes were written to a connection and are not acknowledged by its peer
// yet, 0 if that is not known.
func Unreceived(c net.Conn) int {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}
