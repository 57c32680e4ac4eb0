package planner

import (
	"cmp"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// fairUse returns the processors in use for each unit of weight, over the accounts that have jobs.
func (p *Planner) fairUse() float64 {
	var used, weight float64
	for _, a := range p.accounts {
		if a.active > 0 {
			used += float64(a.used.Millis)
			weight += a.weight
		}
	}
	if weight == 0 {
		return 0
	}

	return used / weight
}

// shareMargin is how far above its share an account may be before others go first.
const shareMargin = 1.2

// over reports whether the account uses more than its share.
func (a *account) over(fair float64) bool {
	return a.weight > 0 && float64(a.used.Millis)/a.weight > fair*shareMargin
}

// The urgencies of a step: its job can still meet its objective, is late but
// still worth something, is worth nothing any more, or its account has sent
// more than it is owed. A cell that is short of room serves what it can still
// serve in time; by deadline alone it would be late with everything.
const (
	urgencyOnTime = iota
	urgencyLate
	urgencyMissed
	urgencyExcess
)

const (
	// lateFactor is how many times its objective a job may take until it is worth nothing.
	lateFactor = 3
	// tailMargin and tailSlack allow for estimates that are short and for the way to the caller.
	tailMargin = 1.1
	tailSlack  = 150 * time.Millisecond
)

// rate returns the urgency of s.
func (s *step) rate(now definer.Instant) int {
	j := s.job
	end := now.Add(time.Duration(tailMargin*float64(s.tail)) + tailSlack)
	switch {
	case j.excess:
		return urgencyExcess
	case end > j.accepted.Add(lateFactor*j.deadline.Sub(j.accepted)):
		return urgencyMissed
	case end > j.deadline:
		return urgencyLate
	default:
		return urgencyOnTime
	}
}

// compare orders the steps to start: by urgency, then by the priority of the
// queue, the share that the account has and the end of the objective.
func (s *step) compare(o *step) int {
	a, b := s.job, o.job
	if s.urgency != o.urgency {
		return cmp.Compare(s.urgency, o.urgency)
	}
	if a.Queue.Priority != b.Queue.Priority {
		return cmp.Compare(a.Queue.Priority, b.Queue.Priority)
	}
	if s.overShare != o.overShare {
		return compareBool(s.overShare, o.overShare)
	}
	if a.deadline != b.deadline {
		return cmp.Compare(a.deadline, b.deadline)
	}
	if a != b {
		return cmp.Compare(a.ID, b.ID)
	}

	return cmp.Or(cmp.Compare(s.occurrence.number, o.occurrence.number), cmp.Compare(s.index, o.index))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}

	return 1
}
