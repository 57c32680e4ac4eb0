// Package estimator learns from finished runs how long tasks take in relation to
// their estimates, and how fast endpoints are. It performs no I/O and reads no clock.
package estimator

import (
	"container/list"
	"math"
	"time"
)

// Shape is what distinguishes the steps of an account that run the same image.
type Shape struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The encoder looks for this field.
	// Cores is the binary logarithm of the cores of a task, rounded up.
	Cores int8
	Gang  bool
}

// ShapeOf returns the shape of a step whose tasks need the processors, in thousandths of a core.
func ShapeOf(millis int64, gang bool) Shape {
	return Shape{Cores: int8(math.Ceil(math.Log2(math.Max(float64(millis), 1) / millisPerCore))), Gang: gang}
}

const millisPerCore = 1000

// Key is what run times are learned by.
type Key struct {
	Queue, Account, Image string
	Shape                 Shape
}

// level is how much of a key is used; the highest level uses all of it.
type level int8

const (
	levelQueue level = iota
	levelAccount
	levelImage
	levelShape
	levels
)

// levelKey is a key cut down to a level.
type levelKey struct {
	level level
	key   Key
}

// at returns the part of k that a level uses.
func (k Key) at(l level) levelKey {
	if l < levelShape {
		k.Shape = Shape{}
	}
	if l < levelImage {
		k.Image = ""
	}
	if l < levelAccount {
		k.Account = ""
	}

	return levelKey{l, k}
}

const (
	// minEvidence and minSteps are the weight of the samples and the number of steps from
	// which a key predicts; with less, the next coarser key does.
	minEvidence = 8.0
	minSteps    = 8
	// maxKeys bounds the keys of all levels; those without a sample for the longest time are dropped.
	maxKeys = 8192
	// minRun is the shortest run that counts, and maxRun the longest.
	minRun = 5 * time.Millisecond
	maxRun = 12 * time.Hour
	// plausibleRatio bounds the ratios that count, in both directions.
	plausibleRatio = 1000.0
)

// Estimator holds what was learned. It is not safe for concurrent use.
type Estimator struct {
	keys map[levelKey]*list.Element
	// recent holds the distributions, the one with the latest sample first.
	recent *list.List
	speeds map[string]*speed
	// means holds the mean logarithm of the speeds, by service.
	means map[string]*meanSpeed
	// withinSteps holds the variance of the logarithms of the ratios of runs of one step, by queue.
	withinSteps map[string]float64
	shards      shards
}

// New returns an estimator that has learned nothing.
func New() *Estimator {
	return &Estimator{keys: map[levelKey]*list.Element{}, recent: list.New(), speeds: map[string]*speed{}, means: map[string]*meanSpeed{}, withinSteps: map[string]float64{}}
}

// Run is a run that has ended, or whose end was not seen.
type Run struct {
	Key      Key
	Estimate time.Duration
	// Took is the time that the run took, or that it took at least if it is Censored.
	Took time.Duration
	// Censored means that the run did not do all of its work: it was stopped, has failed or was lost, or
	// it resumed from a checkpoint.
	Censored bool
	// Service is that of the endpoints.
	Service string
	// Endpoints are those of the run, more than one for a gang.
	Endpoints []string
	// Tasks is the number of tasks of the step that count by themselves; together they weigh its square root.
	Tasks int
	// Step is about the other runs of the step, or nil.
	Step *Step
}

// Step holds what the finished runs of one step have in common. Its zero value is that of
// a step without finished runs.
type Step struct {
	runs int
	// mean is the mean logarithm of the ratios, on an endpoint of speed 1.
	mean float64
	seen bool
}

