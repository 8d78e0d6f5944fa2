// Package bootclock reads a clock that is never stepped and that includes the time
// during which the machine was suspended.
//
// The monotonic clock of package time stops while a VM is suspended. After the VM
// resumes, a process that uses that clock would treat outdated information as recent.
//
// # Usage
//
//	now := bootclock.Now()
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. It panics if the kernel does not
// support CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
