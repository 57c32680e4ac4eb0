package verifier

import (
	"bytes"
	"encoding/json"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// Verify compares the evidence.
func Verify(evidence Evidence) *Report {
	report := &Report{Counts: make(map[string]int)}
	checkLedgers(report, evidence)
	checkCalls(report, evidence)
	checkJobs(report, evidence)
	for _, w := range evidence.Withdrawals {
		if w.Attempts > 0 {
			late := w.Accepted.Sub(w.Published)
			report.checkf(CheckKey, w.Accepted.IsZero() || late <= evidence.KeyBound,
				"a withdrawn key was accepted %s after the publication", late)
		}
	}

	return report
}

// execution counts the executions of a call and of its finished ones.
type execution struct {
	begun, done int
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
			e.begun++
		case event.Kind == worker.KindAnswer && event.OK:
			e.done++
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
		report.checkf(CheckOnce, e.begun <= 1, "call %s was executed %d times", name, e.begun)
	}
	for i, answer := range call.Answers {
		var echo worker.Echo
		err := json.Unmarshal(answer, &echo)
		report.checkf(CheckAnswer, err == nil && echo.Service == call.Service && echo.Team == call.Team &&
			echo.Request == call.Request && bytes.Equal(echo.Body, call.Body),
			"call %s got %.200q", name, answer)
		report.checkf(CheckRan, e.done > 0, "call %s was answered but no executor answered it", name)
		if i > 0 && !call.Idempotent {
			report.checkf(CheckSameAnswer, bytes.Equal(answer, call.Answers[0]), "call %s got two answers", name)
		}
	}
	switch {
	case len(call.Answers) > 0:
	case call.Outcome == modeler.OutcomeNotRun && call.OutcomesKnown:
		report.checkf(CheckNotRun, e.begun == 0, "call %s was refused as not run but was executed", name)
	case call.Outcome == modeler.OutcomeRan:
		report.checkf(CheckRan, e.begun > 0, "call %s was reported as ran but was not executed", name)
	}
}

// history is what the ledgers say of a job.
type history struct {
	starts map[modeler.TaskID]int
	done   map[modeler.TaskID]bool
	// most is the largest number of tasks running at one time.
	most, running int
}

func checkJobs(report *Report, evidence Evidence) {
	labels := make(map[taskKey]string)
	jobs := make(map[string]*history)
	for _, event := range ordered(evidence.Events) {
		switch event.Kind {
		case worker.KindStart:
			if len(event.Command) < 3 {
				continue
			}
			label := event.Command[2]
			labels[keyOf(event)] = label
			h := jobs[label]
			if h == nil {
				h = &history{starts: make(map[modeler.TaskID]int), done: make(map[modeler.TaskID]bool)}
				jobs[label] = h
			}
			h.starts[event.Task]++
			h.running++
			h.most = max(h.most, h.running)
		case worker.KindEnd:
			if h := jobs[labels[keyOf(event)]]; h != nil {
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
		known := len(report.Violations)
		checkJob(report, job, h)
		for i := known; i < len(report.Violations); i++ {
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
		// A task that may run only once can be lost with its endpoint.
	case job.Fails:
		report.checkf(CheckAccepted, len(h.starts) == job.Tasks, "job %s: %d of %d tasks were started",
			job.Label, len(h.starts), job.Tasks)
	default:
		report.checkf(CheckAccepted, len(h.done) == job.Tasks, "job %s: %d of %d tasks finished",
			job.Label, len(h.done), job.Tasks)
		if job.Gang {
			report.checkf(CheckGang, h.most == job.Tasks, "job %s had at most %d of %d tasks running together",
				job.Label, h.most, job.Tasks)
		}
	}
}
