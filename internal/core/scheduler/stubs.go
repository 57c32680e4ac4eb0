package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
)

type reservation struct{}

func (s *Scheduler) permitted(*job, int, time.Time) bool { return true }
func (s *Scheduler) useReservation(*job, int, time.Time) {}
func (s *Scheduler) dropReservation(*job)                {}
func (s *Scheduler) dropReservationsAt(int)              {}
func (s *Scheduler) reviewReservations(time.Time)        {}
func (s *Scheduler) watch(*job, time.Time)               {}
func (s *Scheduler) unwatch(*job)                        {}
func (s *Scheduler) reviewDeadlines(time.Time)           {}
func (s *Scheduler) escalate(time.Time)                  {}
func (s *Scheduler) reclaim(time.Time)                   {}
func (s *Scheduler) makeRoom(*job, time.Time)            {}
func (s *Scheduler) shrink(*sharer.Team, time.Time)      {}
func (s *Scheduler) countLoss(ref, EndedMsg, time.Time)  {}
