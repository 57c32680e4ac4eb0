package meter

import (
	"runtime"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
)

// script is the input of a run, kept so that the cost of the core can be
// measured without that of the meter.
type script struct {
	msgs  []scheduler.Msg
	times []time.Time
}

func (s *script) record(msg scheduler.Msg, now time.Time) {
	s.msgs, s.times = append(s.msgs, msg), append(s.times, now)
}

// replay plays the script to a new core and returns what it cost, collection
// of garbage included.
func (s *script) replay(settings scheduler.Settings) Cost {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := processorTime()
	core := scheduler.New(scheduler.WithSettings(settings))
	for i, msg := range s.msgs {
		core.Update(msg, s.times[i])
	}
	spent := processorTime() - began
	runtime.ReadMemStats(&after)
	starts := max(int(core.Stats().Starts), 1)

	return Cost{
		Placements: starts, CPUTime: spent / time.Duration(starts),
		Bytes:       (after.TotalAlloc - before.TotalAlloc) / uint64(starts),
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(starts),
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
