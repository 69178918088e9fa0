// Package booter reads the time since boot, which goes on while the machine is
// suspended and never jumps.
package booter

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since boot.
type Clock interface {
	Now() time.Time
}

// System is the machine's clock.
type System struct{}

// Now returns the time since boot as a time of the Unix epoch, for differences
// only. The kernel has had this clock since 2.6.39; a kernel without it can't
// run a lease safely.
func (System) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("booter: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
