package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
)

// predictionAge is how long the predictions for the steps of an occurrence are used.
const predictionAge = time.Second

// prediction returns the prediction for s. Those for all steps of the occurrence are made
// anew when they are older than predictionAge, as are the remaining paths.
func (p *Planner) prediction(s *step, now definer.Instant) *estimator.Prediction {
	if o := s.occurrence; o.predictedAt == 0 || now.Sub(o.predictedAt) >= predictionAge {
		o.predictedAt = now
		p.predict(o)
	}

	return &s.predicted
}

// predict makes the predictions for the steps of an occurrence, and its remaining paths if
// the order of waiting work follows the predictions.
func (p *Planner) predict(o *occurrence) {
	for _, s := range o.steps {
		s.predicted = estimator.AsGiven
		if p.learns() && s.tasksLeft > 0 {
			s.predicted = p.estimator.Predict(s.learningKey())
		}
	}
	if p.settings.Learn.Order {
		o.updatePaths()
	}
}

// updatePaths sets the remaining paths of the steps from the predicted medians.
func (o *occurrence) updatePaths() {
	for _, s := range o.steps {
		s.remainingPath = 0
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.remainingPath += time.Duration(s.predicted.Median * float64(s.def.Estimate))
		for _, dependency := range s.def.After {
			o.steps[dependency].remainingPath = max(o.steps[dependency].remainingPath, s.remainingPath)
		}
	}
}

// highRunTime returns the 0.9 quantile of the run time of a task of s on an endpoint of speed 1.
func (p *Planner) highRunTime(s *step, now definer.Instant) time.Duration {
	if !p.settings.Learn.Remaining {
		return s.def.Estimate
	}

	return time.Duration(p.prediction(s, now).High * float64(s.def.Estimate))
}

// highRank is the quantile that bounds a run time.
const highRank = 0.9

// remainingTime returns the time that a run still needs at most in nine cases of ten, from its
// progress or, early on, from what was learned about its step.
func (p *Planner) remainingTime(r *run, now definer.Instant) time.Duration {
	return p.remainingQuantile(r, highRank, now)
}

// remainingQuantile returns a quantile of the time that a run still needs.
func (p *Planner) remainingQuantile(r *run, quantile float64, now definer.Instant) time.Duration {
	elapsed := now.Sub(r.began())
	if r.percent >= minProgressPercent {
		return time.Duration(float64(elapsed) * float64(completePercent-r.percent) / float64(r.percent))
	}
	s := r.task.step
	if !p.settings.Learn.Remaining || s.def.Estimate <= 0 {
		return s.def.Estimate - elapsed
	}
	perEstimate := p.estimator.Speed(r.endpoint.ID) / s.def.Estimate.Seconds()
	remaining := p.estimator.Remaining(s.learningKey(), elapsed.Seconds()*perEstimate, quantile)

	return time.Duration(remaining / perEstimate * float64(time.Second))
}
