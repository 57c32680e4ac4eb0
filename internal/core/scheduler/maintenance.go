package scheduler

import "time"

const (
	// stepInterval is the time between two maintenance steps. Spreading the work
	// over steps keeps each pass short.
	stepInterval = 50 * time.Millisecond
	// maintenanceSteps is the number of steps in a round, which takes one second.
	maintenanceSteps = 20
)

// runMaintenance runs the maintenance steps that are due, at most one round. After
// an idle period a whole round may be due.
func (s *Scheduler) runMaintenance(now time.Time) {
	due := maintenanceSteps
	if !s.maintainedAt.IsZero() {
		due = min(int(now.Sub(s.maintainedAt)/stepInterval), maintenanceSteps)
	}
	if due <= 0 {
		return
	}
	s.maintainedAt = now
	for range due {
		s.runMaintenanceStep(s.nextStep, now)
		s.nextStep = (s.nextStep + 1) % maintenanceSteps
	}
}

func (s *Scheduler) runMaintenanceStep(step int, now time.Time) {
	switch step {
	case 0:
		s.shares.UpdateFairShares()
		// A blocked job can also become placeable by the passage of time alone: a
		// token request, an avoided worker or a gang plan may be retried.
		s.changed = s.changed || s.stats.Queued > 0
	case 1:
		s.reviewDeadlines(now)
	case 2, 12:
		s.escalatePreemptions(now)
	case 3:
		s.endQuarantines(now)
	case 4, 7, 10, 13, 16, 19:
		s.reviewReservations(now)
	default:
		s.reclaim(now)
	}
}
