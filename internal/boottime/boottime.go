// Package boottime reads a monotonic clock that keeps running while a VM is
// suspended. The monotonic clock of Go's time package stops meanwhile, so that an
// age or a lease measured by it would seem younger than it is.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted as a time.Time. It never goes
// backwards; only differences between two such times are meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // the clock exists on every Linux since 2.6.39
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
