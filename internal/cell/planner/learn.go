package planner

import (
	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
)

// Learning selects what learned run times are used for. Without any use, nothing is learned and
// all estimates count as given.
type Learning struct {
	// Order is the order of waiting work by the slack to its objective.
	Order bool
	// Remaining is the remaining time of runs, for endpoints that leave and the plans of gangs, the expected end of
	// tasks in reserved room, and the time without progress after which a run counts as standing still.
	Remaining bool
	// Speed is the speed of endpoints in placement.
	Speed bool
}

// LearnAll uses learned run times for everything.
var LearnAll = Learning{Order: true, Remaining: true, Speed: true}

// learns reports whether run times are learned.
func (p *Planner) learns() bool { return p.settings.Learn != Learning{} }

// EndpointSpeed returns the speed of an endpoint for placement; 1 is the mean.
func (p *Planner) EndpointSpeed(id string) float64 {
	if !p.settings.Learn.Speed {
		return 1
	}

	return p.estimator.Speed(id)
}

// learningKey returns the key by which the run times of s are learned.
func (s *step) learningKey() estimator.Key {
	return estimator.Key{Queue: s.job.Queue.Name, Account: s.job.Account, Image: s.def.Image, Shape: estimator.ShapeOf(s.def.Need.Millis, s.def.Gang)}
}

// learnFinished learns from a run that has done its work, unless the time of its end or its
// beginning is not known or it resumed from a checkpoint: it then took at least as long as was seen.
func (p *Planner) learnFinished(r *run, now definer.Instant) {
	until, seen := p.endOf(r, now)
	p.learn(r, until, !seen || r.adopted || r.resumed)
}

// learnCensored learns from a run that was stopped, failed or was lost, and was seen until the given time.
func (p *Planner) learnCensored(r *run, until definer.Instant) {
	if r.phase == phaseStopping || r.phase == phaseStopped {
		until = min(until, r.stopSentAt)
	}
	until, _ = p.endOf(r, until)
	p.learn(r, until, true)
}

// endOf returns until when r is known to have worked if its end became known at the given time,
// and whether that is the time of its end. It isn't if the endpoint did not report for a while
// before, or if the run stood still.
func (p *Planner) endOf(r *run, now definer.Instant) (until definer.Instant, seen bool) {
	switch previous := r.endpoint.previousReport; {
	case r.stalledSince != 0:
		return min(now, r.stalledSince), false
	case previous != 0 && now.Sub(previous) >= p.settings.Freshness:
		return previous, false
	default:
		return now, true
	}
}

// learn adds a run to what the estimator knows. Of a gang, whose members work at the pace of the
// slowest one, the first member that ends counts for all.
func (p *Planner) learn(r *run, until definer.Instant, censored bool) {
	if !p.learns() || r.task == nil || !r.confirmed || r.task.step.def.LongRunning {
		return
	}
	s := r.task.step
	members := []*run{r}
	tasks := s.def.Count
	if s.def.Gang {
		if members = s.membersOf(r); len(members) < s.tasksLeft || s.learnedRun >= r.number {
			return
		}
		s.learnedRun, tasks = r.number, 1
	}
	began := definer.Instant(0)
	endpoints := make([]string, 0, len(members))
	for _, member := range members {
		began = max(began, member.began())
		endpoints = append(endpoints, member.endpoint.ID)
	}
	observed := estimator.Run{
		Key: s.learningKey(), Service: s.job.Queue.Service, Estimate: s.def.Estimate, Took: until.Sub(began), Censored: censored, Endpoints: endpoints, Tasks: tasks, Step: &s.learned,
	}
	ratio := p.estimator.Ratio(&observed)
	if !p.estimator.Observe(observed) {
		return
	}
	p.runTimes.of(s.job.Queue.Name).add(ratio, &r.predicted, censored)
	if !censored && len(members) == 1 {
		r.endpoint.speed = p.EndpointSpeed(r.endpoint.ID)
	}
}

// began returns when the run began its work.
func (r *run) began() definer.Instant {
	if r.beganAt != 0 {
		return r.beganAt
	}

	return r.sentAt
}

// membersOf returns the runs of the members of the gang that began with r, including r.
func (s *step) membersOf(r *run) []*run {
	members := make([]*run, 0, len(s.tasks))
	for _, t := range s.tasks {
		switch {
		case t == r.task:
			members = append(members, r)
		case t.run != nil && t.run.number == r.number:
			members = append(members, t.run)
		}
	}

	return members
}

// NextLearned returns a part of the summary of what was learned that is out of date in the state table, and
// false if there is none.
func (p *Planner) NextLearned() (estimator.Shard, bool) { return p.estimator.NextShard() }

// LearnedLeft records that the part of the summary that NextLearned returned last was not stored.
func (p *Planner) LearnedLeft(shard estimator.Shard) { p.estimator.Skip(shard) }

// RestoreLearned adds a part of the summary that a previous owner has stored. It is called before the
// endpoints are restored. A part of a version that is not known is ignored.
func (p *Planner) RestoreLearned(shard *estimator.Shard) {
	if p.learns() && !p.estimator.Restore(*shard) {
		p.note("learned run times ignored", "", "part", shard.Number, "version", shard.Version)
	}
}

// ForgetUnknownEndpoints drops the restored speeds of endpoints that the planner does not know.
func (p *Planner) ForgetUnknownEndpoints() { p.estimator.Retain(p.HasEndpoint) }

// learnLost learns from the run of an endpoint that no longer runs it and will not report it: it was
// seen last in the last report before the one that is being processed.
func (p *Planner) learnLost(r *run) {
	until := r.endpoint.reportedAt
	if until == p.now {
		until = r.endpoint.previousReport
	}
	p.learnCensored(r, until)
}

// Learned returns how many keys and endpoints something is known of.
func (p *Planner) Learned() (keys, endpoints int) { return p.estimator.Learned() }
