package scheduler

import "time"

func (s *Scheduler) reclaim(time.Time) {}
