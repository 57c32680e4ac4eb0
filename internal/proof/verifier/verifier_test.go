package verifier

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

var (
	core = modeler.Resources{Millis: 1000}
	slot = modeler.Resources{Slots: 1}
)

// at returns an event at a time in milliseconds; change may set further fields.
func at(ms int, endpoint string, kind worker.Kind, change func(*worker.Event)) worker.Event {
	event := worker.Event{
		Time: time.UnixMilli(int64(ms)), Endpoint: modeler.InstanceID(endpoint), Kind: kind, Team: "t",
	}
	if change != nil {
		change(&event)
	}

	return event
}

func up(capacity modeler.Resources) func(*worker.Event) {
	return func(e *worker.Event) { e.Team, e.Needs = "", capacity }
}

func task(id, label string) func(*worker.Event) {
	return func(e *worker.Event) {
		e.Job, e.Task, e.Needs, e.OK = modeler.JobID(label), modeler.TaskID(id), core, true
		e.Command = []string{"run", "1s", label}
	}
}

func call(request string) func(*worker.Event) {
	return func(e *worker.Event) { e.Request, e.Needs, e.OK = modeler.RequestID(request), slot, true }
}

func echo(request string) []byte {
	data, _ := json.Marshal(worker.Echo{Service: "s", Team: "t", Request: modeler.RequestID(request), Body: []byte("b")})

	return data
}

// validEvidence returns evidence of a run without violations in which every
// check is made at least once.
func validEvidence() Evidence {
	return Evidence{
		Limits:   map[modeler.TeamID]modeler.Resources{"t": {Millis: 2000, Slots: 1}},
		KeyBound: time.Second, LeavingBound: time.Second,
		Withdrawals: []Withdrawal{{Published: time.UnixMilli(0), Accepted: time.UnixMilli(900), Attempts: 3}},
		Events: []worker.Event{
			at(0, "w1", worker.KindUp, up(modeler.Resources{Millis: 2000})),
			at(0, "w2", worker.KindUp, up(modeler.Resources{Millis: 2000})),
			at(0, "x", worker.KindUp, up(slot)),
			at(10, "w1", worker.KindStart, task("a0", "a")),
			at(11, "w2", worker.KindStart, task("a1", "a")),
			at(20, "w1", worker.KindEnd, task("a0", "a")),
			at(21, "w2", worker.KindEnd, task("a1", "a")),
			at(22, "w2", worker.KindLeave, nil),
			at(25, "w2", worker.KindStart, task("o0", "o")),
			at(26, "w2", worker.KindEnd, task("o0", "o")),
			at(30, "x", worker.KindCall, call("r1")),
			at(31, "x", worker.KindAnswer, call("r1")),
			at(32, "x", worker.KindCall, call("r3")),
			at(33, "x", worker.KindAnswer, call("r3")),
		},
		Calls: []Call{
			{Team: "t", Service: "s", Request: "r1", Body: []byte("b"), Answers: [][]byte{echo("r1"), echo("r1")}},
			{Team: "t", Service: "s", Request: "r2", Outcome: modeler.OutcomeNotRun, OutcomesKnown: true},
			{Team: "t", Service: "s", Request: "r3", Outcome: modeler.OutcomeRan},
		},
		Jobs: []Job{
			{Team: "t", Label: "a", Tasks: 2, Gang: true, Accepted: true},
			{Team: "t", Label: "o", Tasks: 1, Once: true, Accepted: true},
			{Team: "t", Label: "refused", Tasks: 1},
		},
	}
}

// TestValidEvidencePasses guards against violations reported for a correct run,
// and against a check that is never made.
func TestValidEvidencePasses(t *testing.T) {
	report := Verify(validEvidence())
	for _, v := range report.Violations {
		t.Error(v)
	}
	for _, name := range Checks() {
		if report.Counts[name] == 0 {
			t.Errorf("check %q was never made", name)
		}
	}
	if (&Report{}).OK() {
		t.Error("OK() is true for a report without checks, want false")
	}
}

