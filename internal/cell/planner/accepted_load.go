package planner

import (
	"math"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// acceptedWindow is the time constant of the mean of accepted work. It is longer than bursts of a queue or an account,
	// during which less urgent work can wait.
	acceptedWindow = 20 * time.Second
	// minRemainingShare is the share of the capacity that counts for the less urgent work however much urgent work arrives:
	// part of the urgent work is cancelled or limited by its account.
	minRemainingShare = 1.0 / 4
)

// acceptedLoad is the mean of the work within the rates that was accepted recently, in
// millicores, by the priority of its queue.
type acceptedLoad map[int]*meanRate

// meanRate is a mean that decays with acceptedWindow.
type meanRate struct {
	millis float64
	at     definer.Instant
}

// acceptedLoadOf returns the accepted load of a service.
func (p *Planner) acceptedLoadOf(service string) acceptedLoad {
	if p.acceptedLoads[service] == nil {
		p.acceptedLoads[service] = acceptedLoad{}
	}

	return p.acceptedLoads[service]
}

// add adds the estimated work of an accepted job.
func (l acceptedLoad) add(j *job, now definer.Instant) {
	mean := l[j.Queue.Priority]
	if mean == nil {
		mean = &meanRate{at: now}
		l[j.Queue.Priority] = mean
	}
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.Fills {
			work += float64(s.Count) * float64(s.Need.Millis) * s.Estimate.Seconds()
		}
	}
	mean.millis, mean.at = mean.rate(now)+work/acceptedWindow.Seconds(), now
}

// rate returns the mean at the given time.
func (r *meanRate) rate(now definer.Instant) float64 {
	return r.millis * math.Exp(-now.Sub(r.at).Seconds()/acceptedWindow.Seconds())
}

// remaining returns the part of the capacity that the work of more urgent priorities leaves.
func (l acceptedLoad) remaining(priority int, capacity int64, now definer.Instant) int64 {
	left := capacity
	for other, mean := range l {
		if other < priority {
			left -= int64(mean.rate(now))
		}
	}

	return max(left, int64(minRemainingShare*float64(capacity)))
}
