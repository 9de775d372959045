package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is a wall clock that is read once, at the start of the process, and
// then advanced by CLOCK_BOOTTIME. It includes the time in which the machine is
// suspended, and later steps of the system's wall clock do not affect it. It is
// safe for concurrent use.
type bootClock struct {
	start time.Time
	boot  time.Duration
}

// newBootClock returns a clock that is set to the present wall-clock time.
func newBootClock() *bootClock {
	return &bootClock{start: time.Now().Round(0), boot: bootTime()}
}

// Now returns the present time. It has no monotonic reading.
func (c *bootClock) Now() time.Time { return c.start.Add(bootTime() - c.boot) }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("node: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
