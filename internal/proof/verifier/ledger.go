package verifier

import (
	"cmp"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// sortEvents returns a copy of the events sorted by time. Of events with the
// same time, ends come before starts, because a task may start in the room that
// the end of another one freed.
func sortEvents(events []worker.Event) []worker.Event {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b worker.Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(eventRank(a.Kind), eventRank(b.Kind)))
	})

	return events
}

func eventRank(kind worker.Kind) int {
	if kind == worker.KindEnd || kind == worker.KindAnswer {
		return 0
	}

	return 1
}

// taskKey identifies a task in the ledgers of the endpoints.
type taskKey struct {
	team modeler.TeamID
	job  modeler.JobID
	task modeler.TaskID
}

func taskKeyOf(event worker.Event) taskKey { return taskKey{event.Team, event.Job, event.Task} }

// clusterState is the state of all endpoints as of the event applied last.
type clusterState struct {
	report       *Report
	evidence     Evidence
	running      map[taskKey]modeler.InstanceID
	used         map[modeler.InstanceID]modeler.Resources
	capacity     map[modeler.InstanceID]modeler.Resources
	teams        map[modeler.TeamID]modeler.Resources
	leavingSince map[modeler.InstanceID]time.Time
}

// checkLedgers replays the events in the order of their times and checks the
// state after each.
func checkLedgers(report *Report, evidence Evidence) {
	c := &clusterState{
		report: report, evidence: evidence,
		running:      make(map[taskKey]modeler.InstanceID),
		used:         make(map[modeler.InstanceID]modeler.Resources),
		capacity:     make(map[modeler.InstanceID]modeler.Resources),
		teams:        make(map[modeler.TeamID]modeler.Resources),
		leavingSince: make(map[modeler.InstanceID]time.Time),
	}
	for _, event := range sortEvents(evidence.Events) {
		c.apply(event)
	}
}

func (c *clusterState) apply(event worker.Event) {
	switch event.Kind {
	case worker.KindUp:
		c.capacity[event.Endpoint] = event.Needs
		delete(c.leavingSince, event.Endpoint)
	case worker.KindLeave:
		c.leavingSince[event.Endpoint] = event.Time
		// Counted here because usually no work follows that would count it.
		c.report.Counts[CheckLeaving]++
	case worker.KindStart:
		key := taskKeyOf(event)
		current, alreadyRunning := c.running[key]
		c.report.checkf(CheckOnePlace, !alreadyRunning, "task %s of job %s was started on %s at %s while it ran on %s",
			event.Task, event.Job, event.Endpoint, event.Time.Format(time.StampMicro), current)
		c.running[key] = event.Endpoint
		c.add(event)
	case worker.KindCall:
		c.add(event)
	case worker.KindEnd:
		if c.running[taskKeyOf(event)] == event.Endpoint {
			delete(c.running, taskKeyOf(event))
		}
		c.remove(event)
	case worker.KindAnswer:
		c.remove(event)
	case worker.KindDown, worker.KindHello, worker.KindVoid:
	}
}

func (c *clusterState) add(event worker.Event) {
	used := c.used[event.Endpoint].Add(event.Needs)
	c.used[event.Endpoint] = used
	c.report.checkf(CheckCapacity, used.Fits(c.capacity[event.Endpoint]), "%s has %s in use of %s at %s",
		event.Endpoint, used, c.capacity[event.Endpoint], event.Time.Format(time.StampMicro))
	team := c.teams[event.Team].Add(event.Needs)
	c.teams[event.Team] = team
	limit, hasLimit := c.evidence.Limits[event.Team]
	c.report.checkf(CheckLimit, hasLimit && team.Fits(limit), "team %q has %s running at %s, its limit is %s",
		event.Team, team, event.Time.Format(time.StampMicro), limit)
	if since, ok := c.leavingSince[event.Endpoint]; ok {
		age := event.Time.Sub(since)
		c.report.checkf(CheckLeaving, age <= c.evidence.LeavingBound, "%s got work %s after it began to leave",
			event.Endpoint, age)
	}
}

func (c *clusterState) remove(event worker.Event) {
	c.used[event.Endpoint] = c.used[event.Endpoint].Sub(event.Needs)
	c.teams[event.Team] = c.teams[event.Team].Sub(event.Needs)
}
