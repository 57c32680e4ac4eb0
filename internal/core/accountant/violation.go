package accountant

import "expvar"

// violations counts refused allocations. It is published because any value above zero
// indicates a programming error of the caller.
var violations = expvar.NewInt("accountant.violations")

// Violations returns the number of refused allocations since the process started.
func Violations() int64 { return violations.Value() }
