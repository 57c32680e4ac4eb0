package meter

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// summarize returns the results of a run.
func (r *run) summarize() Result {
	result := Result{
		Policy: r.policy.Name, Work: make(map[generator.Group]Work), Preempted: r.preempted, Lost: r.lostTime,
		ShareErrorMax: r.sampler.maxDistance, ShareRecovery: r.sampler.longestBelow,
		Violations: scheduler.Violations() + accountant.Violations() - r.priorViolations,
	}
	if r.sampler.boundSum > 0 {
		result.Packing = r.sampler.usedSum / r.sampler.boundSum
	}
	if r.sampler.distanceCount > 0 {
		result.ShareErrorMean = r.sampler.distanceSum / float64(r.sampler.distanceCount)
	}
	if r.cpuTime > 0 {
		result.LostFraction = float64(r.lostTime) / float64(r.cpuTime)
	}
	for _, group := range generator.Groups() {
		result.Work[group] = r.summarizeGroup(group)
	}

	return result
}

// summarizeGroup returns the results of one group of work.
func (r *run) summarizeGroup(group generator.Group) Work {
	var work Work
	waits := hdrhistogram.New(1, int64(48*time.Hour/time.Millisecond), 3)
	for i := range r.Items {
		item, p := &r.Items[i], &r.progress[i]
		if item.Group != group || item.AlwaysFails || item.Job.Needs.Millis > r.sampler.largest.Millis || (p.cancelled && !p.started) {
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
		work.Failed += p.failedTasks
		if p.openTasks > 0 && !p.cancelled {
			work.Unfinished++
		}
		if deadline := item.Job.Deadline.Sub(r.Start); !item.Job.Deadline.IsZero() && !p.cancelled && deadline <= r.Length {
			work.WithDeadline++
			if p.finishedAt < 0 || p.finishedAt > deadline {
				work.MissedDeadline++
			}
		}
	}
	work.P50 = time.Duration(waits.ValueAtQuantile(50)) * time.Millisecond
	work.P99 = time.Duration(waits.ValueAtQuantile(99)) * time.Millisecond

	return work
}

// fluidMisses counts the deadline jobs that an ideal fluid schedule finishes
// late. The schedule divides the processor time of the cluster freely, knows all
// run times, and runs deadline work by earliest deadline before any other work.
// No schedule can finish in time what it cannot.
func fluidMisses(d generator.Deployment) int {
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
	missed := 0
	rate := float64(d.Total().Millis) / 1000
	const step = 10.0
	for now := 0.0; now < d.Length.Seconds(); now += step {
		capacity := rate * step
		for i := range loads {
			l := &loads[i]
			if l.arrive > now || l.work <= 0 {
				continue
			}
			done := min(l.work, capacity)
			l.work -= done
			capacity -= done
			if l.work <= 0 && now+step > l.deadline+step {
				missed++
			}
		}
	}
	for _, l := range loads {
		if l.work > 0 && l.deadline < d.Length.Seconds() {
			missed++
		}
	}

	return missed
}
