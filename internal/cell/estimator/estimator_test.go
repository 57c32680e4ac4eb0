package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const estimate = time.Second

var testKey = Key{Queue: "queue", Account: "account", Image: "image", Shape: ShapeOf(4000, false)}

// observe lets runs of the ratios end, each of a step of its own.
func observe(e *Estimator, key Key, censored bool, ratios ...float64) {
	for _, ratio := range ratios {
		e.Observe(Run{Key: key, Estimate: estimate, Took: time.Duration(ratio * float64(estimate)), Censored: censored, Tasks: 1, Step: &Step{}})
	}
}

func repeat(ratio float64, count int) []float64 {
	ratios := make([]float64, count)
	for i := range ratios {
		ratios[i] = ratio
	}

	return ratios
}

// within reports whether got is no more than the share away from want.
func within(got, want, share float64) bool { return math.Abs(got-want) <= share*want }

// TestColdStart guards against predictions from a few runs, and against keys without runs that
// get none from the coarser ones.
func TestColdStart(t *testing.T) {
	e := New()
	if got := e.Predict(testKey); got != AsGiven {
		t.Errorf("without runs: %+v", got)
	}
	observe(e, testKey, false, repeat(3, 6)...)
	if got := e.Predict(testKey); got.Learned {
		t.Errorf("after 6 runs: %+v", got)
	}
	observe(e, testKey, false, repeat(3, 10)...)
	other := testKey
	other.Account = "other"
	for _, key := range []Key{testKey, other} {
		if got := e.Predict(key); !got.Learned || !within(got.Median, 3, 0.03) || !within(got.High, 3, 0.03) {
			t.Errorf("%+v after 16 runs: %+v", key, got)
		}
	}
	other.Queue = "other"
	if got := e.Predict(other); got.Learned {
		t.Errorf("other queue: %+v", got)
	}
}

// TestOneStepIsNoEvidence guards against an estimate of one step, which is wrong for all of its
// tasks alike, that counts as what is known of the key.
func TestOneStepIsNoEvidence(t *testing.T) {
	e, step := New(), &Step{}
	for range 200 {
		e.Observe(Run{Key: testKey, Estimate: estimate, Took: 3 * estimate, Tasks: 200, Step: step})
	}
	if got := e.Predict(testKey); got.Learned {
		t.Errorf("after one step: %+v", got)
	}
}

// TestShiftIsLearned guards against old runs that outweigh new ones: after a customer's work
// has changed, the median follows within a hundred runs.
func TestShiftIsLearned(t *testing.T) {
	e := New()
	observe(e, testKey, false, repeat(1, 2000)...)
	observe(e, testKey, false, repeat(4, 100)...)
	if got := e.Predict(testKey); !within(got.Median, 4, 0.05) {
		t.Errorf("after 100 runs of the new length: %+v", got)
	}
	observe(e, testKey, false, repeat(0.5, 100)...)
	if got := e.Predict(testKey); !within(got.Median, 0.5, 0.05) || !within(got.High, 0.5, 0.05) {
		t.Errorf("after 100 shorter runs: %+v", got)
	}
}

// TestAccountUnlikeItsQueue guards against an account whose estimates are wrong that gets the
// predictions of its queue, or changes these for others.
func TestAccountUnlikeItsQueue(t *testing.T) {
	e := New()
	unlike := testKey
	unlike.Account = "unlike"
	for n := range 400 {
		key, ratio := testKey, 1.0
		key.Account = fmt.Sprintf("account-%d", n%10)
		if n%10 == 0 {
			key, ratio = unlike, 5
		}
		observe(e, key, false, ratio)
	}
	if got := e.Predict(unlike); !within(got.Median, 5, 0.05) {
		t.Errorf("account with wrong estimates: %+v", got)
	}
	if got := e.Predict(Key{Queue: "queue", Account: "new"}); !within(got.Median, 1, 0.05) {
		t.Errorf("new account of the queue: %+v", got)
	}
}

// TestStoppedRunsAreNoShortRuns guards against runs that were stopped early and make all runs
// look short: a third of them is stopped at a random time.
func TestStoppedRunsAreNoShortRuns(t *testing.T) {
	e, rng := New(), rand.New(rand.NewPCG(1, 1))
	for range 4000 {
		ratio, stopped := math.Exp(0.5*rng.NormFloat64()), 3*rng.Float64()
		observe(e, testKey, stopped < ratio, min(ratio, stopped))
	}
	got := e.Predict(Key{Queue: "queue", Account: "other"})
	if !within(got.Median, 1, 0.12) || !within(got.High, math.Exp(0.5*1.2816), 0.15) {
		t.Errorf("median and 0.9 quantile %.2f and %.2f, want 1 and 1.9", got.Median, got.High)
	}
}

// TestOnlyStoppedRuns guards against a prediction below what the runs have taken at least.
func TestOnlyStoppedRuns(t *testing.T) {
	e := New()
	observe(e, testKey, true, repeat(2, 40)...)
	if got := e.Predict(testKey); got.Median < 2 {
		t.Errorf("all runs took 2 at least: %+v", got)
	}
}

// TestTailDoesNotMoveQuantile guards against 3 runs in 100 that take seven times as long, or
// against single ones, that move the 0.9 quantile.
func TestTailDoesNotMoveQuantile(t *testing.T) {
	e, rng := New(), rand.New(rand.NewPCG(2, 2))
	moved := 0
	for n := range 3000 {
		ratio := 0.9 + 0.2*rng.Float64()
		if rng.Float64() < 0.03 {
			ratio *= 7
		}
		observe(e, testKey, false, ratio)
		if n > 100 && e.Predict(testKey).High > 1.25 {
			moved++
		}
	}
	if moved > 30 {
		t.Errorf("the 0.9 quantile is not that of the others after %d of 3000 runs", moved)
	}
}

