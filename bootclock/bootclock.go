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
	return read(unix.CLOCK_BOOTTIME, "CLOCK_BOOTTIME")
}

// Suspended returns for how long the machine was suspended since it booted. It panics if the
// kernel does not support CLOCK_BOOTTIME or CLOCK_MONOTONIC.
func Suspended() time.Duration {
	monotonic := read(unix.CLOCK_MONOTONIC, "CLOCK_MONOTONIC")
	return max(0, Now()-monotonic)
}

// read returns the time of a clock of the kernel.
func read(id int32, name string) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		panic("bootclock: read " + name + ": " + err.Error())
	}
	return time.Duration(ts.Nano())
}
