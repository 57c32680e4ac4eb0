package estimator

import "math"

const (
	// initialSpeedVariance is the variance of the logarithm of the speed of an endpoint of which nothing is known.
	initialSpeedVariance = 0.1
	// knownSpeedVariance is the variance of a speed with which a run counts half for the run times.
	knownSpeedVariance = 0.02
	// speedDrift is the variance that a speed gains with each run, so that one that changes is learned again.
	speedDrift = 0.0015
	// meanGain is the least weight of an endpoint that a run has shown in the moving average of the speeds of its service.
	meanGain = 0.02
	// meanCorrection is the share of that average which is taken from a speed with each run.
	meanCorrection = 0.1
	// maxDeviations is the distance from what was expected, in standard deviations, up to which a run counts.
	maxDeviations = 2.0
	// minSpeed and maxSpeed bound the speeds.
	minSpeed, maxSpeed = 0.1, 5.0
	// initialWithinStep is the variance of the logarithms of the ratios of one step before any was seen, minWithinStep
	// the least, and withinStepGain the weight of a new run in the moving average.
	initialWithinStep = 0.16
	minWithinStep     = 0.001
	withinStepGain    = 0.01
	// maxSpeeds bounds the endpoints.
	maxSpeeds = 32768
)

// speed is the estimated speed of an endpoint.
type speed struct {
	// log is its logarithm, and variance that of the estimate.
	log, variance float64
	// mean is the moving average of log over the endpoints of the service, which is kept at 0. The runs only show the
	// product of speed and work: estimates that are all wrong alike must not make all endpoints look slow.
	mean    *meanSpeed
	service string
	// shard is the part of the summary that the endpoint belongs to.
	shard int
}

func (e *Estimator) newSpeed(endpoint, service string, factor, variance float64) *speed {
	mean := e.means[service]
	if mean == nil {
		mean = &meanSpeed{}
		e.means[service] = mean
	}

	return &speed{log: math.Log(factor), variance: variance, mean: mean, service: service, shard: shardOfSpeed(endpoint)}
}

// meanSpeed is the moving average of the logarithms of the speeds of a service.
type meanSpeed struct {
	log  float64
	runs float64
}

func (m *meanSpeed) add(log float64) {
	m.runs++
	m.log += max(meanGain, 1/m.runs) * (log - m.log)
}

// factor returns the speed.
func (s *speed) factor() float64 { return math.Exp(s.log) }

// Speed returns the speed of an endpoint; 1 is the mean.
func (e *Estimator) Speed(endpoint string) float64 {
	if s := e.speeds[endpoint]; s != nil {
		return s.factor()
	}

	return 1
}

// Forget drops what was learned of an endpoint.
func (e *Estimator) Forget(endpoint string) {
	if s := e.speeds[endpoint]; s != nil {
		delete(e.speeds, endpoint)
		e.shards.changed[s.shard] = true
	}
}

// certainty returns the weight of a run on the endpoints: the less is known of their speeds, the less the run
// says about its work.
func (e *Estimator) certainty(endpoints []string) float64 {
	if len(endpoints) == 0 {
		return 1
	}
	total := 0.0
	for _, id := range endpoints {
		if s := e.speeds[id]; s != nil {
			total += s.variance
		} else {
			total += initialSpeedVariance
		}
	}

	return 1 / (1 + total/float64(len(endpoints))/knownSpeedVariance)
}

// Retain drops what was learned of the endpoints that are not to be kept.
func (e *Estimator) Retain(keep func(endpoint string) bool) {
	for id := range e.speeds {
		if !keep(id) {
			e.Forget(id)
		}
	}
}

// observeSpeed learns the speed of the endpoint of a run whose ratio has the logarithm raw.
// The work of the run is predicted from its key and from the other runs of its step;
// the more these differ among themselves, the less the run says about the endpoint.
func (e *Estimator) observeSpeed(r *Run, raw float64) {
	id := r.Endpoints[0]
	s := e.speeds[id]
	if s == nil {
		if len(e.speeds) >= maxSpeeds {
			return
		}
		s = e.newSpeed(id, r.Service, 1, initialSpeedVariance)
		e.speeds[id] = s
	}
	work, noise := e.expectedWork(r)
	s.update(work-raw, noise)
	e.shards.changed[s.shard] = true
}

// update corrects the speed by an observation of its logarithm with the variance noise.
func (s *speed) update(observed, noise float64) {
	s.variance += speedDrift
	total := s.variance + noise
	limit := maxDeviations * math.Sqrt(total)
	gain := s.variance / total
	s.log += gain*min(max(observed-s.log, -limit), limit) - meanCorrection*s.mean.log
	s.variance *= 1 - gain
	s.log = min(max(s.log, math.Log(minSpeed)), math.Log(maxSpeed))
	s.mean.add(s.log)
}

// expectedWork returns the expected logarithm of the ratio of a run on an endpoint of speed 1,
// and the variance of the run's around it.
func (e *Estimator) expectedWork(r *Run) (mean, variance float64) {
	prediction := e.Predict(r.Key)
	mean = math.Log(prediction.Median)
	between := max(prediction.Spread*prediction.Spread, minWithinStep)
	within := e.withinStep(r.Key.Queue)
	if r.Step == nil || r.Step.runs == 0 {
		return mean, max(between, within)
	}
	ofKey, ofStep := 1/between, float64(r.Step.runs)/within

	return (mean*ofKey + r.Step.mean*ofStep) / (ofKey + ofStep), 1/(ofKey+ofStep) + within
}

func (e *Estimator) withinStep(queue string) float64 {
	if variance, known := e.withinSteps[queue]; known {
		return variance
	}

	return initialWithinStep
}

// recordInStep adds a run whose ratio on an endpoint of speed 1 has the logarithm to those of its step.
func (e *Estimator) recordInStep(r *Run, ratio float64) {
	s := r.Step
	if s.runs > 0 {
		variance := e.withinStep(r.Key.Queue)
		deviation := ratio - s.mean
		// The mean of n runs has a variance of its own.
		seen := min(deviation*deviation*float64(s.runs)/float64(s.runs+1), maxDeviations*maxDeviations*variance)
		e.withinSteps[r.Key.Queue] = max(variance+withinStepGain*(seen-variance), minWithinStep)
	}
	s.runs++
	s.mean += (ratio - s.mean) / float64(s.runs)
}
