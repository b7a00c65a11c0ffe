package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine's start, suspended time included.
type Clock func() time.Duration

// Now reads the machine's clock. It panics with a ClockError if the kernel has no such
// clock, since every proof of age would then be worthless.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic(&ClockError{Cause: err})
	}
	return time.Duration(reading.Nano())
}
