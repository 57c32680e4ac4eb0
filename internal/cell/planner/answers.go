package planner

import (
	"time"
)

// Which endpoints a policy admits for a step does not change, so the admitted endpoints of
// waiting steps are stored with the progress of their jobs. The next owner then asks only
// for new tickets, on as many endpoints as the step needs.
//
// Load pattern: dozens of gangs wait when the owner fails, and their policy needs more than
// a second for each question. Asked anew, they would wait for their first answers for many
// times as long as the change of the owner takes.

const (
	// minStoredCost is the decision time of a question about maxAskedEndpoints from which the answers are stored.
	// Cheaper ones are sooner asked for again than read.
	minStoredCost = 250 * time.Millisecond
	// maxStoredAnswers bounds the admitted endpoints that are stored for a step.
	maxStoredAnswers = 100
	// maxAnswersShare bounds the ids of endpoints that are stored for a job, as a share of what the store accepts as
	// one record.
	maxAnswersShare = 3.0 / 16
)

// StepAnswers holds the endpoints that the policy has admitted for a step.
type StepAnswers struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	Occurrence int
	Step       int
	// Admitted holds the ids of the endpoints.
	Admitted []string
}

// storesAnswers reports whether the answers for s are stored while it waits.
func (s *step) storesAnswers() bool {
	policy := s.job.Queue.Policy

	return policy != nil && questionCost(policy, maxAskedEndpoints) >= minStoredCost
}

// storedAnswers returns the answers for the waiting steps of j that are to be stored, up to
// a size in bytes.
func (j *job) storedAnswers(maxSize int) []StepAnswers {
	var answers []StepAnswers
	size := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.pendingCount == 0 || len(s.admission.admitted) == 0 || !s.storesAnswers() {
				continue
			}
			stored := StepAnswers{Occurrence: o.number, Step: s.index}
			for _, e := range s.admission.admitted[:min(len(s.admission.admitted), maxStoredAnswers)] {
				stored.Admitted = append(stored.Admitted, e.ID)
				size += len(e.ID)
			}
			if size > maxSize {
				return answers
			}
			answers = append(answers, stored)
		}
	}

	return answers
}

// restoreAnswers records the stored answers for a job. Their tickets are not stored, so that
// nothing starts before the policy has given new ones.
func (p *Planner) restoreAnswers(j *job, answers []StepAnswers) {
	for i := range answers {
		stored := &answers[i]
		o := j.occurrence(stored.Occurrence)
		if o == nil || stored.Step < 0 || stored.Step >= len(o.steps) {
			continue
		}
		s := o.steps[stored.Step]
		if s.tasksLeft == 0 || s.job.Queue.Policy == nil {
			continue
		}
		for _, id := range stored.Admitted {
			if e := p.endpoints[id]; e != nil {
				s.admission.record(e, policyAnswer{admitted: true})
			}
		}
	}
}

// recordAdmitted makes the next append store the answers for s if the policy has admitted
// endpoints that it had not admitted before.
func (p *Planner) recordAdmitted(s *step, admittedBefore int) {
	stored := min(len(s.admission.admitted), maxStoredAnswers)
	if stored > admittedBefore && s.storesAnswers() {
		p.markDirty(s.job)
	}
}
