package planner

import "gitlab.com/greengagewall/greengagewall/internal/cell/definer"

// A job has begun once an endpoint has shown that it started a task of the job: by
// its answer to the start, or by listing the run or its end. A start that was only
// ordered may have been refused, or lost on the way.

// runBegun records that the endpoint of r has started it.
func (p *Planner) runBegun(r *run, now definer.Instant) {
	if r.task == nil || r.task.step.job.begun {
		return
	}
	j := r.task.step.job
	if !r.adopted {
		p.recordDelay(r)
		p.note("first start", j.ID, "waited", now.Sub(j.accepted), "endpoint", r.endpoint.ID)
	}
	p.jobBegun(j)
}

// jobBegun records that a task of j has been started.
func (p *Planner) jobBegun(j *job) {
	if !j.begun {
		j.begun, j.ordered = true, nil
		p.begunJobs = append(p.begunJobs, j)
	}
}

// markBegun marks the jobs that have begun, so that the next owner counts them as
// begun even if no endpoint tells it. This alone is no reason for an append.
func (p *Planner) markBegun() {
	for _, j := range p.begunJobs {
		p.markDirty(j)
	}
	p.begunJobs = nil
}
