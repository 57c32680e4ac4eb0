package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// minStallTimeout is how long a task may make no progress before it is moved to another endpoint.
	minStallTimeout = 2500 * time.Millisecond
	// completePercent is the progress of a task that has finished its work.
	completePercent = 100
	// stallEstimateShare is the share of the likely longest run time that replaces minStallTimeout for long tasks.
	stallEstimateShare = 0.4
)

// Report processes an endpoint's inventory. sent is when the renewal was sent;
// the inventory is at least as recent.
func (p *Planner) Report(id string, sent, now definer.Instant, report definer.Report) {
	p.now = now
	e := p.endpoints[id]
	if e == nil {
		return
	}
	p.keepEndpoint(e)
	e.replaced, e.missing = false, false
	if e.life != 0 && report.Born != e.life {
		if report.Born < e.life {
			return // A delayed answer from before the restart.
		}
		p.endpointRestarted(e, report.Born, now)
	}
	e.life = report.Born
	e.previousReport, e.reportedAt = e.reportedAt, now
	if e.entry == entryAbsent {
		p.storeEndpoint(e)
	}
	p.inventorySent = sent
	if !e.acceptedTerm {
		e.acceptedTerm = true
		p.note("endpoint held", "", "endpoint", e.ID, "running", len(report.Running), "ended", len(report.Ended), "more ends", report.MoreEnds)
	}
	if sent > e.lastAnswered {
		e.lastAnswered = sent
		e.lastSent = max(e.lastSent, sent)
		e.clock, e.clockAt = report.Clock, now
	}
	if sent >= e.lastAnswered {
		e.listsEnds = len(report.Ended) > 0
	}
	listed := make(map[runKey]bool, len(report.Running))
	for _, row := range report.Running {
		listed[runKey{row.Task, row.Run}] = true
		p.runListed(e, row, now)
	}
	known := p.processEnds(e, report.Ended, now)
	p.recordListedEnds(e, report.MoreEnds && !known)
	for key, r := range e.runs {
		if !listed[key] && !report.MoreEnds {
			p.runMissing(r, sent)
		}
		if r.phase == phaseStopping && now.Sub(r.stopSentAt) > stopReissueDelay || r.phase == phaseStopped && now.Sub(r.stopSentAt) > stopResendDelay {
			// The caller no longer repeats the stop, or the endpoint answered it but did not carry it out.
			r.phase = phaseRunning
			p.stopRun(r)
		}
	}
}

// recordListedEnds records whether ends that e had before it accepted the term may
// still follow in later reports.
func (p *Planner) recordListedEnds(e *endpoint, moreFollow bool) {
	if !e.inherited || e.endsListed {
		return
	}
	e.endsListed = !moreFollow
	if _, waited := p.listingEnds[e]; moreFollow {
		p.listingEnds[e] = struct{}{}
	} else if waited {
		delete(p.listingEnds, e)
		p.note("ends of endpoint listed", "", "endpoint", e.ID, "through", e.lastEnd)
	}
}

// processEnds processes the ends of a report that are new, and reports whether one is
// that of a run that the owner knew. Ends are listed in their order, and such a run
// was still active when the owner first heard of the endpoint or later, so all ends
// that the endpoint had then have been listed.
func (p *Planner) processEnds(e *endpoint, ended []definer.EndedTask, now definer.Instant) (known bool) {
	before := e.lastEnd
	for _, row := range ended {
		if row.Number <= e.lastEnd {
			continue
		}
		e.lastEnd = row.Number
		known = known || e.runs[runKey{row.Task, row.Run}] != nil
		p.runEnded(e, row, now)
	}
	if e.lastEnd > before {
		p.unacknowledged[e] = struct{}{}
		e.reportedEnds = append(e.reportedEnds, reportedEnd{number: e.lastEnd, change: p.changes})
	}

	return known
}

// runListed processes a running task of the inventory.
func (p *Planner) runListed(e *endpoint, row definer.RunningTask, now definer.Instant) {
	r := e.runs[runKey{row.Task, row.Run}]
	if r == nil {
		r = p.adopt(e, row, now)
	}
	r.confirmed = true
	p.runBegun(r, now)
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if r.phase == phaseSent {
		r.phase, r.answeredAt, r.progressedAt = phaseRunning, now, now
	}
	if row.Percent != r.percent {
		r.percent, r.progressedAt = row.Percent, now
	}
	if r.phase == phaseRunning {
		p.checkProgress(r, now)
	}
}

