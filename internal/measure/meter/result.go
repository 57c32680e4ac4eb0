package meter

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// result sums up a run.
func (r *run) result() Result {
	result := Result{
		Policy: r.policy.Name, Work: make(map[generator.Group]Work), Preempted: r.preempted, Lost: r.lost,
		ShareErrorMax: r.samples.most, ShareRecovery: r.samples.longest,
		Violations: scheduler.Violations() + accountant.Violations() - r.faults,
	}
	if r.samples.bound > 0 {
		result.Packing = r.samples.used / r.samples.bound
	}
	if r.samples.samples > 0 {
		result.ShareErrorMean = r.samples.distance / float64(r.samples.samples)
	}
	if r.processor > 0 {
		result.LostFraction = float64(r.lost) / float64(r.processor)
	}
	for _, group := range generator.Groups() {
		result.Work[group] = r.work(group)
	}

	return result
}

// work sums up one group of work.
func (r *run) work(group generator.Group) Work {
	var work Work
	waits := hdrhistogram.New(1, int64(48*time.Hour/time.Millisecond), 3)
	for i := range r.Items {
		item, p := &r.Items[i], &r.progress[i]
		if item.Group != group || item.AlwaysFails || item.Job.Needs.Millis > r.samples.largest.Millis || (p.cancelled && !p.begun) {
			continue
		}
		work.Jobs++
		work.Tasks += item.Job.Tasks
		waited := p.waits
		if !p.cancelled {
			for range item.Job.Tasks - len(p.waits) {
				waited = append(waited, r.Length-item.Arrival)
			}
		}
		for _, wait := range waited {
			_ = waits.RecordValue(max(1, wait.Milliseconds()))
		}
		work.Failed += p.failed
		if p.open > 0 && !p.cancelled {
			work.Unfinished++
		}
		if deadline := item.Job.Deadline.Sub(r.Start); !item.Job.Deadline.IsZero() && !p.cancelled && deadline <= r.Length {
			work.WithDeadline++
			if p.finished < 0 || p.finished > deadline {
				work.MissedDeadline++
			}
		}
	}
	work.P50 = time.Duration(waits.ValueAtQuantile(50)) * time.Millisecond
	work.P99 = time.Duration(waits.ValueAtQuantile(99)) * time.Millisecond

	return work
}

// fluidLate counts the deadline jobs that an ideal schedule finishes late. The
// schedule divides the whole processor time freely, knows all run times, and
// serves dated work by earliest deadline before any other; what it cannot
// finish in time, no schedule can.
func fluidLate(d generator.Deployment) int {
	type load struct {
		arrive, deadline, work float64
	}
	var loads []load
	for _, item := range d.Items {
		if item.Job.Deadline.IsZero() || item.AlwaysFails || item.CancelAt > 0 {
			continue
		}
		var work time.Duration
		for _, runtime := range item.Runtimes {
			work += runtime
		}
		loads = append(loads, load{
			item.Arrival.Seconds(), item.Job.Deadline.Sub(d.Start).Seconds(), work.Seconds() * float64(item.Job.Needs.Millis) / 1000,
		})
	}
	slices.SortStableFunc(loads, func(a, b load) int { return int(a.deadline - b.deadline) })
	late := 0
	rate := float64(d.Total().Millis) / 1000
	const step = 10.0
	for now := 0.0; now < d.Length.Seconds(); now += step {
		room := rate * step
		for i := range loads {
			l := &loads[i]
			if l.arrive > now || l.work <= 0 {
				continue
			}
			done := min(l.work, room)
			l.work -= done
			room -= done
			if l.work <= 0 && now+step > l.deadline+step {
				late++
			}
		}
	}
	for _, l := range loads {
		if l.work > 0 && l.deadline < d.Length.Seconds() {
			late++
		}
	}

	return late
}
