// Package resetter closes connections with a reset, which drops the bytes that were written and
// not sent yet.
//
// After a plain close the kernel goes on to deliver them. If the path is cut that may be
// seconds later, and an upstream then runs a request that nobody waits for any more.
//
// A reset is sent once, and one that is lost leaves the peer at work. So a connection whose peer
// has acknowledged all bytes is closed as usual: the kernel repeats a FIN while the path is cut.
// docs/design/DEPARTURE.md says what else was weighed.
package resetter

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Resetter is a connection that passes a reset on to the one that it uses.
type Resetter interface{ Reset() error }

// Reset closes a connection so that its peer gets no more bytes: with a reset if it has not
// acknowledged all of them, else with a FIN. One that has no reset is closed as usual.
func Reset(c net.Conn) error {
	if r, ok := c.(Resetter); ok {
		return r.Reset()
	}
	if acknowledged(c) {
		return c.Close()
	}
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		return errors.Join(t.SetLinger(0), c.Close())
	}
	return c.Close()
}

// acknowledged reports whether the peer's kernel has acknowledged all bytes that were written.
func acknowledged(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	outstanding := -1
	controlErr := raw.Control(func(fd uintptr) { outstanding, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return controlErr == nil && err == nil && outstanding == 0
}
