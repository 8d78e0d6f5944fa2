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

// started and startedAt are the same moment on the monotonic clock and on this one.
var (
	started   = time.Now()
	startedAt = Now()
)

// Suspended returns for how long the machine was suspended since the process started. now is a
// reading of the clock that was just taken; unlike it, this takes no system call.
func Suspended(now time.Duration) time.Duration {
	return max(0, now-startedAt-time.Since(started))
}
