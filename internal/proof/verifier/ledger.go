package verifier

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// ordered returns the events by time. Ends come before starts of the same
// time, because the end of one task may make room for the next.
func ordered(events []worker.Event) []worker.Event {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b worker.Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(rank(a.Kind), rank(b.Kind)))
	})

	return events
}

func rank(kind worker.Kind) int {
	if kind == worker.KindEnd || kind == worker.KindAnswer {
		return 0
	}

	return 1
}

// taskKey identifies a task, as the ledger has it.
type taskKey struct {
	team modeler.TeamID
	job  modeler.JobID
	task modeler.TaskID
}

func keyOf(event worker.Event) taskKey { return taskKey{event.Team, event.Job, event.Task} }

// fleet is the state of all endpoints while their events are gone through.
type fleet struct {
	report   *Report
	evidence Evidence
	running  map[taskKey]modeler.InstanceID
	used     map[modeler.InstanceID]modeler.Resources
	capacity map[modeler.InstanceID]modeler.Resources
	teams    map[modeler.TeamID]modeler.Resources
	leaving  map[modeler.InstanceID]time.Time
}

// checkLedgers goes through the events in the order of their times.
func checkLedgers(report *Report, evidence Evidence) {
	f := &fleet{
		report: report, evidence: evidence,
		running:  make(map[taskKey]modeler.InstanceID),
		used:     make(map[modeler.InstanceID]modeler.Resources),
		capacity: make(map[modeler.InstanceID]modeler.Resources),
		teams:    make(map[modeler.TeamID]modeler.Resources),
		leaving:  make(map[modeler.InstanceID]time.Time),
	}
	for _, event := range ordered(evidence.Events) {
		f.apply(event)
	}
}

func (f *fleet) apply(event worker.Event) {
	switch event.Kind {
	case worker.KindUp:
		f.capacity[event.Endpoint] = event.Needs
		delete(f.leaving, event.Endpoint)
	case worker.KindLeave:
		f.leaving[event.Endpoint] = event.Time
		// Counted even if no work comes after it, which is the usual case.
		f.report.Counts[CheckLeaving]++
	case worker.KindStart:
		key := keyOf(event)
		other, twice := f.running[key]
		f.report.checkf(CheckOnePlace, !twice, "task %s of job %s was started on %s at %s while it ran on %s",
			event.Task, event.Job, event.Endpoint, event.Time.Format(time.StampMicro), other)
		f.running[key] = event.Endpoint
		f.add(event)
	case worker.KindCall:
		f.add(event)
	case worker.KindEnd:
		if f.running[keyOf(event)] == event.Endpoint {
			delete(f.running, keyOf(event))
		}
		f.remove(event)
	case worker.KindAnswer:
		f.remove(event)
	case worker.KindDown, worker.KindHello, worker.KindVoid:
	}
}

func (f *fleet) add(event worker.Event) {
	used := f.used[event.Endpoint].Add(event.Needs)
	f.used[event.Endpoint] = used
	f.report.checkf(CheckCapacity, used.Fits(f.capacity[event.Endpoint]), "%s has %s in use of %s at %s",
		event.Endpoint, used, f.capacity[event.Endpoint], event.Time.Format(time.StampMicro))
	team := f.teams[event.Team].Add(event.Needs)
	f.teams[event.Team] = team
	limit, known := f.evidence.Limits[event.Team]
	f.report.checkf(CheckLimit, known && team.Fits(limit), "team %q has %s running at %s, its limit is %s",
		event.Team, team, event.Time.Format(time.StampMicro), limit)
	if since, ok := f.leaving[event.Endpoint]; ok {
		age := event.Time.Sub(since)
		f.report.checkf(CheckLeaving, age <= f.evidence.LeavingBound, "%s got work %s after it began to leave",
			event.Endpoint, age)
	}
}

func (f *fleet) remove(event worker.Event) {
	f.used[event.Endpoint] = f.used[event.Endpoint].Sub(event.Needs)
	f.teams[event.Team] = f.teams[event.Team].Sub(event.Needs)
}
