// Package clocker reads the time since boot. This clock keeps running while the
// machine is suspended, and never jumps.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since boot.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// Now returns the time since boot, counted from the Unix epoch. Only differences are
// meaningful. Now panics if the kernel has no CLOCK_BOOTTIME (Linux before 2.6.39),
// since leases are not safe without it.
func (SystemClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clocker: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