// checkProgress stops a run that makes no progress and puts its endpoint in
// quarantine, so that the task starts again on another endpoint.
func (p *Planner) checkProgress(r *run, now definer.Instant) {
	t := r.task
	if t == nil || t.step.def.LongRunning {
		return
	}
	if t.step.def.Gang && (r.percent >= completePercent || !t.step.allMembersRunning(now)) {
		// A member that has finished its part, or whose gang is not complete yet, waits for the other members.
		return
	}
	limit := max(minStallTimeout, time.Duration(stallEstimateShare*float64(p.highRunTime(t.step, now))))
	if now.Sub(r.progressedAt) < limit {
		return
	}
	e := r.endpoint
	p.note("task stands still", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number,
		"percent", r.percent, "for", now.Sub(r.progressedAt))
	e.beginQuarantine(now)
	t.avoidEndpoint(e, now)
	r.stalledSince = r.progressedAt
	p.stopRun(r)
}

// allMembersRunning reports whether all members of the gang's run are confirmed
// and the run is older than minStallTimeout.
func (s *step) allMembersRunning(now definer.Instant) bool {
	for _, t := range s.tasks {
		if !t.done && (t.run == nil || !t.run.confirmed) {
			return false
		}
	}

	return now.Sub(s.gangSince) > minStallTimeout
}

// adopt adds a run that the owner did not know. It becomes the run of its task
// if mayContinue allows it; otherwise it is stopped.
func (p *Planner) adopt(e *endpoint, row definer.RunningTask, now definer.Instant) *run {
	p.openReported(row.Task)
	r := &run{name: row.Task, number: row.Run, endpoint: e, phase: phaseRunning, sentAt: now, answeredAt: now,
		progressedAt: now, percent: row.Percent, checkpoint: row.Checkpoint, confirmed: true, adopted: true}
	t := p.task(row.Task)
	r.task = t
	if t != nil {
		r.need, r.account = t.step.need(), p.account(t.step.job.Account)
	}
	e.addRun(r)
	if t != nil {
		p.stats(t.step.job.Queue.Name).running += r.need.Millis
	}
	p.noteListedOverlap(r, now)
	if t == nil || !p.mayContinue(t, row.Run) {
		p.note("unexpected run", row.Task.Job, "endpoint", e.ID, "step", row.Task.Step, "index", row.Task.Index, "run", row.Run)
		p.stopRun(r)

		return r
	}
	s := t.step
	t.run = r
	p.raiseLastRun(t, row.Run)
	if s.def.Gang {
		s.gangRun, s.gangSince = row.Run, now
	}

	return r
}

// mayContinue reports whether an unknown run of t may become the run of t.
func (p *Planner) mayContinue(t *task, number int) bool {
	j := t.step.job
	if t.done || t.run != nil || j.cancelling || j.state.Final() || number <= t.writtenOff {
		return false
	}

	return !t.step.def.Gang || t.step.gangRun == 0 || t.step.gangRun == number
}

// runMissing handles a run that the inventory does not list. It is lost if the
// inventory was requested after the run's last order was answered.
func (p *Planner) runMissing(r *run, sent definer.Instant) {
	switch r.phase {
	case phaseRunning, phaseStopped:
		if sent > r.answeredAt {
			p.presumeOver(r, missingReason(r))
			p.writeOff(r)
		}
	case phaseSent, phaseStopping:
		// The order may still be carried out.
	}
}

// runEnded processes an ended task of the inventory. The end of an unknown run
// counts as well, and so does that of a run that was written off: the endpoint
// knows how the run ended, and the owner only concluded that it was lost.
func (p *Planner) runEnded(e *endpoint, row definer.EndedTask, now definer.Instant) {
	p.openReported(row.Task)
	r := e.runs[runKey{row.Task, row.Run}]
	t := p.task(row.Task)
	p.noteEndedOverlap(e, r, row, now)
	if r != nil {
		p.runBegun(r, now)
		p.release(r)
	}
	if t != nil {
		p.jobBegun(t.step.job)
	}
	if t == nil || t.done {
		if r != nil {
			p.requeue(r, row.Checkpoint)
		}

		return
	}
	if r == nil {
		if row.Run <= t.writtenOff {
			p.note("written-off run ended", row.Task.Job, "how", string(row.End), "endpoint", e.ID, "number", row.Number,
				"step", row.Task.Step, "index", row.Task.Index, "run", row.Run)
		}
		r = &run{task: t, name: row.Task, number: row.Run, endpoint: e, sentAt: now}
		p.raiseLastRun(t, row.Run)
	}
	r.task = t
	switch row.End {
	case definer.EndDone:
		p.runDone(r, now)
	case definer.EndFailed:
		p.runFailed(r, row, now)
	case definer.EndStopped, definer.EndLapsed, definer.EndBroken, definer.EndAlone:
		if row.End != definer.EndAlone {
			p.learnCensored(r, now)
		}
		if row.End == definer.EndAlone || row.End == definer.EndLapsed {
			p.note("run ended", row.Task.Job, "how", string(row.End), "endpoint", e.ID, "step", row.Task.Step, "index", row.Task.Index, "run", row.Run)
		}
		p.requeue(r, row.Checkpoint)
	}
}

