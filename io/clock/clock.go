// Package clock reads the kernel's clocks that package time does not.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine was booted. It is steady, and goes on while
// the process is stopped or the machine is suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // cannot happen: Linux has the clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
