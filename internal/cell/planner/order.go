package planner

import (
	"cmp"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// fairUse returns the processors in use per unit of weight, over all accounts
// with active jobs.
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

// shareMargin is the multiple of its fair share that an account may use before other accounts take precedence.
const shareMargin = 1.2

// exceedsShare reports whether the account uses more than shareMargin times its
// fair share.
func (a *account) exceedsShare(fair float64) bool {
	return a.weight > 0 && float64(a.used.Millis)/a.weight > fair*shareMargin
}

// The urgencies of a step, the most urgent first: its job can still meet its
// objective; is late but still useful; is too late to be useful; or exceeds the
// rate of its account. An overloaded cell thus completes the jobs that can still
// be in time. Ordered by deadline alone, all jobs would be late.
const (
	urgencyOnTime = iota
	urgencyLate
	urgencyMissed
	urgencyExcess
)

const (
	// lateFactor is the multiple of its objective after which a job is too late to be useful.
	lateFactor = 3
	// estimateMargin allows for estimates as given that are too short, and reportingSlack for
	// the time until the caller learns of the end.
	estimateMargin = 1.1
	reportingSlack = 150 * time.Millisecond
)

// urgencyAt returns the urgency of s at the given time, by the predicted median of the remaining path.
func (p *Planner) urgencyAt(s *step, now definer.Instant) int {
	j := s.job
	margin := estimateMargin
	if p.prediction(s, now).Learned && p.settings.Learn.Order {
		margin = 1
	}
	end := now.Add(time.Duration(margin*float64(s.remainingPath)) + reportingSlack)
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
// queue, whether the account exceeds its share, and the deadline. Ids and
// indexes make the order total.
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
