package reporter

import (
	"expvar"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// ProcessUsage is the resource usage of a process since its start.
type ProcessUsage struct {
	// CPU is the user and system CPU time in seconds.
	CPU float64 `json:"cpu"`
	// Resident is the maximum resident set size in bytes.
	Resident int64 `json:"resident"`
}

// Publish exports the usage of this process as "process" under /debug/vars. It must
// be called only once.
func Publish() {
	expvar.Publish("process", expvar.Func(func() any { return MeasureProcess() }))
}

// MeasureProcess returns the usage of this process, or zero if the system does not
// report it.
func MeasureProcess() ProcessUsage {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return ProcessUsage{}
	}
	seconds := func(t syscall.Timeval) float64 { return time.Duration(t.Nano()).Seconds() }

	// Linux reports the resident set size in KiB.
	return ProcessUsage{CPU: seconds(usage.Utime) + seconds(usage.Stime), Resident: usage.Maxrss * 1024}
}

// Vars is the part of the response to GET /debug/vars that the measures use.
type Vars struct {
	Process  *ProcessUsage `json:"process"`
	Memstats struct {
		HeapInuse  int64
		Sys        int64
		TotalAlloc int64
	} `json:"memstats"`
}

// Cost is the control cost of an entry instance.
type Cost struct {
	Instance modeler.InstanceID `json:"instance"`
	// Cores is the CPU time per second. It is nil if the instance does not export its
	// usage.
	Cores *float64 `json:"cores,omitempty"`
	// Heap is the heap in use, and Memory all memory that the runtime has obtained from
	// the system, in bytes.
	Heap   int64 `json:"heap"`
	Memory int64 `json:"memory"`
	// Allocated is the allocation rate in bytes per second.
	Allocated float64 `json:"allocated"`
	// Error is the reason why the instance could not be measured.
	Error string `json:"error,omitempty"`
}

// CostOf computes the cost of an instance from two samples taken interval apart.
func CostOf(instance modeler.InstanceID, before, after Vars, interval time.Duration) Cost {
	cost := Cost{Instance: instance, Heap: after.Memstats.HeapInuse, Memory: after.Memstats.Sys}
	if seconds := interval.Seconds(); seconds > 0 {
		cost.Allocated = float64(after.Memstats.TotalAlloc-before.Memstats.TotalAlloc) / seconds
		if before.Process != nil && after.Process != nil {
			cores := (after.Process.CPU - before.Process.CPU) / seconds
			cost.Cores = &cores
		}
	}

	return cost
}
