package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// policy places work of one kind.
type policy interface {
	// place starts the next queued task of j, or all of a gang, and reports
	// whether there was room.
	place(s *Scheduler, j *job, now time.Time) bool
	// preemptible reports whether running tasks may be preempted.
	preemptible() bool
}

// scorer rates endpoints for a task; the lowest score wins.
type scorer interface {
	score(node *accountant.Node, needs modeler.Resources) float64
	// randomStart reports whether the search starts at a random position instead
	// of filling the endpoints in order.
	randomStart() bool
}

// singlePolicy is the placement policy of work whose tasks are placed one by one.
type singlePolicy[S scorer] struct {
	scorer         S
	nonPreemptible bool
}

func (p singlePolicy[S]) preemptible() bool { return !p.nonPreemptible }

func (p singlePolicy[S]) place(s *Scheduler, j *job, now time.Time) bool {
	at := s.chooseEndpoint(j, p.scorer, now)
	if at < 0 {
		return false
	}

	return s.start(j, at, now)
}

// bestFit prefers the endpoint whose remaining capacity is smallest and most
// balanced, which keeps large free capacities for large tasks.
type bestFit struct{}

func (bestFit) score(node *accountant.Node, needs modeler.Resources) float64 {
	return remainingScore(node, needs)
}

func (bestFit) randomStart() bool { return false }

// spread prefers the emptiest endpoint, so that the loss of one endpoint affects
// few tasks of a service.
type spread struct{}

func (spread) score(node *accountant.Node, needs modeler.Resources) float64 {
	return -remainingScore(node, needs)
}

func (spread) randomStart() bool { return true }

// remainingScore rates the capacity that would remain free and its imbalance, with a
// penalty for accelerators that remain free on an endpoint whose processors are used
// by tasks without accelerators.
func remainingScore(node *accountant.Node, needs modeler.Resources) float64 {
	left, capacity := node.Free().Sub(needs), node.Capacity
	millis, memory := ratio(left.Millis, capacity.Millis), ratio(left.Memory, capacity.Memory)
	score := millis + memory
	if millis > memory {
		score += millis - memory
	} else {
		score += memory - millis
	}
	if needs.Accelerators == 0 {
		score += 4 * ratio(left.Accelerators, capacity.Accelerators)
	}

	return score
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}

	return float64(part) / float64(whole)
}

// policyOf returns the placement policy of a kind of work.
func policyOf(kind modeler.WorkKind) policy {
	switch kind {
	case modeler.WorkService:
		return singlePolicy[spread]{nonPreemptible: true}
	case modeler.WorkGang:
		return gangPolicy{}
	case modeler.WorkBatch:
		return singlePolicy[bestFit]{}
	}

	return singlePolicy[bestFit]{}
}
