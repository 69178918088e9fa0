// Package resetter closes connections with a reset, which drops the bytes that were written and
// not sent yet.
//
// After a plain close the kernel goes on to deliver them. If the path is cut that may be
// seconds later, and an upstream then runs a request that nobody waits for any more.
package resetter

import (
	"errors"
	"net"
)

// Resetter is a connection that passes a reset on to the one that it uses.
type Resetter interface{ Reset() error }

// Reset closes a connection with a reset. One that has none is closed as usual.
func Reset(c net.Conn) error {
	if r, ok := c.(Resetter); ok {
		return r.Reset()
	}
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		return errors.Join(t.SetLinger(0), c.Close())
	}
	return c.Close()
}
