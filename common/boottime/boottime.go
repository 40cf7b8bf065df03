// Package boottime reads the clock against which leases are checked, CLOCK_BOOTTIME.
//
// Go's monotonic clock stops while the host is suspended, and the wall clock can jump.
// CLOCK_BOOTTIME does neither, so a lease holder that was suspended until after the expiry of its
// lease detects the expiry.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as an instant after the Unix epoch. It is comparable
// only with other results of Now on the same host and since the same boot.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; no lease can be checked without it.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
