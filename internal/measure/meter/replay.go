package meter

import (
	"runtime"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
)

// inputLog holds the messages of a run. Replaying them measures the cost of the
// core without that of the meter.
type inputLog struct {
	messages []scheduler.Msg
	times    []time.Time
}

func (l *inputLog) add(msg scheduler.Msg, now time.Time) {
	l.messages, l.times = append(l.messages, msg), append(l.times, now)
}

// replay sends the messages to a new core and returns the cost, including
// garbage collection.
func (l *inputLog) replay(settings scheduler.Settings) Cost {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore := cpuTime()
	core := scheduler.New(scheduler.WithSettings(settings))
	for i, msg := range l.messages {
		core.Update(msg, l.times[i])
	}
	used := cpuTime() - cpuBefore
	runtime.ReadMemStats(&after)
	starts := max(int(core.Stats().Starts), 1)

	return Cost{
		Placements: starts, CPUTime: used / time.Duration(starts),
		Bytes:       (after.TotalAlloc - before.TotalAlloc) / uint64(starts),
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(starts),
	}
}

// cpuTime returns the processor time that this process has used, or 0 if it
// cannot be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
