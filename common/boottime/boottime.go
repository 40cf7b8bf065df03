// Package boottime reads the clock by which leases are judged.
//
// Go's monotonic clock stands still while a machine is suspended and the time
// of day jumps. CLOCK_BOOTTIME does neither, so that a holder that was suspended
// past the end of its lease sees it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as an instant that may be
// compared with other instants of this package on the same machine only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock; without it no lease can be judged.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
