package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, which also counts the time
// that the machine was suspended. Ages that bound what is still true are
// measured with it: the monotonic clock of package time stops in suspension.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel that Go supports.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
