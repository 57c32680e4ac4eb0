// Package executor simulates the users' endpoints. They run tasks under leases
// and fencing tokens, list the runs that have ended, and check each start against
// the jobs that callers have submitted.
package executor

import (
	"fmt"
	"iter"
	"strings"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Work describes the tasks of a submitted job. Its steps are equal and follow one
// another. The disrupter's report prints it with the names of its fields.
type Work struct {
	Account string
	Spec    string
	Count   int
	Need    modeler.Resources
	Length  time.Duration
	Gang    bool
	// Requires is a label that the endpoint must have; empty means any endpoint.
	Requires string
	// Attempts is the number of failures after which a task is not started again,
	// and Fails the number of runs of each task that fail.
	Attempts, Fails int
	// Steps is the number of steps; 0 counts as 1. Count is that of the tasks of each step.
	Steps int
	// PerEndpoint bounds the tasks of a step that run on one endpoint at a time; 0 means no bound.
	PerEndpoint int
	// Policy is the placement policy of the job's queue.
	Policy Policy
}

// steps returns the number of steps of the job.
func (w *Work) steps() int { return max(w.Steps, 1) }

// Job is a job as its caller knows it.
type Job struct {
	Work
	// Accepted means that a caller was told so, and Cancelling that its cancellation
	// was sent.
	Accepted, Cancelling bool
	// ended means that no task of the job waits any more.
	ended bool
	// Refused means that every attempt to submit the job was refused. Cancelled
	// means that its cancellation was acknowledged at CancelledAt.
	Refused     bool
	Cancelled   bool
	CancelledAt time.Time
	// ShownFinal is the first final state that a caller was shown, at ShownAt; it is
	// empty while there is none.
	ShownFinal string
	ShownAt    time.Time
	// shownLater is the last different state that was reported as a violation, so that
	// callers who keep asking do not repeat it.
	shownLater string
}

// runResult is the result of a run that has ended.
type runResult struct {
	outcome string
	// acknowledged means that the owner acknowledged the end of the run before the
	// endpoint's lease expired.
	acknowledged bool
}

// task is the state of a task over all endpoints.
type task struct {
	done bool
	runs int
	// results holds the results of the ended runs in their order, and
	// resultsAtStart their number at the last start.
	results        []*runResult
	resultsAtStart int
	// placements is the number of endpoints on which the task is running.
	placements int
	// history lists starts and ends for the report of a violation.
	history []string
}

// describe returns the id of a task with its history.
func (t *task) describe(id string) string { return id + ": " + strings.Join(t.history, ", ") }

// addHistory adds an event with the present time to the history of a task.
func (t *task) addHistory(event string) {
	t.history = append(t.history, time.Now().Format("15:04:05.000 ")+event)
}

// Ledger holds the jobs that callers submitted and the runs that endpoints
// executed, checks them against the scheduler's guarantees, and collects the
// violations.
type Ledger struct {
	mu    sync.Mutex
	jobs  map[string]*Job
	tasks map[string]*task
	used  map[string]modeler.Resources
	// limits are the resource limits of accounts. cancelBound is the time during
	// which tasks of a job may still start after its cancellation was acknowledged.
	limits      map[string]modeler.Resources
	cancelBound time.Duration
	violations  []string
	checks      map[string]int
}

// NewLedger returns an empty ledger. limits and cancelBound bound the resources
// of each account and the starts after a cancellation.
func NewLedger(limits map[string]modeler.Resources, cancelBound time.Duration) *Ledger {
	return &Ledger{
		jobs: map[string]*Job{}, tasks: map[string]*task{}, used: map[string]modeler.Resources{},
		limits: limits, cancelBound: cancelBound, checks: map[string]int{},
	}
}

// Expect adds a job. It is called before the job is submitted, because a start
// without a known job counts as a violation.
func (l *Ledger) Expect(id string, work Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &Job{Work: work}
}

// RecordRefusal records that every attempt to submit a job was refused; a run of
// the job is then a violation.
func (l *Ledger) RecordRefusal(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].Refused = true
	if l.hasStarted(id) {
		l.addViolation("refused job runs", id)
	}
	l.checks["refused job never runs"]++
}

// RecordCancellation records that the cancellation of a job was acknowledged.
func (l *Ledger) RecordCancellation(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].Cancelled, l.jobs[id].CancelledAt = true, time.Now()
}

// CheckCompleted checks that all tasks of a job that callers see as completed
// have ended successfully.
func (l *Ledger) CheckCompleted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkCompleted(id)
}

// checkCompleted is CheckCompleted for a caller that holds the lock.
func (l *Ledger) checkCompleted(id string) {
	l.checks["completed job is done"]++
	j := l.jobs[id]
	done := 0
	for step := range j.steps() {
		done += l.doneTasksOf(id, j, step)
	}
	if count := j.Count * j.steps(); done < count {
		l.addViolation("completed job is not done", fmt.Sprintf("%s: %d of %d tasks", id, done, count))
	}
}

// doneTasksOf returns the number of tasks of a step that have ended successfully;
// one such task counts for the whole gang. The caller holds the lock.
func (l *Ledger) doneTasksOf(id string, j *Job, step int) int {
	done := 0
	for index := range j.Count {
		if t := l.tasks[taskID(id, step, index)]; t != nil && t.done {
			done++
		}
	}
	if j.Gang && done > 0 {
		return j.Count
	}

	return done
}

