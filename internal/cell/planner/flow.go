package planner

import (
	"math"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// flowWindow is the time constant of the mean of accepted work. It is longer than bursts of a queue or an account,
	// during which less urgent work can wait.
	flowWindow = 20 * time.Second
	// flowFloor is the share of the capacity that counts for the less urgent work however much urgent work arrives:
	// part of that work comes to nothing, and its accounts have limits.
	flowFloor = 1.0 / 4
)

// flow is the mean of the work within the rates that was accepted of late, in millicores,
// by the priority of its queue.
type flow map[int]*meanRate

// meanRate is a mean that decays with flowWindow.
type meanRate struct {
	millis float64
	at     definer.Instant
}

// flowOf returns the flow of a service.
func (p *Planner) flowOf(service string) flow {
	if p.flows[service] == nil {
		p.flows[service] = flow{}
	}

	return p.flows[service]
}

// add adds the estimated work of an accepted job.
func (f flow) add(j *job, now definer.Instant) {
	mean := f[j.Queue.Priority]
	if mean == nil {
		mean = &meanRate{at: now}
		f[j.Queue.Priority] = mean
	}
	work := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		if !s.Fills {
			work += float64(s.Count) * float64(s.Need.Millis) * s.Estimate.Seconds()
		}
	}
	mean.millis, mean.at = mean.rate(now)+work/flowWindow.Seconds(), now
}

// rate returns the mean at the given time.
func (r *meanRate) rate(now definer.Instant) float64 {
	return r.millis * math.Exp(-now.Sub(r.at).Seconds()/flowWindow.Seconds())
}

// beside returns the part of the capacity that the work of more urgent priorities leaves.
func (f flow) beside(priority int, capacity int64, now definer.Instant) int64 {
	left := capacity
	for other, mean := range f {
		if other < priority {
			left -= int64(mean.rate(now))
		}
	}

	return max(left, int64(flowFloor*float64(capacity)))
}