// TestPoisonedSamples guards against a clock jump, a run of zero length or a run of a day that
// changes what was learned.
func TestPoisonedSamples(t *testing.T) {
	e := New()
	for n := range 100 {
		e.Observe(Run{Key: testKey, Estimate: estimate, Took: estimate, Endpoints: []string{[]string{"e", "other"}[n%2]}, Tasks: 1, Step: &Step{}})
	}
	before := e.Predict(testKey)
	for _, took := range []time.Duration{0, -time.Hour, time.Nanosecond, 24 * time.Hour, math.MaxInt64} {
		for range 20 {
			if e.Observe(Run{Key: testKey, Estimate: estimate, Took: took, Endpoints: []string{"e"}}) {
				t.Errorf("a run of %v counts", took)
			}
		}
	}
	e.Observe(Run{Key: testKey, Took: estimate})
	e.Observe(Run{Key: testKey, Estimate: estimate, Took: 900 * estimate, Endpoints: []string{"e"}})
	if got := e.Predict(testKey); got != before {
		t.Errorf("%+v before and %+v after", before, got)
	}
	if got := e.Speed("e") / e.Speed("other"); got < 0.9 {
		t.Errorf("speed %.2f after one run that took 900 times as long", got)
	}
}

// TestMemoryIsBounded guards against keys and endpoints that grow without bounds.
func TestMemoryIsBounded(t *testing.T) {
	e := New()
	for n := range 4 * maxKeys {
		key := Key{Queue: "queue", Account: fmt.Sprint(n)}
		e.Observe(Run{Key: key, Estimate: estimate, Took: estimate, Endpoints: []string{fmt.Sprint(n % (2 * maxSpeeds))}})
	}
	if keys, endpoints := e.Learned(); keys > maxKeys || endpoints > maxSpeeds {
		t.Errorf("%d keys, %d endpoints", keys, endpoints)
	}
	if got := e.Predict(Key{Queue: "queue"}); !got.Learned {
		t.Error("the key of the queue was dropped")
	}
}

// speedError returns the mean error of the learned speeds of 30 endpoints of the speeds 0.6, 1
// and 1.6, after runs of steps of the width whose estimates are off by the deviation.
func speedError(runs, width int, deviation float64) float64 {
	e, rng := New(), rand.New(rand.NewPCG(3, uint64(width)))
	speeds := [...]float64{0.6, 1, 1.6}
	for range runs / width {
		step, work := &Step{}, math.Exp(deviation*rng.NormFloat64())
		for range width {
			n := rng.IntN(30)
			took := time.Duration(work / speeds[n%3] * float64(estimate))
			e.Observe(Run{Key: testKey, Estimate: estimate, Took: took, Endpoints: []string{fmt.Sprint(n)}, Tasks: width, Step: step})
		}
	}
	mean, total := 0.0, 0.0
	for n := range 30 {
		mean += math.Log(e.Speed(fmt.Sprint(n))/speeds[n%3]) / 30
	}
	for n := range 30 {
		total += math.Abs(math.Log(e.Speed(fmt.Sprint(n))/speeds[n%3])-mean) / 30
	}

	return total
}

// TestSpeedIsLearnedApart guards against the speeds of endpoints that follow the errors of
// estimates: of work whose estimates are poor, a run says little about its endpoint, and
// those of one step say much.
func TestSpeedIsLearnedApart(t *testing.T) {
	for _, c := range []struct {
		runs, width     int
		deviation, most float64
	}{{900, 1, 0.1, 0.04}, {900, 1, 0.7, 0.2}, {900, 10, 0.7, 0.03}} {
		if got := speedError(c.runs, c.width, c.deviation); got > c.most {
			t.Errorf("%d runs in steps of %d with estimates off by %.1f: mean error %.3f, want %.2f", c.runs, c.width, c.deviation, got, c.most)
		}
	}
}

// TestSpeedChange guards against an endpoint that became slow and keeps its speed.
func TestSpeedChange(t *testing.T) {
	e := New()
	for n := range 400 {
		took := estimate
		if n >= 360 {
			took = 2 * estimate
		}
		e.Observe(Run{Key: testKey, Estimate: estimate, Took: estimate, Endpoints: []string{"same"}, Tasks: 1, Step: &Step{}})
		e.Observe(Run{Key: testKey, Estimate: estimate, Took: took, Endpoints: []string{"slow"}, Tasks: 1, Step: &Step{}})
	}
	if got := e.Speed("slow") / e.Speed("same"); got > 0.65 {
		t.Errorf("after 40 slow runs the speed is %.2f of the other's", got)
	}
}

// TestRemaining guards against a long run that counts as almost done.
func TestRemaining(t *testing.T) {
	e := New()
	if got := e.Remaining(testKey, 0.4, 0.9); !within(got, 0.6, 0.001) {
		t.Errorf("without samples %.2f", got)
	}
	for range 50 {
		observe(e, testKey, false, 1, 1, 1, 7)
	}
	for _, c := range []struct{ spent, quantile, want float64 }{{0, 0.5, 1}, {0, 0.9, 7}, {2, 0.5, 5}, {0.5, 0.5, 0.5}} {
		if got := e.Remaining(testKey, c.spent, c.quantile); !within(got, c.want, 0.06) {
			t.Errorf("after %.1f, the %.1f quantile of the rest is %.2f, want %.1f", c.spent, c.quantile, got, c.want)
		}
	}
}
