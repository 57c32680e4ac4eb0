package definer

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on the boot clock, which also advances while the
// machine is suspended. Go's monotonic clock does not, so a lease measured by it
// would stay valid for too long after a suspension.
type Instant time.Duration

// Now returns the current time of the boot clock. It panics if the system has no
// boot clock.
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

// Sleep waits for the duration and reports whether it elapsed. Sleep returns
// early, with false, when ctx is done or when wake is closed or receives a
// value. A nil wake is ignored.
func Sleep(ctx context.Context, duration time.Duration, wake <-chan struct{}) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return false
	case <-timer.C:
		return true
	}
}
