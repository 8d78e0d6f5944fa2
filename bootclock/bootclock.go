// Package bootclock reads a clock that never steps and that counts the time
// during which the machine was suspended.
//
// The monotonic clock of package time stands still while a VM is suspended, so
// that a process which wakes would take old knowledge for fresh.
//
// # Usage
//
//	now := bootclock.Now()
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
