package carobtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// timeSuspended returns for how long the VM has been suspended since it started: the monotonic
// clock stands still meanwhile, the boot-time clock does not. The result may be too small by the
// time between the two readings, and is never too large. It is 0 if the clocks cannot be read.
func timeSuspended() time.Duration {
	var bootTime, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(bootTime.Nano() - monotonic.Nano())
}
