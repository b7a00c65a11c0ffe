package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine's boot, including suspended time.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME. It panics with a *ClockError if the kernel does not have this
// clock, because no age could be trusted without it.
func Now() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic(&ClockError{Cause: err})
	}
	return time.Duration(reading.Nano())
}
