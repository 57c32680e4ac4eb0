package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// DefaultRetention is how long a job is kept after it became final, unless the settings ask for longer.
const DefaultRetention = 150 * time.Second

// retentionSlack is how much longer than callers may ask for it a final job is kept.
const retentionSlack = 30 * time.Second

// Retention returns how long a job is kept after it became final.
func (s Settings) Retention() time.Duration { return max(s.Status+retentionSlack, DefaultRetention) }

// detailRetention is how long the tasks of a final job are kept. An endpoint may
// report a run of the job for as long.
const detailRetention = lateOrderWindow

// dropDetails drops the steps and tasks of the jobs that have been final for longer
// than detailRetention and whose final state is stored. Most of the jobs that an
// owner knows are final, and of these callers only ask for the state.
func (p *Planner) dropDetails(now definer.Instant) {
	for p.withoutDetails < len(p.finished) {
		j := p.finished[p.withoutDetails]
		if !j.finalStored || now.Sub(j.finishedAt) <= detailRetention {
			return
		}
		p.withoutDetails++
		j.occurrences, j.opening, j.overlapping, j.Steps, j.Spec = nil, nil, nil, nil, ""
	}
}

// expire drops the jobs that have been final for longer than Retention and
// whose final state is stored, and returns their ids.
func (p *Planner) expire(now definer.Instant) []string {
	p.dropDetails(now)
	var dropped []string
	for len(p.finished) > 0 {
		j := p.finished[0]
		if !j.finalStored || now.Sub(j.finishedAt) <= p.settings.Retention() {
			break
		}
		p.finished = p.finished[1:]
		p.withoutDetails = max(p.withoutDetails-1, 0)
		delete(p.jobs, j.ID)
		dropped = append(dropped, j.ID)
	}

	return dropped
}