// runDone processes a successful end. The end of one gang member completes all
// tasks of the gang.
func (p *Planner) runDone(r *run, now definer.Instant) {
	t := r.task
	s := t.step
	r.endpoint.recordSuccess()
	if s.def.LongRunning {
		p.requeue(r, "")

		return
	}
	p.learnFinished(r, now)
	if !s.def.Gang {
		if t.run != nil && t.run != r {
			p.stopRun(t.run)
		}
		p.taskDone(t, now)

		return
	}
	p.finishTasks(s, 0, s.def.Count, r.number, now)
}

// runFailed processes a failed end, which counts as an attempt. Once a task has
// used up the attempts of its queue, the job fails.
func (p *Planner) runFailed(r *run, row definer.EndedTask, now definer.Instant) {
	t := r.task
	s := t.step
	j := s.job
	p.learnCensored(r, now)
	if r.endpoint.recordFailure(j.ID, now) {
		p.note("endpoint in quarantine", "", "endpoint", r.endpoint.ID, "for", r.endpoint.quarantine)
	}
	t.avoidEndpoint(r.endpoint, now)
	if slices.Contains(t.failed, row.Run) {
		p.requeue(r, row.Checkpoint)

		return
	}
	t.recordFailed(row.Run)
	p.markDirty(j)
	p.note("task failed", j.ID, "endpoint", r.endpoint.ID, "step", s.index, "index", t.index, "run", row.Run, "attempts", len(t.failed), "most", j.Queue.MaxAttempts)
	if t.exhausted() && !j.state.Final() && !j.cancelling {
		p.requeue(r, row.Checkpoint)
		p.finish(j, definer.JobFailed, now)

		return
	}
	p.requeue(r, row.Checkpoint)
}

// recordFailed records that a run of t has failed. A long-running task has no limit on its
// attempts, and the list, which is stored, would grow for as long as the task runs.
func (t *task) recordFailed(number int) {
	if !t.step.def.LongRunning && !slices.Contains(t.failed, number) {
		t.failed = append(t.failed, number)
	}
}

// exhausted reports whether t has used up the attempts of its queue.
func (t *task) exhausted() bool {
	return !t.step.def.LongRunning && t.step.failedAttempts(t) >= max(t.step.job.Queue.MaxAttempts, 1)
}

// failedAttempts returns how many attempts of t, or of its gang, have failed.
func (s *step) failedAttempts(t *task) int {
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

// release removes a run from its endpoint and from the usage of its account.
func (p *Planner) release(r *run) {
	key := runKey{r.name, r.number}
	if r.endpoint.runs[key] != r {
		return
	}
	delete(r.endpoint.runs, key)
	r.endpoint.used = r.endpoint.used.Sub(r.need)
	if r.deferred {
		r.endpoint.deferredMillis -= r.need.Millis
	}
	if r.account == nil {
		r.endpoint.unknownRuns--

		return
	}
	s := r.task.step
	p.stats(s.job.Queue.Name).running -= r.need.Millis
	if r.task.activeRuns--; r.task.activeRuns == 0 && !r.task.done {
		s.pendingCount++
	}
	if s.placed[r.endpoint]--; s.placed[r.endpoint] <= 0 {
		delete(s.placed, r.endpoint)
	}
	def := s.def
	r.account.used = r.account.used.Sub(def.Need)
	r.endpoint.countKinds(def, -1)
}

// requeue makes the task of an ended run ready to start again from the
// checkpoint. The end of one gang member stops the others.
func (p *Planner) requeue(r *run, checkpoint string) {
	t := r.task
	if t == nil {
		return
	}
	p.saveCheckpoint(t, r.number, checkpoint)
	if t.run != r {
		p.makeReady(t.step)

		return
	}
	t.run = nil
	s := t.step
	if t.done || s.job.state.Final() || s.job.cancelling {
		return
	}
	p.markDirty(s.job)
	if s.def.Gang {
		p.stopGang(s)
	}
	p.makeReady(s)
}

// stopGang stops the members of a gang that still run. Without any, the gang
// may start again.
func (p *Planner) stopGang(s *step) {
	running := 0
	for _, t := range s.tasks {
		if t.run != nil {
			running++
			p.stopRun(t.run)
		}
	}
	if running == 0 {
		s.gangRun = 0
	}
}
