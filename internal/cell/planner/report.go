package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// stallAfter is how long the progress of a task may stand still before it is moved.
	stallAfter = 2500 * time.Millisecond
	// wholePercent is the progress of a task that has done its work.
	wholePercent = 100
	// stallShare is the share of the estimate that stallAfter is raised to for long tasks.
	stallShare = 0.4
	// durationGain and speedGain are the weights of a new run time in the means.
	durationGain = 0.05
	speedGain    = 0.15
)

// Report takes an endpoint's inventory. sent is when the renewal was sent: the
// inventory is at least as new.
func (p *Planner) Report(id string, sent, now definer.Instant, report definer.Report) {
	p.now = now
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if e.life != 0 && report.Born != e.life {
		if report.Born < e.life {
			return // A delayed answer of an earlier life.
		}
		p.newLife(e, report.Born)
	}
	e.life = report.Born
	if !e.held {
		e.held = true
		p.note("endpoint held", "", "endpoint", e.ID, "running", len(report.Running), "ended", len(report.Ended))
	}
	if sent > e.answered {
		e.answered = sent
		e.sent = max(e.sent, sent)
		e.clock, e.clockAt = report.Clock, now
	}
	listed := make(map[runKey]bool, len(report.Running))
	for _, row := range report.Running {
		listed[runKey{row.Task, row.Run}] = true
		p.running(e, row, now)
	}
	for _, row := range report.Ended {
		if row.Number <= e.seen {
			continue
		}
		e.seen = row.Number
		p.ended(e, row, now)
	}
	for key, r := range e.runs {
		if !listed[key] {
			p.missing(r, sent)
		}
		if r.phase == phaseStopping && now.Sub(r.stopAt) > stopGivenUp || r.phase == phaseStopped && now.Sub(r.stopAt) > stopRepeat {
			// The stop was given up, or was answered and not carried out.
			r.phase = phaseRunning
			p.stop(r)
		}
	}
}

const (
	// StopRetryWindow is how long the caller repeats a stop that is not answered.
	StopRetryWindow = 7 * time.Second
	// stopGivenUp is when a stop that was not answered is asked for anew.
	stopGivenUp = StopRetryWindow + 2*time.Second
	// stopRepeat is when a stop that was answered is sent again while the run is still there.
	stopRepeat = 2 * time.Second
)

// running takes a row of the inventory.
func (p *Planner) running(e *endpoint, row definer.RunningTask, now definer.Instant) {
	r := e.runs[runKey{row.Task, row.Run}]
	if r == nil {
		r = p.adopt(e, row, now)
	}
	r.confirmed = true
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if r.phase == phaseSent {
		r.phase, r.settledAt, r.changedAt = phaseRunning, now, now
	}
	if row.Percent != r.percent {
		r.percent, r.changedAt = row.Percent, now
	}
	if r.phase == phaseRunning {
		p.watch(r, now)
	}
}

// watch moves a task whose progress stands still.
func (p *Planner) watch(r *run, now definer.Instant) {
	t := r.task
	if t == nil || t.step.def.LongRunning {
		return
	}
	if t.step.def.Gang && (r.percent >= wholePercent || !t.step.together(now)) {
		// A member that has done its part waits for the others.
		return
	}
	limit := max(stallAfter, time.Duration(stallShare*float64(t.step.def.Estimate)))
	if now.Sub(r.changedAt) < limit {
		return
	}
	e := r.endpoint
	p.note("task stands still", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number,
		"percent", r.percent, "for", now.Sub(r.changedAt))
	e.quarantine = min(max(e.quarantine*2, quarantineFirst), quarantineMost)
	e.quarantinedUntil = now.Add(e.quarantine)
	t.avoid = e
	p.stop(r)
}

// together reports whether all members of the gang's run are known to run.
func (s *step) together(now definer.Instant) bool {
	for _, t := range s.tasks {
		if !t.done && (t.run == nil || !t.run.confirmed) {
			return false
		}
	}

	return now.Sub(s.gangSince) > stallAfter
}

