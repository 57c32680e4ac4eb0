package scheduler

import "time"

const (
	// choreEvery is the time between two chores. Spreading them keeps every
	// single pass short.
	choreEvery = 50 * time.Millisecond
	// chores is the number of chores in a round, which takes a second.
	chores = 20
)

// runChores does the periodic work that is due: after an idle time up to one
// whole round at once.
func (s *Scheduler) runChores(now time.Time) {
	due := chores
	if !s.ticked.IsZero() {
		due = min(int(now.Sub(s.ticked)/choreEvery), chores)
	}
	if due <= 0 {
		return
	}
	s.ticked = now
	for range due {
		s.runChore(s.chore, now)
		s.chore = (s.chore + 1) % chores
	}
}

func (s *Scheduler) runChore(number int, now time.Time) {
	switch number {
	case 0:
		s.shares.UpdateFairShares()
		// What holds a job back can also end by time alone: a request for more
		// of a limit, a worker that the job avoids, a plan that was put off.
		s.changed = s.changed || s.stats.Queued > 0
	case 1:
		s.reviewDeadlines(now)
	case 2, 12:
		s.escalate(now)
	case 3:
		s.heal(now)
	case 4, 7, 10, 13, 16, 19:
		s.reviewReservations(now)
	default:
		s.reclaim(now)
	}
}
