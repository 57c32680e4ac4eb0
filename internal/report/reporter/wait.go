package reporter

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Wait is the distribution of the time between the admission of a job and the start of
// its first task, for the jobs of a team on a queue.
type Wait struct {
	Team  modeler.TeamID  `json:"team"`
	Queue modeler.QueueID `json:"queue"`
	Jobs  int64           `json:"jobs"`
	// The quantiles and the maximum are in seconds.
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Pending is the number of admitted jobs that have not started.
	Pending int64 `json:"pending"`
}

// The range of the histograms in microseconds, and their precision in significant
// decimal digits.
const (
	minWaitMicros     = 1
	maxWaitMicros     = int64(7 * 24 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// levelKey identifies the distribution of a team on a queue.
type levelKey struct {
	team  modeler.TeamID
	queue modeler.QueueID
}

// Waits computes the distributions from decision records.
func Waits(records []modeler.Record) []Wait {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b modeler.Record) int { return a.Time.Compare(b.Time) })
	admitted := map[modeler.JobID]modeler.Record{}
	histograms := map[levelKey]*hdrhistogram.Histogram{}
	for _, record := range sorted {
		admission, pending := admitted[record.Job]
		switch {
		case record.Job == "":
		case record.Event == modeler.EventAdmitted:
			admitted[record.Job] = record
		case !pending:
		case record.Event == modeler.EventStarted || record.Event == modeler.EventAdopted:
			observe(histograms, admission, record.Time)
			delete(admitted, record.Job)
		case record.Event == modeler.EventCancelled || record.Event == modeler.EventFailed:
			delete(admitted, record.Job)
		}
	}

	return summarize(histograms, admitted)
}

// observe adds the wait of a job to its histogram. Waits outside the range of the
// histogram are clamped to it.
func observe(histograms map[levelKey]*hdrhistogram.Histogram, admission modeler.Record, started time.Time) {
	k := levelKey{admission.Team, admission.Queue}
	if histograms[k] == nil {
		histograms[k] = hdrhistogram.New(minWaitMicros, maxWaitMicros, significantDigits)
	}
	wait := min(max(started.Sub(admission.Time).Microseconds(), minWaitMicros), maxWaitMicros)
	// RecordValue fails only for values outside the range.
	_ = histograms[k].RecordValue(wait)
}

// summarize returns the quantiles of the histograms, sorted by team and queue.
func summarize(histograms map[levelKey]*hdrhistogram.Histogram, pending map[modeler.JobID]modeler.Record) []Wait {
	waits := map[levelKey]*Wait{}
	get := func(k levelKey) *Wait {
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
		get(levelKey{record.Team, record.Queue}).Pending++
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
