package disrupter

import "time"

// Regression is a run that once broke a promise.
type Regression struct {
	Seed     uint64
	Duration time.Duration
	// Entries, Endpoints and Rate are the sizes of the run.
	Entries, Endpoints, Rate int
	// Cause is what was wrong.
	Cause string
}

// Regressions are the runs that broke a promise because of a fault in the product.
var Regressions = []Regression{
	{1, 8 * time.Second, 4, 6, 15, "a restarted endpoint had answered a start before the owner knew of its new life"},
	{10, 15 * time.Second, 5, 9, 20, "a start lost with a courier was repeated, and its first copy reached a restarted endpoint"},
	{11, 15 * time.Second, 5, 9, 20, "a new owner used 85% of a limit while endpoints with more than the rest had not answered"},
	{102, 20 * time.Second, 5, 9, 30, "a new owner gave the number of an inherited run again"},
}