// hasStarted reports whether a task of a job has run; the caller holds the lock.
func (l *Ledger) hasStarted(id string) bool {
	for t := range l.startedTasks(id) {
		if t.runs > 0 {
			return true
		}
	}

	return false
}

// startedTasks returns the tasks of a job that an endpoint was told to start; the
// caller holds the lock.
func (l *Ledger) startedTasks(id string) iter.Seq[*task] {
	return func(yield func(*task) bool) {
		j := l.jobs[id]
		for step := range j.steps() {
			for index := range j.Count {
				if t := l.tasks[taskID(id, step, index)]; t != nil && !yield(t) {
					return
				}
			}
		}
	}
}

// Violations returns the violations so far, each with its time.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]string(nil), l.violations...)
}

// Checks returns how often each guarantee was checked.
func (l *Ledger) Checks() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := make(map[string]int, len(l.checks))
	for name, count := range l.checks {
		checks[name] = count
	}

	return checks
}

// RecordViolation adds a violation that the caller has found itself.
func (l *Ledger) RecordViolation(guarantee, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(guarantee, detail)
}

// addViolation adds a violation; the caller holds the lock.
func (l *Ledger) addViolation(guarantee, detail string) {
	l.violations = append(l.violations, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), guarantee, detail))
}

// CountCheck counts a check that the caller has made itself.
func (l *Ledger) CountCheck(guarantee string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks[guarantee]++
}

// taskID returns the id of a task of a job that has one occurrence.
func taskID(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// recordStart records and checks a start and returns the work of the task, or
// false if no known job has the task with this spec.
func (l *Ledger) recordStart(job, taskName, spec, run string) (Work, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks["start"]++
	j := l.jobs[job]
	if j == nil || j.Spec != spec {
		l.addViolation("start that nobody asked for", taskName)

		return Work{}, false
	}
	t := l.tasks[taskName]
	if t == nil {
		t = &task{}
		l.tasks[taskName] = t
	}
	t.runs++
	t.placements++
	t.addHistory("start " + run)
	l.used[j.Account] = l.used[j.Account].Add(j.Need)
	switch {
	case t.placements > 1:
		l.addViolation("task in two places", t.describe(taskName))
	case j.Refused:
		l.addViolation("refused job runs", taskName)
	case j.Cancelled && time.Since(j.CancelledAt) > l.cancelBound:
		l.addViolation("cancelled job starts", taskName)
	}
	t.resultsAtStart = len(t.results)
	l.checkRestart(j, t, taskName)
	l.checkShownStart(j, t, taskName)
	l.checkOrder(job, j, taskName)
	if limit, ok := l.limits[j.Account]; ok && l.used[j.Account].Millis > limit.Millis+limit.Millis/10+j.Need.Millis {
		l.addViolation("account over its limit", fmt.Sprintf("%s uses %s of %s", j.Account, l.used[j.Account], limit))
	}

	return j.Work, true
}

// checkOrder checks that the step before that of a task that starts is done; the
// caller holds the lock.
func (l *Ledger) checkOrder(job string, j *Job, taskName string) {
	var step, index int
	if _, err := fmt.Sscanf(taskName, job+".0.%d.%d", &step, &index); err != nil || step >= j.steps() || index >= j.Count {
		l.addViolation("start that nobody asked for", taskName)

		return
	}
	if step > 0 && l.doneTasksOf(job, j, step-1) < j.Count {
		l.addViolation("task starts before the step before it is done", taskName)
	}
}

// checkRestart checks the last start of a task against the ends before it that
// the owner has acknowledged by now. It is called at the start and at each later
// acknowledgement; the caller holds the lock.
func (l *Ledger) checkRestart(j *Job, t *task, taskName string) {
	failed := 0
	for _, result := range t.results[:t.resultsAtStart] {
		if !result.acknowledged {
			continue
		}
		switch result.outcome {
		case endDone:
			l.addViolation("task starts after its end", t.describe(taskName))
			t.resultsAtStart = 0
		case endFailed:
			failed++
		}
	}
	if failed >= j.Attempts {
		l.addViolation("task starts after its last attempt", t.describe(taskName))
		t.resultsAtStart = 0
	}
}

// recordEnd records the end of a run.
func (l *Ledger) recordEnd(job, taskName, run, outcome string) *runResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[taskName]
	t.placements--
	t.addHistory(outcome + " " + run)
	l.used[l.jobs[job].Account] = l.used[l.jobs[job].Account].Sub(l.jobs[job].Need)
	t.done = t.done || outcome == endDone
	result := &runResult{outcome: outcome}
	t.results = append(t.results, result)

	return result
}

// recordAcknowledgement records that the owner acknowledged the end of a run.
func (l *Ledger) recordAcknowledgement(taskName string, result *runResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[taskName]
	t.addHistory(result.outcome + " noted")
	result.acknowledged = true
	if result.outcome == endDone {
		l.checks["acknowledged task starts no more"]++
	}
	l.checkRestart(l.jobs[jobID(taskName)], t, taskName)
}

// currentRunFails reports whether the current run of a task is to fail.
func (l *Ledger) currentRunFails(job, taskName string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.tasks[taskName].failures() < l.jobs[job].Fails
}
