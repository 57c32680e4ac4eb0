package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
)

func (s *Scheduler) watch(*job, time.Time)              {}
func (s *Scheduler) unwatch(*job)                       {}
func (s *Scheduler) reviewDeadlines(time.Time)          {}
func (s *Scheduler) escalate(time.Time)                 {}
func (s *Scheduler) reclaim(time.Time)                  {}
func (s *Scheduler) makeRoom(*job, time.Time)           {}
func (s *Scheduler) shrink(*sharer.Team, time.Time)     {}
func (s *Scheduler) countLoss(ref, EndedMsg, time.Time) {}
