package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells a time that is close to the time of day at the start of the
// process and from then on follows the boot-time clock: it counts the time in
// which the machine is suspended, and no step of the time of day moves it.
type Clock struct {
	start time.Time
	boot  time.Duration
}

// NewClock returns a clock that starts now.
func NewClock() *Clock {
	return &Clock{start: time.Now().Round(0), boot: bootTime()}
}

// Now returns the present time without a monotonic reading.
func (c *Clock) Now() time.Time { return c.start.Add(bootTime() - c.boot) }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("node: the boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
