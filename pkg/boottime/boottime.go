// Package boottime reads a clock that keeps running while the machine or the virtual machine is
// suspended. The monotonic readings of package time stop during a suspension, so that a resumed
// process would take old information for new.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has the clock since 2.6.39. Without it no age can be trusted.
		panic(fmt.Sprintf("boottime: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
