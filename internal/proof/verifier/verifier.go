package verifier

import (
	"bytes"
	"encoding/json"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// Verify makes all checks on the evidence.
func Verify(evidence Evidence) *Report {
	report := &Report{Counts: make(map[string]int)}
	checkLedgers(report, evidence)
	checkCalls(report, evidence)
	checkJobs(report, evidence)
	for _, w := range evidence.Withdrawals {
		if w.Attempts > 0 {
			delay := w.Accepted.Sub(w.Published)
			report.checkf(CheckKey, w.Accepted.IsZero() || delay <= evidence.KeyBound,
				"a withdrawn key was accepted %s after the publication", delay)
		}
	}

	return report
}

// execution counts how often a call was started and how often it was answered
// with success.
type execution struct {
	started, answered int
}

type callKey struct {
	team    modeler.TeamID
	request modeler.RequestID
}

func checkCalls(report *Report, evidence Evidence) {
	executions := make(map[callKey]execution)
	for _, event := range evidence.Events {
		key := callKey{event.Team, event.Request}
		e := executions[key]
		switch {
		case event.Kind == worker.KindCall:
			e.started++
		case event.Kind == worker.KindAnswer && event.OK:
			e.answered++
		default:
			continue
		}
		executions[key] = e
	}
	for _, call := range evidence.Calls {
		checkCall(report, call, executions[callKey{call.Team, call.Request}])
	}
}

func checkCall(report *Report, call Call, e execution) {
	name := string(call.Team) + "/" + string(call.Request)
	if !call.Idempotent {
		report.checkf(CheckOnce, e.started <= 1, "call %s was executed %d times", name, e.started)
	}
	for i, answer := range call.Answers {
		var echo worker.Echo
		err := json.Unmarshal(answer, &echo)
		report.checkf(CheckAnswer, err == nil && echo.Service == call.Service && echo.Team == call.Team &&
			echo.Request == call.Request && bytes.Equal(echo.Body, call.Body),
			"call %s got %.200q", name, answer)
		report.checkf(CheckRan, e.answered > 0, "call %s was answered but no executor answered it", name)
		if i > 0 && !call.Idempotent {
			report.checkf(CheckSameAnswer, bytes.Equal(answer, call.Answers[0]), "call %s got two answers", name)
		}
	}
	switch {
	case len(call.Answers) > 0:
	case call.Outcome == modeler.OutcomeNotRun && call.OutcomesKnown:
		report.checkf(CheckNotRun, e.started == 0, "call %s was refused as not run but was executed", name)
	case call.Outcome == modeler.OutcomeRan:
		report.checkf(CheckRan, e.started > 0, "call %s was reported as ran but was not executed", name)
	}
}

// history is the course of a job according to the ledgers of the endpoints.
type history struct {
	starts map[modeler.TaskID]int
	done   map[modeler.TaskID]bool
	// maxRunning is the largest number of tasks that ran at the same time.
	maxRunning, running int
}

func checkJobs(report *Report, evidence Evidence) {
	labels := make(map[taskKey]string)
	jobs := make(map[string]*history)
	for _, event := range sortEvents(evidence.Events) {
		switch event.Kind {
		case worker.KindStart:
			if len(event.Command) < 3 {
				continue
			}
			label := event.Command[2]
			labels[taskKeyOf(event)] = label
			h := jobs[label]
			if h == nil {
				h = &history{starts: make(map[modeler.TaskID]int), done: make(map[modeler.TaskID]bool)}
				jobs[label] = h
			}
			h.starts[event.Task]++
			h.running++
			h.maxRunning = max(h.maxRunning, h.running)
		case worker.KindEnd:
			if h := jobs[labels[taskKeyOf(event)]]; h != nil {
				h.running--
				if event.OK {
					h.done[event.Task] = true
				}
			}
		case worker.KindUp, worker.KindDown, worker.KindLeave, worker.KindHello, worker.KindCall, worker.KindAnswer,
			worker.KindVoid:
		}
	}
	for _, job := range evidence.Jobs {
		h := jobs[job.Label]
		if h == nil {
			h = &history{}
		}
		before := len(report.Violations)
		checkJob(report, job, h)
		for i := before; i < len(report.Violations); i++ {
			report.Violations[i].Job = job.Label
		}
	}
}

func checkJob(report *Report, job Job, h *history) {
	if job.Once {
		for task, n := range h.starts {
			report.checkf(CheckOnce, n <= 1, "task %s of job %s was started %d times", task, job.Label, n)
		}
	}
	report.checkf(CheckFits, !job.Fits || !job.NeverFits, "job %s was refused for good although it fits", job.Label)
	if !job.Accepted {
		if !job.AcceptanceUnknown {
			report.checkf(CheckNotRun, len(h.starts) == 0, "job %s was refused but %d of its tasks ran", job.Label, len(h.starts))
		}

		return
	}
	report.checkf(CheckOnePlace, len(h.starts) <= job.Tasks, "job %s has %d tasks but %d were started",
		job.Label, job.Tasks, len(h.starts))
	switch {
	case job.Cancelled, job.Once:
		// A task that may run only once can be lost with its endpoint and then
		// never finishes.
	case job.Fails:
		report.checkf(CheckAccepted, len(h.starts) == job.Tasks, "job %s: %d of %d tasks were started",
			job.Label, len(h.starts), job.Tasks)
	default:
		report.checkf(CheckAccepted, len(h.done) == job.Tasks, "job %s: %d of %d tasks finished",
			job.Label, len(h.done), job.Tasks)
		if job.Gang {
			report.checkf(CheckGang, h.maxRunning == job.Tasks, "job %s had at most %d of %d tasks running together",
				job.Label, h.maxRunning, job.Tasks)
		}
	}
}
