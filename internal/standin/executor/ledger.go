// Package executor stands in for the users' endpoints: they run tasks under
// leases and fencing tokens, list what ended, and check each start against
// what the callers have asked for.
package executor

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Work is what a caller has asked for: the tasks of one step.
type Work struct {
	Account string
	Spec    string
	Count   int
	Need    modeler.Resources
	Length  time.Duration
	Gang    bool
	// Attempts is how often a task may fail, and Fails how often its runs do.
	Attempts, Fails int
}

// Job is what callers know of a job.
type Job struct {
	Work
	// Refused means that every attempt to submit the job was refused, and Cancelled
	// that its cancellation was acknowledged at CancelledAt.
	Refused     bool
	Cancelled   bool
	CancelledAt time.Time
}

// ending is the end of a run of a task.
type ending struct {
	how string
	// noted means that the owner acknowledged it before the endpoint's lease ran out.
	noted bool
}

// task is what the endpoints know of a task.
type task struct {
	done bool
	runs int
	// ends holds the ends of the runs, and prior how many there were at the last start.
	ends  []*ending
	prior int
	// hosts counts the endpoints on which the task runs now.
	hosts int
	// history lists starts and ends, for the report of a broken promise.
	history []string
}

// describe returns the name of a task with its history.
func (t *task) describe(name string) string { return name + ": " + strings.Join(t.history, ", ") }

// remember adds an event to the history of a task.
func (t *task) remember(event string) {
	t.history = append(t.history, time.Now().Format("15:04:05.000 ")+event)
}

// Ledger holds what callers asked for and what endpoints ran, and collects
// the broken promises.
type Ledger struct {
	mu    sync.Mutex
	jobs  map[string]*Job
	tasks map[string]*task
	used  map[string]modeler.Resources
	// limits are the accounts' limits; cancelBound is how long after its
	// acknowledged cancellation a task of a job may still start.
	limits      map[string]modeler.Resources
	cancelBound time.Duration
	broken      []string
	checks      map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger(limits map[string]modeler.Resources, cancelBound time.Duration) *Ledger {
	return &Ledger{
		jobs: map[string]*Job{}, tasks: map[string]*task{}, used: map[string]modeler.Resources{},
		limits: limits, cancelBound: cancelBound, checks: map[string]int{},
	}
}

// Expect makes a job known before it is submitted.
func (l *Ledger) Expect(id string, work Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &Job{Work: work}
}

// RecordRefusal notes that every attempt to submit a job was refused: it must never run.
func (l *Ledger) RecordRefusal(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].Refused = true
	if l.begun(id) {
		l.breach("refused job runs", id)
	}
	l.checks["refused job never runs"]++
}

// RecordCancellation notes that the cancellation of a job was acknowledged.
func (l *Ledger) RecordCancellation(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].Cancelled, l.jobs[id].CancelledAt = true, time.Now()
}

// CheckCompleted checks that all tasks of a job that is shown as completed are done.
func (l *Ledger) CheckCompleted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks["completed job is done"]++
	if done := l.done(id); done < l.jobs[id].Count {
		l.breach("completed job is not done", fmt.Sprintf("%s: %d of %d tasks", id, done, l.jobs[id].Count))
	}
}

// done counts the tasks of a job that have ended well; the caller holds the lock.
func (l *Ledger) done(id string) int {
	job := l.jobs[id]
	done := 0
	for index := range job.Count {
		if t := l.tasks[name(id, index)]; t != nil && t.done {
			done++
		}
	}
	if job.Gang && done > 0 {
		return job.Count
	}

	return done
}

func (l *Ledger) begun(id string) bool {
	for index := range l.jobs[id].Count {
		if t := l.tasks[name(id, index)]; t != nil && t.runs > 0 {
			return true
		}
	}

	return false
}

// Violations returns the broken promises.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]string(nil), l.broken...)
}

// Checks returns how often each promise was checked.
func (l *Ledger) Checks() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	checks := make(map[string]int, len(l.checks))
	for name, count := range l.checks {
		checks[name] = count
	}

	return checks
}

// RecordViolation reports a broken promise.
func (l *Ledger) RecordViolation(promise, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(promise, what)
}

func (l *Ledger) breach(promise, what string) {
	l.broken = append(l.broken, fmt.Sprintf("%s %s: %s", time.Now().Format("15:04:05.000"), promise, what))
}

// CountCheck counts a check that the caller has made itself.
func (l *Ledger) CountCheck(promise string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks[promise]++
}

// name returns the name of a task of a job with one step and one occurrence.
func name(job string, index int) string { return fmt.Sprintf("%s.0.0.%d", job, index) }

// started checks a start and returns the work, or false when nobody asked for it.
func (l *Ledger) started(job, taskName, spec, run string) (Work, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks["start"]++
	j := l.jobs[job]
	if j == nil || j.Spec != spec {
		l.breach("start that nobody asked for", taskName)

		return Work{}, false
	}
	t := l.tasks[taskName]
	if t == nil {
		t = &task{}
		l.tasks[taskName] = t
	}
	t.runs++
	t.hosts++
	t.remember("start " + run)
	l.used[j.Account] = l.used[j.Account].Add(j.Need)
	switch {
	case t.hosts > 1:
		l.breach("task in two places", t.describe(taskName))
	case j.Refused:
		l.breach("refused job runs", taskName)
	case j.Cancelled && time.Since(j.CancelledAt) > l.cancelBound:
		l.breach("cancelled job starts", taskName)
	}
	t.prior = len(t.ends)
	l.judge(j, t, taskName)
	if limit, ok := l.limits[j.Account]; ok && l.used[j.Account].Millis > limit.Millis+limit.Millis/10+j.Need.Millis {
		l.breach("account over its limit", fmt.Sprintf("%s uses %s of %s", j.Account, l.used[j.Account], limit))
	}

	return j.Work, true
}

// judge checks a start after an end that is noted, at the time of the start or
// later; the caller holds the lock.
func (l *Ledger) judge(j *Job, t *task, taskName string) {
	failed := 0
	for _, e := range t.ends[:t.prior] {
		if !e.noted {
			continue
		}
		switch e.how {
		case endDone:
			l.breach("task starts after its end", t.describe(taskName))
			t.prior = 0
		case endFailed:
			failed++
		}
	}
	if failed >= j.Attempts {
		l.breach("task starts after its last attempt", t.describe(taskName))
		t.prior = 0
	}
}

// ended notes the end of a run.
func (l *Ledger) ended(job, taskName, run, how string) *ending {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[taskName]
	t.hosts--
	t.remember(how + " " + run)
	l.used[l.jobs[job].Account] = l.used[l.jobs[job].Account].Sub(l.jobs[job].Need)
	t.done = t.done || how == endDone
	e := &ending{how: how}
	t.ends = append(t.ends, e)

	return e
}

// noted notes that an end was acknowledged by the owner.
func (l *Ledger) noted(taskName string, e *ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[taskName]
	t.remember(e.how + " noted")
	e.noted = true
	l.judge(l.jobs[job(taskName)], t, taskName)
}

// fails reports whether the next end of a task is a failure.
func (l *Ledger) fails(job, taskName string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	failed := 0
	for _, e := range l.tasks[taskName].ends {
		if e.how == endFailed {
			failed++
		}
	}

	return failed < l.jobs[job].Fails
}
