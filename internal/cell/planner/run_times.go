package planner

import (
	"strconv"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
)

// runTimesInterval is the time between two notes about the learned run times.
const runTimesInterval = 10 * time.Second

// RunTimesNote is the event of the notes about the learned run times. Their argument after "queues" is a
// map of RunTimes by queue.
const RunTimesNote = "run times learned"

// RunTimes compares the runs of a queue that have ended with what was predicted when they began.
type RunTimes struct {
	// Done counts the runs that have done their work, and Censored the others that count.
	Done     int `json:"done"`
	Censored int `json:"censored"`
	// Predicted counts the runs that have done their work and had a prediction from samples, WithinMedian and WithinHigh
	// those of them that took no longer than its median and its 0.9 quantile.
	Predicted    int `json:"predicted"`
	WithinMedian int `json:"within median"`
	WithinHigh   int `json:"within high"`
	// Median and High are the last prediction, as multiples of the estimate.
	Median float64 `json:"median"`
	High   float64 `json:"high"`
	// ratios counts the predicted runs by the actual run time as a multiple of the predicted 0.9 quantile: up to
	// each of ratioBounds, and beyond.
	ratios [len(ratioBounds) + 1]int
}

// ratioBounds are the bounds of the histogram of actual run times, as multiples of the predicted 0.9 quantile.
var ratioBounds = [...]float64{0.25, 0.5, 0.75, 1, 1.5, 2, 4, 8}

// runTimesRecord holds the run times since the last note about them.
type runTimesRecord struct {
	queues  map[string]*RunTimes
	notedAt definer.Instant
}

// of returns the run times of a queue.
func (r *runTimesRecord) of(queue string) *RunTimes {
	if r.queues == nil {
		r.queues = map[string]*RunTimes{}
	}
	times := r.queues[queue]
	if times == nil {
		times = &RunTimes{}
		r.queues[queue] = times
	}

	return times
}

// add compares a run with its prediction. ratio is its work as a multiple of the estimate.
func (t *RunTimes) add(ratio float64, predicted *estimator.Prediction, censored bool) {
	if censored {
		t.Censored++

		return
	}
	t.Done++
	if !predicted.Learned {
		return
	}
	t.Predicted++
	t.Median, t.High = predicted.Median, predicted.High
	if ratio <= predicted.Median {
		t.WithinMedian++
	}
	if ratio <= predicted.High {
		t.WithinHigh++
	}
	bin := 0
	for bin < len(ratioBounds) && ratio > ratioBounds[bin]*predicted.High {
		bin++
	}
	t.ratios[bin]++
}

// counts adds the histogram and the other counts of a queue to those of a note.
func (t *RunTimes) counts(queue string, counts map[string]int64) {
	prefix := "run times of " + queue + ": "
	for i, count := range t.ratios {
		name := "more"
		if i < len(ratioBounds) {
			name = "up to " + strconv.FormatFloat(ratioBounds[i], 'g', -1, 64)
		}
		counts[prefix+name+" of the predicted 0.9 quantile"] = int64(count)
	}
	counts[prefix+"predicted"] = int64(t.Predicted)
	counts[prefix+"within the predicted median"] = int64(t.WithinMedian)
	counts[prefix+"within the predicted 0.9 quantile"] = int64(t.WithinHigh)
	counts[prefix+"censored"] = int64(t.Censored)
}

// noteRunTimes notes what was learned about run times, once in each runTimesInterval in which runs have ended.
func (p *Planner) noteRunTimes(now definer.Instant) {
	record := &p.runTimes
	if record.notedAt == 0 {
		record.notedAt = now
	}
	if len(record.queues) == 0 || now.Sub(record.notedAt) < runTimesInterval {
		return
	}
	counts := map[string]int64{}
	for queue, times := range record.queues {
		times.counts(queue, counts)
	}
	keys, endpoints := p.estimator.Learned()
	p.notes = append(p.notes, Note{Event: RunTimesNote, Args: []any{"queues", record.queues, "keys", keys, "endpoints", endpoints}, Counts: counts})
	*record = runTimesRecord{notedAt: now}
}