// adopt takes a run that the owner did not know. It becomes the task's run
// when the task has none; otherwise it is stopped.
func (p *Planner) adopt(e *endpoint, row definer.RunningTask, now definer.Instant) *run {
	r := &run{name: row.Task, number: row.Run, endpoint: e, phase: phaseRunning, sentAt: now, settledAt: now,
		changedAt: now, percent: row.Percent, checkpoint: row.Checkpoint, confirmed: true}
	t := p.task(row.Task)
	r.task = t
	if t != nil {
		r.need, r.account = t.step.need(), p.account(t.step.job.Account)
	}
	e.take(r)
	if t == nil || !p.wanted(t, row.Run) {
		p.note("unexpected run", row.Task.Job, "endpoint", e.ID, "step", row.Task.Step, "index", row.Task.Index, "run", row.Run)
		p.stop(r)

		return r
	}
	s := t.step
	t.run = r
	t.lastRun = max(t.lastRun, row.Run)
	s.placed[e]++
	s.job.begun = true
	if s.def.Gang {
		s.gang, s.gangSince = row.Run, now
	}

	return r
}

// wanted reports whether an unknown run of t may go on.
func (p *Planner) wanted(t *task, number int) bool {
	j := t.step.job
	if t.done || t.run != nil || j.cancelling || j.state.Final() || number <= t.writtenOff {
		return false
	}

	return !t.step.def.Gang || t.step.gang == 0 || t.step.gang == number
}

// missing takes note that the inventory does not list a run.
func (p *Planner) missing(r *run, sent definer.Instant) {
	switch r.phase {
	case phaseRunning, phaseStopped:
		if sent > r.settledAt {
			p.lose(r)
		}
	case phaseSent, phaseStopping:
		// The order may still be carried out.
	}
}

// ended takes an end.
func (p *Planner) ended(e *endpoint, row definer.EndedTask, now definer.Instant) {
	r := e.runs[runKey{row.Task, row.Run}]
	t := p.task(row.Task)
	if r != nil {
		p.release(r)
	}
	if t == nil || t.done || row.Run <= t.writtenOff && (t.run == nil || t.run != r) {
		if r != nil {
			p.requeue(r, row.Checkpoint)
		}

		return
	}
	if r == nil {
		r = &run{task: t, name: row.Task, number: row.Run, endpoint: e, sentAt: now}
		t.lastRun = max(t.lastRun, row.Run)
	}
	r.task = t
	switch row.End {
	case definer.EndDone:
		p.done(r, now)
	case definer.EndFailed:
		p.failed(r, row, now)
	case definer.EndStopped, definer.EndLapsed, definer.EndBroken, definer.EndAlone:
		if row.End == definer.EndAlone || row.End == definer.EndLapsed {
			p.note("run ended", row.Task.Job, "how", string(row.End), "endpoint", e.ID, "step", row.Task.Step, "index", row.Task.Index, "run", row.Run)
		}
		p.requeue(r, row.Checkpoint)
	}
}

// done takes a good end; one of a gang stands for all of its tasks.
func (p *Planner) done(r *run, now definer.Instant) {
	t := r.task
	s := t.step
	r.endpoint.doneOn()
	if s.def.LongRunning {
		p.requeue(r, "")

		return
	}
	if took, estimate := now.Sub(r.sentAt), s.def.Estimate; estimate > 0 && r.confirmed {
		ratio := min(max(took.Seconds()/estimate.Seconds(), 0.1), 10)
		q := p.stats(s.job.Queue.Name)
		r.endpoint.speed += speedGain * (min(q.duration/ratio, 3) - r.endpoint.speed)
		q.duration += durationGain * (ratio - q.duration)
	}
	if !s.def.Gang {
		if t.run != nil && t.run != r {
			p.stop(t.run)
		}
		p.taskDone(t, now)

		return
	}
	for _, member := range s.tasks {
		p.taskDone(member, now)
	}
}

// failed takes a failed end, which counts as an attempt.
func (p *Planner) failed(r *run, row definer.EndedTask, now definer.Instant) {
	t := r.task
	s := t.step
	j := s.job
	if r.endpoint.failedOn(j.ID, now) {
		p.note("endpoint in quarantine", "", "endpoint", r.endpoint.ID, "for", r.endpoint.quarantine)
	}
	t.avoid = r.endpoint
	for _, counted := range t.failed {
		if counted == row.Run {
			p.requeue(r, row.Checkpoint)

			return
		}
	}
	t.failed = append(t.failed, row.Run)
	p.dirty[j] = struct{}{}
	p.note("task failed", j.ID, "endpoint", r.endpoint.ID, "step", s.index, "index", t.index, "run", row.Run, "attempts", len(t.failed), "most", j.Queue.MaxAttempts)
	if !s.def.LongRunning && s.attempts(t) >= max(j.Queue.MaxAttempts, 1) && !j.state.Final() && !j.cancelling {
		p.requeue(r, row.Checkpoint)
		p.finish(j, definer.JobFailed, now)

		return
	}
	p.requeue(r, row.Checkpoint)
}

