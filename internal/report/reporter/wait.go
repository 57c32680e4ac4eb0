package reporter

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Wait is the distribution of the times between the admission of jobs and the
// start of their first task.
type Wait struct {
	Team  modeler.TeamID  `json:"team"`
	Queue modeler.QueueID `json:"queue"`
	Jobs  int64           `json:"jobs"`
	// The quantiles are in seconds.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Pending counts the admitted jobs that have not started.
	Pending int64 `json:"pending"`
}

// The range of the histograms in microseconds, with three significant digits.
const (
	lowest  = 1
	highest = int64(7 * 24 * time.Hour / time.Microsecond)
	digits  = 3
)

// level identifies a distribution.
type level struct {
	team  modeler.TeamID
	queue modeler.QueueID
}

// Waits derives the distributions from decision records.
func Waits(records []modeler.Record) []Wait {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b modeler.Record) int { return a.Time.Compare(b.Time) })
	admitted := map[modeler.JobID]modeler.Record{}
	histograms := map[level]*hdrhistogram.Histogram{}
	for _, record := range sorted {
		first, open := admitted[record.Job]
		switch {
		case record.Job == "":
		case record.Event == modeler.EventAdmitted:
			admitted[record.Job] = record
		case !open:
		case record.Event == modeler.EventStarted || record.Event == modeler.EventAdopted:
			observe(histograms, first, record.Time)
			delete(admitted, record.Job)
		case record.Event == modeler.EventCancelled || record.Event == modeler.EventFailed:
			delete(admitted, record.Job)
		}
	}

	return summarize(histograms, admitted)
}

// observe adds the wait of a job; waits beyond the range count as its end.
func observe(histograms map[level]*hdrhistogram.Histogram, first modeler.Record, started time.Time) {
	k := level{first.Team, first.Queue}
	if histograms[k] == nil {
		histograms[k] = hdrhistogram.New(lowest, highest, digits)
	}
	wait := min(max(started.Sub(first.Time).Microseconds(), lowest), highest)
	// The value is within the range, the only thing that can fail.
	_ = histograms[k].RecordValue(wait)
}

// summarize returns the quantiles, sorted by team and queue.
func summarize(histograms map[level]*hdrhistogram.Histogram, pending map[modeler.JobID]modeler.Record) []Wait {
	waits := map[level]*Wait{}
	get := func(k level) *Wait {
		if waits[k] == nil {
			waits[k] = &Wait{Team: k.team, Queue: k.queue}
		}

		return waits[k]
	}
	seconds := func(microseconds int64) float64 { return float64(microseconds) / 1e6 }
	for k, h := range histograms {
		w := get(k)
		w.Jobs, w.Max = h.TotalCount(), seconds(h.Max())
		w.P50, w.P95, w.P99 = seconds(h.ValueAtQuantile(50)), seconds(h.ValueAtQuantile(95)), seconds(h.ValueAtQuantile(99))
	}
	for _, record := range pending {
		get(level{record.Team, record.Queue}).Pending++
	}
	list := make([]Wait, 0, len(waits))
	for _, w := range waits {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b Wait) int {
		return cmp.Or(strings.Compare(string(a.Team), string(b.Team)), strings.Compare(string(a.Queue), string(b.Queue)))
	})

	return list
}
