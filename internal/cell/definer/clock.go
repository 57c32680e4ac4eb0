package definer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the boot clock, which also counts the time for which
// the machine was suspended. Go's monotonic clock does not, so a lease judged
// by it would outlast a suspension.
type Instant time.Duration

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boot clock is not available: " + err.Error())
	}

	return Instant(ts.Nano())
}

// Sub returns i - o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns i + d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Since returns the time that has passed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }
