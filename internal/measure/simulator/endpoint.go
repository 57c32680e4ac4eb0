package simulator

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// runKey identifies a run on an endpoint.
type runKey struct {
	task definer.TaskName
	run  int
}

// run is a run on an endpoint.
type run struct {
	key      runKey
	endpoint *endpoint
	began    definer.Instant
	// gang is the run of the whole gang, or nil.
	gang *gangRun
	over bool
}

// gangRun is a run of a gang, whose work begins when all members are present.
type gangRun struct {
	members []*run
	begun   bool
}

// endpoint is a simulated endpoint.
type endpoint struct {
	cell    *cell
	listing definer.Listing
	speed   float64
	runs    map[runKey]*run
	used    modeler.Resources
	ended   []definer.EndedTask
	ends    int64
	// lastReport is when the last report was made; the renewal that the next one answers was sent then.
	lastReport definer.Instant
	// reporting means that a report is on its way.
	reporting bool
}

// poll makes a report in each pollInterval.
func (e *endpoint) poll() {
	e.report()
	e.cell.after(pollInterval, e.poll)
}

// report reports the inventory to the owner. All ends that were listed before count as
// acknowledged.
func (e *endpoint) report() {
	c := e.cell
	report := definer.Report{Clock: c.elapsed().Milliseconds(), Born: e.listing.Born, Ended: e.ended}
	for key, r := range e.runs {
		row := definer.RunningTask{Task: key.task, Run: key.run}
		if r.gang == nil || r.gang.begun {
			// Any change shows that the run makes progress.
			row.Percent = 1 + int(c.elapsed()/time.Second)%90
		}
		report.Running = append(report.Running, row)
	}
	sent := e.lastReport
	e.lastReport, e.ended, e.reporting = c.now, nil, false
	c.planner.Report(e.listing.ID, sent, c.now, report)
}

// end ends a run and lets the owner know.
func (e *endpoint) end(r *run, how definer.End) {
	if r.over {
		return
	}
	r.over = true
	delete(e.runs, r.key)
	e.used = e.used.Sub(e.cell.stepOf(r.key.task).Need)
	e.ends++
	e.ended = append(e.ended, definer.EndedTask{Number: e.ends, Task: r.key.task, Run: r.key.run, End: how})
	if !e.reporting {
		e.reporting = true
		e.cell.after(listTime, e.report)
	}
}

// start carries out a start and answers it.
func (e *endpoint) start(order definer.StartOrder) {
	c := e.cell
	verdict := definer.VerdictDone
	if !c.policies.valid(order, e) {
		verdict = definer.VerdictInvalidTicket
		c.result.InvalidTickets++
	} else {
		e.run(order)
	}
	c.after(callTime, func() { c.planner.StartAnswered(e.listing.ID, order, verdict, c.now) })
}

func (e *endpoint) run(order definer.StartOrder) {
	c := e.cell
	r := &run{key: runKey{order.Task, order.Run}, endpoint: e, began: c.now}
	e.runs[r.key] = r
	step := c.stepOf(order.Task)
	e.used = e.used.Add(step.Need)
	if !step.Need.Fits(e.listing.Capacity.Sub(e.used).Add(step.Need)) {
		c.result.OverCapacity++
	}
	j := c.jobs[order.Task.Job]
	c.result.started(j.class.Name, e.speed)
	if !step.Gang {
		how, work := j.drawEnd(c, order.Task, 1/e.speed)
		c.after(work, func() { e.end(r, how) })

		return
	}
	r.gang = j.joinGang(order, r)
	if len(r.gang.members) == step.Count {
		r.gang.begin(c, j)
	}
}

// begin begins the work of a gang, whose slowest member decides how long it takes.
func (g *gangRun) begin(c *cell, j *job) {
	g.begun = true
	slowest := g.members[0].endpoint.speed
	for _, m := range g.members {
		slowest = min(slowest, m.endpoint.speed)
	}
	how, work := j.drawEnd(c, g.members[0].key.task, 1/slowest)
	c.after(work, func() {
		if g.members[0].over {
			return
		}
		for i, m := range g.members {
			if how == definer.EndFailed && i > 0 {
				m.endpoint.end(m, definer.EndBroken)

				continue
			}
			m.endpoint.end(m, how)
		}
	})
}

// stop ends a run on order.
func (e *endpoint) stop(order definer.StopOrder) {
	c := e.cell
	if r := e.runs[runKey{order.Task, order.Run}]; r != nil {
		c.result.Stopped++
		e.end(r, definer.EndStopped)
	}
	c.after(callTime, func() { c.planner.StopAnswered(e.listing.ID, order, c.now) })
}
