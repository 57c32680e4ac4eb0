package executor

import (
	"strings"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	jobName  = "j"
	specText = "s"
)

// newShownLedger returns a ledger with a job of one task, which has ended with the
// outcome.
func newShownLedger(outcome string) *Ledger {
	l := NewLedger(map[string]modeler.Resources{}, time.Second)
	l.Expect(jobName, Work{Spec: specText, Count: 1, Attempts: 1})
	l.recordStart(jobName, taskID(jobName, 0, 0), specText, "run 1")
	l.recordEnd(jobName, taskID(jobName, 0, 0), "run 1", outcome)

	return l
}

// TestShownStates guards against a ledger that accepts a job that was shown as
// final and then changes its state, starts a task or was never done.
func TestShownStates(t *testing.T) {
	before, after := time.Now().Add(-time.Minute), time.Now().Add(time.Minute)
	for _, c := range []struct {
		name, outcome string
		record        func(l *Ledger)
		want          string
	}{
		{"stays", endDone, func(l *Ledger) {
			l.RecordShown(jobName, "running", before)
			l.RecordShown(jobName, stateCompleted, before)
			l.RecordShown(jobName, stateCompleted, after)
		}, ""},
		{"late answer to an earlier question", endDone, func(l *Ledger) {
			l.RecordShown(jobName, stateCompleted, before)
			l.RecordShown(jobName, "running", before)
		}, ""},
		{"goes back", endDone, func(l *Ledger) {
			l.RecordShown(jobName, stateCompleted, before)
			l.RecordShown(jobName, "running", after)
		}, "shown final state changes"},
		{"is forgotten", endDone, func(l *Ledger) {
			l.RecordShown(jobName, stateCompleted, before)
			l.RecordShown(jobName, StateUnknown, after)
		}, "shown final state changes"},
		{"second final state", endDone, func(l *Ledger) {
			l.RecordShown(jobName, stateCompleted, before)
			l.RecordShown(jobName, stateFailed, before)
		}, "shown final state changes"},
		{"not done", endLeaseExpired, func(l *Ledger) {
			l.RecordShown(jobName, stateCompleted, before)
		}, "completed job is not done"},
		{"starts after completed", endDone, func(l *Ledger) {
			l.RecordShown(jobName, stateCompleted, before)
			l.recordStart(jobName, taskID(jobName, 0, 0), specText, "run 2")
		}, "task starts after its job was shown as completed"},
		{"starts after failed", endFailed, func(l *Ledger) {
			l.RecordShown(jobName, stateFailed, before)
			l.recordStart(jobName, taskID(jobName, 0, 0), specText, "run 2")
		}, "task starts after its job was shown as failed"},
	} {
		l := newShownLedger(c.outcome)
		c.record(l)
		got := strings.Join(l.Violations(), "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.want)
		}
	}
}