// Observe learns from a run. It reports whether the run counts: implausible ones don't.
func (e *Estimator) Observe(r Run) bool {
	if r.Estimate <= 0 || r.Took < minRun || r.Took > maxRun {
		return false
	}
	raw := r.raw()
	if raw > plausibleRatio || raw < 1/plausibleRatio {
		return false
	}
	ratio := e.Ratio(&r)
	if !r.Censored && len(r.Endpoints) == 1 {
		e.observeSpeed(&r, math.Log(raw))
	}
	if !r.Censored && r.Step != nil {
		e.recordInStep(&r, math.Log(ratio))
	}
	weight := e.certainty(r.Endpoints) / math.Sqrt(float64(max(r.Tasks, 1)))
	first := r.Step == nil || !r.Step.seen
	if r.Step != nil {
		r.Step.seen = true
	}
	for l := range levels {
		d := e.distribution(r.Key.at(l))
		d.add(ratio, weight, r.Censored)
		if first {
			d.steps = min(d.steps+1, minSteps)
		}
		e.shards.changed[d.shard] = true
	}

	return true
}

// Ratio returns the work of a run as a multiple of its estimate.
func (e *Estimator) Ratio(r *Run) float64 { return r.raw() * e.slowest(r.Endpoints) }

// raw returns the time that the run took as a multiple of its estimate.
func (r *Run) raw() float64 { return r.Took.Seconds() / r.Estimate.Seconds() }

// slowest returns the lowest speed of the endpoints.
func (e *Estimator) slowest(endpoints []string) float64 {
	slowest := math.Inf(1)
	for _, id := range endpoints {
		slowest = min(slowest, e.Speed(id))
	}
	if math.IsInf(slowest, 1) {
		return 1
	}

	return slowest
}

// distribution returns the distribution of a key, which becomes the most recent one.
func (e *Estimator) distribution(key levelKey) *distribution {
	if element := e.keys[key]; element != nil {
		e.recent.MoveToFront(element)

		return valueOf(element)
	}
	if len(e.keys) >= maxKeys {
		oldest := e.recent.Back()
		e.recent.Remove(oldest)
		delete(e.keys, valueOf(oldest).key)
	}
	d := newDistribution(key)
	e.keys[key] = e.recent.PushFront(d)

	return d
}

// valueOf returns the distribution in an element of recent.
func valueOf(element *list.Element) *distribution {
	d, _ := element.Value.(*distribution)

	return d
}

// lookup returns the distribution of the finest key with enough evidence, or nil.
func (e *Estimator) lookup(key Key) *distribution {
	for l := levels - 1; l >= 0; l-- {
		if element := e.keys[key.at(l)]; element != nil {
			if d := valueOf(element); d.steps >= minSteps && d.evidence() >= minEvidence {
				return d
			}
		}
	}

	return nil
}

// Prediction tells how long a run takes, as multiples of its estimate on an endpoint of speed 1.
type Prediction struct {
	// Median and High are the 0.5 and 0.9 quantiles.
	Median, High float64
	// Spread is the standard deviation of the logarithm, by the quartiles.
	Spread float64
	// Learned means that the prediction is from samples; without, it is the estimate as given.
	Learned bool
}

// AsGiven is the prediction that the estimate is right.
var AsGiven = Prediction{Median: 1, High: 1, Spread: unknownSpread}

// unknownSpread is the spread of the ratios of a key of which nothing is known.
const unknownSpread = 0.5

// Predict returns the prediction for a key.
func (e *Estimator) Predict(key Key) Prediction {
	if d := e.lookup(key); d != nil {
		return d.predict()
	}

	return AsGiven
}

// Remaining returns a quantile of what a run that has taken spent still takes; both
// are multiples of the estimate on an endpoint of speed 1. It is 0 if the run has taken
// longer than the samples, and negative if it has taken longer than the estimate
// and nothing was learned.
func (e *Estimator) Remaining(key Key, spent, quantile float64) float64 {
	d := e.lookup(key)
	if d == nil {
		return 1 - spent
	}

	return max(d.quantileAbove(spent, quantile)-spent, 0)
}

// Learned returns how many keys and endpoints something is known of.
func (e *Estimator) Learned() (keys, endpoints int) { return len(e.keys), len(e.speeds) }
