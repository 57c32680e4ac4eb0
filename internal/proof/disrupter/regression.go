package disrupter

import "time"

// Regression is a run that once violated a guarantee.
type Regression struct {
	Seed     uint64
	Duration time.Duration
	// Entries, Endpoints and Rate are those of Settings.
	Entries, Endpoints, Rate int
	// Cause describes the fault that caused the violation.
	Cause string
}

// Regressions lists the runs that violated a guarantee because of a fault in the
// scheduler.
var Regressions = []Regression{
	{1, 8 * time.Second, 4, 6, 15, "a restarted endpoint had answered a start before the owner learned of the restart"},
	{10, 15 * time.Second, 5, 9, 20, "a start lost with a courier was resent, and its first copy reached a restarted endpoint"},
	{11, 15 * time.Second, 5, 9, 20, "a new owner used 85% of a limit while endpoints with more than the rest had not answered"},
	{102, 20 * time.Second, 5, 9, 30, "a new owner assigned the number of an inherited run a second time"},
}
