package supervisor

import (
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
)

// newScheduler returns the default scheduler of a new owner.
func newScheduler() owner.Scheduler { return scheduler.New() }
