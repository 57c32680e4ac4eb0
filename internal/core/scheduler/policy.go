package scheduler

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// policy places the work of one kind.
type policy interface {
	// place starts the next task of j, or all of them, and reports whether it
	// could.
	place(s *Scheduler, j *job, now time.Time) bool
	// preemptible reports whether running tasks may be stopped to make room.
	preemptible() bool
}

// scorer compares endpoints for a task; the lowest score is chosen.
type scorer interface {
	score(node *accountant.Node, needs modeler.Resources) float64
	// scattered asks to compare endpoints from a random position on, instead
	// of filling the endpoints in order.
	scattered() bool
}

// single is the policy of work whose tasks are placed one by one.
type single[S scorer] struct {
	scorer S
	fixed  bool
}

func (p single[S]) preemptible() bool { return !p.fixed }

func (p single[S]) place(s *Scheduler, j *job, now time.Time) bool {
	at := s.choose(j, p.scorer, now)
	if at < 0 {
		return false
	}

	return s.start(j, at, now)
}

// tight prefers the endpoint whose remaining room is smallest and best
// balanced, which keeps large holes for large tasks.
type tight struct{}

func (tight) score(node *accountant.Node, needs modeler.Resources) float64 {
	return remainder(node, needs)
}

func (tight) scattered() bool { return false }

// spread prefers the emptiest endpoint, so that the loss of one endpoint takes
// few tasks of a service with it.
type spread struct{}

func (spread) score(node *accountant.Node, needs modeler.Resources) float64 {
	return -remainder(node, needs)
}

func (spread) scattered() bool { return true }

// remainder measures what would stay free, with a penalty for leaving an
// accelerator behind on an endpoint whose processors are used by others.
func remainder(node *accountant.Node, needs modeler.Resources) float64 {
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

// policyOf returns the policy of a kind of work.
func policyOf(kind modeler.WorkKind) policy {
	switch kind {
	case modeler.WorkService:
		return single[spread]{fixed: true}
	case modeler.WorkGang:
		return together{}
	case modeler.WorkBatch:
		return single[tight]{}
	}

	return single[tight]{}
}
