package accountant

import "expvar"

// violations counts the attempts to give an endpoint more than it has; it is
// published because any value above zero is a fault of the caller.
var violations = expvar.NewInt("accountant.violations")

// Violations returns the number of refused charges since the process started.
func Violations() int64 { return violations.Value() }
