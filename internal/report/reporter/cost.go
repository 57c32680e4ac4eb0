package reporter

import (
	"expvar"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// ProcessUsage is what a process has used since its start.
type ProcessUsage struct {
	// CPU is processor time in seconds, user and system.
	CPU float64 `json:"cpu"`
	// Resident is the largest resident memory in bytes.
	Resident int64 `json:"resident"`
}

// Publish exports the use of this process under /debug/vars as "process". It
// must be called once.
func Publish() {
	expvar.Publish("process", expvar.Func(func() any { return MeasureProcess() }))
}

// MeasureProcess returns the use of this process; it is zero where the system does
// not tell.
func MeasureProcess() ProcessUsage {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return ProcessUsage{}
	}
	seconds := func(t syscall.Timeval) float64 { return time.Duration(t.Nano()).Seconds() }

	// Linux gives the resident memory in KiB.
	return ProcessUsage{CPU: seconds(usage.Utime) + seconds(usage.Stime), Resident: usage.Maxrss * 1024}
}

// Vars is the part of the answer to GET /debug/vars that the measures use.
type Vars struct {
	Process  *ProcessUsage `json:"process"`
	Memstats struct {
		HeapInuse  int64
		Sys        int64
		TotalAlloc int64
	} `json:"memstats"`
}

// Cost is what an entry instance costs.
type Cost struct {
	Instance modeler.InstanceID `json:"instance"`
	// Cores is the processor time a second; absent if the instance does not
	// export it.
	Cores *float64 `json:"cores,omitempty"`
	// Heap and Memory are in bytes: the heap in use and all memory that the
	// runtime holds.
	Heap   int64 `json:"heap"`
	Memory int64 `json:"memory"`
	// Allocated is in bytes a second.
	Allocated float64 `json:"allocated"`
	// Error tells why the instance was not measured.
	Error string `json:"error,omitempty"`
}

// CostOf compares two looks at an instance that lie interval apart.
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