// attempts returns how many attempts of t, or of its gang, have failed.
func (s *step) attempts(t *task) int {
	if !s.def.Gang {
		return len(t.failed)
	}
	runs := map[int]struct{}{}
	for _, member := range s.tasks {
		for _, number := range member.failed {
			runs[number] = struct{}{}
		}
	}

	return len(runs)
}

// release frees what a run took.
func (p *Planner) release(r *run) {
	key := runKey{r.name, r.number}
	if r.endpoint.runs[key] != r {
		return
	}
	delete(r.endpoint.runs, key)
	r.endpoint.used = r.endpoint.used.Sub(r.need)
	if r.account == nil {
		r.endpoint.unknown--

		return
	}
	def := r.task.step.def
	r.account.used = r.account.used.Sub(def.Need)
	r.endpoint.count(def, -1)
}

// requeue makes the task of an ended run startable again.
func (p *Planner) requeue(r *run, checkpoint string) {
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	s := t.step
	if s.placed[r.endpoint]--; s.placed[r.endpoint] <= 0 {
		delete(s.placed, r.endpoint)
	}
	if t.done || s.job.state.Final() || s.job.cancelling {
		return
	}
	if s.def.Checkpointing && checkpoint != "" {
		t.checkpoint = checkpoint
		if s.def.Gang {
			for _, member := range s.tasks {
				member.checkpoint = checkpoint
			}
		}
	}
	p.dirty[s.job] = struct{}{}
	if s.def.Gang {
		p.disband(s)
	}
	p.makeReady(s)
}

// disband stops the other members of a gang when one has ended.
func (p *Planner) disband(s *step) {
	left := 0
	for _, t := range s.tasks {
		if t.run != nil {
			left++
			p.stop(t.run)
		}
	}
	if left == 0 {
		s.gang = 0
	}
}

// stop asks the endpoint to stop a run.
func (p *Planner) stop(r *run) {
	if r.phase == phaseStopping || r.phase == phaseStopped {
		return
	}
	r.phase, r.stopAt = phaseStopping, p.now
	p.emit(StopCmd{Target: r.endpoint.target(), Order: definer.StopOrder{Task: r.name, Run: r.number}})
}

// StartAnswered takes the answer to a start.
func (p *Planner) StartAnswered(id string, order definer.StartOrder, verdict definer.Verdict, now definer.Instant) {
	p.now = now
	e := p.endpoints[id]
	if e == nil {
		return
	}
	r := e.runs[runKey{order.Task, order.Run}]
	if r == nil || r.phase != phaseSent && r.phase != phaseStopping {
		return
	}
	switch verdict {
	case definer.VerdictDone:
		if r.phase == phaseSent {
			r.phase, r.changedAt = phaseRunning, now
		}
		r.settledAt, r.confirmed = now, true
	case definer.VerdictUnknown:
		e.doubt(r, now)
		if r.phase == phaseSent {
			p.note("start not answered", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number)
			p.strike(e, now)
			p.stop(r)
			if r.task != nil && r.task.step.def.Gang {
				// The others would wait for this member.
				p.disband(r.task.step)
			}
		}
	case definer.VerdictInvalidTicket:
		r.task.step.admission.expire(e)
		p.refused(r)
	case definer.VerdictFenced, definer.VerdictRefused, definer.VerdictMisdirected:
		p.note("start refused", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number, "verdict", int(verdict))
		p.strike(e, now)
		p.refused(r)
	}
}

// strike keeps work away from an endpoint that did not take a start.
func (p *Planner) strike(e *endpoint, now definer.Instant) {
	e.quarantinedUntil = max(e.quarantinedUntil, now.Add(strikePause))
}

// strikePause is how long an endpoint gets no work after it did not take a start.
const strikePause = 800 * time.Millisecond

// refused ends a run that was never started.
func (p *Planner) refused(r *run) {
	p.release(r)
	p.requeue(r, "")
}

// StopAnswered takes the answer to a stop. The run is over once an inventory that
// was asked for later does not list it.
func (p *Planner) StopAnswered(id string, order definer.StopOrder, now definer.Instant) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	r := e.runs[runKey{order.Task, order.Run}]
	if r == nil || r.phase != phaseStopping {
		return
	}
	r.phase, r.settledAt = phaseStopped, now
	if !r.confirmed {
		p.emit(InventoryCmd{Endpoint: id})
	}
}
