package executor

import (
	"fmt"
	"time"
)

// The states of a job that callers are shown and that the ledger checks.
const (
	stateCompleted = "completed"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
	// StateUnknown stands for an answer that there is no such job.
	StateUnknown = "unknown"
)

// isFinal reports whether a state that was shown may not change any more.
func isFinal(state string) bool {
	return state == stateCompleted || state == stateFailed || state == stateCancelled
}

// RecordShown records the state of a job that a caller was shown, and checks it
// against the final state that a caller was shown first. askedAt is when the
// caller asked: an answer to an earlier question may show an earlier state that is
// not final.
func (l *Ledger) RecordShown(id, state string, askedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checks["state shown to a caller"]++
	j := l.jobs[id]
	switch {
	case j.ShownFinal == "" && isFinal(state):
		l.showFinal(id, j, state)
	case j.ShownFinal != "" && (isFinal(state) || askedAt.After(j.ShownAt)):
		l.checks["shown final state stays"]++
		if state != j.ShownFinal && state != j.shownLater {
			j.shownLater = state
			l.addViolation("shown final state changes", fmt.Sprintf("%s: %s, %s after %s", id, state, time.Since(j.ShownAt).Round(time.Millisecond), j.ShownFinal))
		}
	}
}

// showFinal records the first final state of a job that a caller is shown; the
// caller holds the lock.
func (l *Ledger) showFinal(id string, j *Job, state string) {
	j.ShownFinal, j.ShownAt = state, time.Now()
	for t := range l.startedTasks(id) {
		t.addHistory("shown " + state)
	}
	if state == stateCompleted {
		l.checkCompleted(id)
	}
	if state != stateCancelled {
		l.checks["job shown as final starts no task"]++
	}
}

// checkShownStart checks that the job of a task that starts has not been shown as
// completed or failed. A cancelled job has its own bound. The caller holds the
// lock.
func (l *Ledger) checkShownStart(j *Job, t *task, taskName string) {
	if j.ShownFinal == stateCompleted || j.ShownFinal == stateFailed {
		l.addViolation("task starts after its job was shown as "+j.ShownFinal, t.describe(taskName))
	}
}
