package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// loadInterval is the time between two notes about the load of the cell.
const loadInterval = time.Second

// roundRecord records when rounds of placement took place since the last note about the load.
type roundRecord struct {
	rounds     int
	longestGap time.Duration
	notedAt    definer.Instant
}

// queueLoad is what a queue uses and waits for, in thousandths of a core.
type queueLoad struct {
	Priority int   `json:"priority"`
	Running  int64 `json:"running"`
	// Stopping is what runs use that are being stopped.
	Stopping int64 `json:"stopping"`
	Waiting  int64 `json:"waiting"`
	// Steps and Gangs count the steps that wait, and those of them that are gangs.
	Steps int `json:"steps"`
	Gangs int `json:"gangs"`
	// Delay is what its jobs have waited lately beyond one decision of their policy, in milliseconds.
	Delay int64 `json:"delay"`
	// Deferred is what work waits for that yields to useful work.
	Deferred int64 `json:"deferred"`
}

// noteLoad notes what uses the cell and what waits for it, once in each loadInterval.
func (ps *pass) noteLoad() {
	p := ps.planner
	record := &p.roundsNoted
	if record.notedAt == 0 {
		record.notedAt = ps.now
	}
	record.rounds++
	record.longestGap = max(record.longestGap, ps.sinceLastRound)
	if ps.now.Sub(record.notedAt) < loadInterval {
		return
	}
	var capacity, free, reserved modeler.Resources
	reservedEndpoints := 0
	for _, e := range ps.usable {
		capacity, free = capacity.Add(e.Capacity), free.Add(e.free())
		if e.reservedFor != nil {
			reservedEndpoints++
			reserved = reserved.Add(e.reservedIdle())
		}
	}
	tasks, ofLargest := p.OpenTasks()
	p.note("load", "", "open tasks", tasks, "of the largest job", ofLargest, "usable", len(ps.usable), "capacity", capacity.Millis, "free", free.Millis, "reserved", reservedEndpoints, "reserved free", reserved.Millis,
		"gangs reserving", ps.reserved.gangs, "gangs without room", ps.waitingGangs, "explorations", ps.explorations.out, "renewals", ps.renewals.out,
		"rounds", record.rounds, "longest gap", record.longestGap, "queues", p.queueLoads())
	*record = roundRecord{notedAt: ps.now}
}

// queueLoads returns the loads of the queues that have running or waiting tasks.
func (p *Planner) queueLoads() map[string]*queueLoad {
	loads := map[string]*queueLoad{}
	of := func(j *job) *queueLoad {
		load := loads[j.Queue.Name]
		if load == nil {
			load = &queueLoad{Priority: j.Queue.Priority}
			loads[j.Queue.Name] = load
		}

		return load
	}
	for _, e := range p.ordered {
		for _, r := range e.runs {
			switch {
			case r.task == nil:
			case r.phase == phaseStopping || r.phase == phaseStopped:
				of(r.task.step.job).Stopping += r.need.Millis
			default:
				of(r.task.step.job).Running += r.need.Millis
			}
		}
	}
	for s := range p.readySteps {
		if s.pendingCount == 0 {
			continue
		}
		load := of(s.job)
		load.Steps++
		load.Waiting += s.need().Scale(int64(s.pendingCount)).Millis
		if s.urgency > urgencyLate {
			load.Deferred += s.need().Scale(int64(s.pendingCount)).Millis
		}
		if s.def.Gang {
			load.Gangs++
		}
	}
	for name, load := range loads {
		load.Delay = p.stats(name).delay.typical(p.now, true).Milliseconds()
	}

	return loads
}

// OpenTasks returns the number of tasks that the owner keeps in memory, and that of the job with the most.
func (p *Planner) OpenTasks() (total, largest int) {
	for _, j := range p.jobs {
		tasks := 0
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				tasks += len(s.tasks)
			}
		}
		total, largest = total+tasks, max(largest, tasks)
	}

	return total, largest
}