func add(events ...worker.Event) func(*Evidence) {
	return func(e *Evidence) { e.Events = append(e.Events, events...) }
}

// TestChecksDetectViolations guards against checks that cannot fail: each case
// adds one violation to valid evidence.
func TestChecksDetectViolations(t *testing.T) {
	for _, c := range []struct {
		check, name string
		corrupt     func(*Evidence)
	}{
		{CheckOnePlace, "a task starts elsewhere before it has ended", add(at(15, "w2", worker.KindStart, task("a0", "a")))},
		{CheckOnePlace, "a job has more tasks than were submitted",
			add(at(25, "w1", worker.KindStart, task("a2", "a")), at(26, "w1", worker.KindEnd, task("a2", "a")))},
		{CheckCapacity, "a worker is overcommitted", func(e *Evidence) { e.Events[0].Needs.Millis = 999 }},
		{CheckCapacity, "an executor has two calls in one slot", add(at(30, "x", worker.KindCall, call("r9")))},
		{CheckLimit, "a team is over its limit", func(e *Evidence) { e.Limits["t"] = modeler.Resources{Millis: 1999, Slots: 1} }},
		{CheckLimit, "work of a team without a limit", func(e *Evidence) { delete(e.Limits, "t") }},
		{CheckOnce, "a non-idempotent call is executed twice", add(at(40, "x", worker.KindCall, call("r1")))},
		{CheckOnce, "an at-most-once task is started twice", add(at(27, "w1", worker.KindStart, task("o0", "o")))},
		{CheckAccepted, "a task never finishes", func(e *Evidence) { e.Events[5].OK = false }},
		{CheckAccepted, "an accepted job never starts", func(e *Evidence) {
			e.Jobs = append(e.Jobs, Job{Team: "t", Label: "lost", Tasks: 1, Accepted: true})
		}},
		{CheckNotRun, "a refused call ran", add(at(40, "x", worker.KindCall, call("r2")))},
		{CheckNotRun, "a refused job ran", add(at(40, "w1", worker.KindStart, task("r0", "refused")))},
		{CheckRan, "a call reported as ran was not executed", func(e *Evidence) { e.Calls[2].Request = "r4" }},
		{CheckRan, "an answer was sent by no executor", func(e *Evidence) { e.Events[11].OK = false }},
		{CheckAnswer, "an answer is truncated", func(e *Evidence) { e.Calls[0].Answers[0] = echo("r1")[:20] }},
		{CheckAnswer, "an answer is for another request", func(e *Evidence) { e.Calls[0].Answers[0] = echo("r3") }},
		{CheckAnswer, "an answer has another body", func(e *Evidence) { e.Calls[0].Body = []byte("c") }},
		{CheckLeaving, "a leaving worker is given work", add(at(2000, "w2", worker.KindStart, task("a0", "a")))},
		{CheckKey, "a withdrawn key is accepted", func(e *Evidence) { e.Withdrawals[0].Accepted = time.UnixMilli(1100) }},
		{CheckGang, "tasks of a gang run one after the other", func(e *Evidence) {
			e.Events[4].Time = time.UnixMilli(20)
		}},
		{CheckFits, "a job that fits is refused as too large", func(e *Evidence) {
			e.Jobs[2].Fits, e.Jobs[2].NeverFits = true, true
		}},
		{CheckSameAnswer, "a resent request gets another answer", func(e *Evidence) {
			e.Calls[0].Answers[1] = append(echo("r1"), ' ')
		}},
	} {
		evidence := validEvidence()
		c.corrupt(&evidence)
		report := Verify(evidence)
		if !slices.ContainsFunc(report.Violations, func(v Violation) bool { return v.Check == c.check }) {
			t.Errorf("%s: check %q did not fail; violations: %v", c.name, c.check, report.Violations)
		}
	}
}
