package supervisor

import (
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
)

// newDecider returns the decision core of a new owner.
func newDecider() owner.Scheduler { return scheduler.New() }
