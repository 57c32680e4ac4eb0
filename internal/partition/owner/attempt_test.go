package owner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// secondAttempt returns an owner to which an earlier one has left the task j/0
// queued after its first attempt.
func secondAttempt(t *testing.T) (*harness, *scriptedScheduler) {
	s := &scriptedScheduler{}
	h := newHarness(t, s, 3, 0)
	h.submit(1, "j", nil)
	h.advance(50 * time.Millisecond)
	h.send(PredecessorBatchMsg{Batch: encoder.Batch{
		Tasks: []encoder.TaskChange{{Job: "j", Task: "j/0", State: modeler.TaskQueued, Attempt: 1}},
	}})

	return h, s
}

// start starts the task j/0 at an endpoint.
func (h *harness) start(s *scriptedScheduler, at modeler.InstanceID) {
	s.next = []scheduler.Command{scheduler.StartCmd{Task: "j/0", Endpoint: at, Attempt: 1}}
	h.advance(50 * time.Millisecond)
}

// stops counts the stops and checkpoints sent for the task j/0.
func (h *harness) stops() int {
	count := 0
	for _, cmd := range h.taskCommands {
		if cmd.Request.Task == "j/0" && cmd.Action != ActionThrottle {
			count++
		}
	}

	return count
}

// grant reports a new session of an endpoint that runs an attempt of j/0.
func (h *harness) grant(at modeler.InstanceID, session modeler.SessionID, attempt int) {
	h.send(HelloDoneMsg{Endpoint: at, Term: h.core.Term(), Sent: h.now, Reply: messenger.HelloReply{
		Session: session, Capacity: modeler.Resources{Millis: 4000, Memory: 16 << 30},
		Tasks: []messenger.Task{{ID: "j/0", Job: "j", Team: "humo", Attempt: attempt, Needs: modeler.Resources{Millis: 1000}}},
	}})
}

// TestResult_OfEarlierAttempt guards against the end of an earlier attempt that
// ends the one that runs.
func TestResult_OfEarlierAttempt(t *testing.T) {
	h, s := secondAttempt(t)
	h.start(s, "e000")
	h.send(RenewDoneMsg{
		Endpoint: "e000", Request: messenger.RenewRequest{Session: 1, Term: h.core.Term()}, Sent: h.now,
		Reply: messenger.RenewReply{
			Tasks:    []modeler.TaskID{"j/0"},
			Finished: []messenger.TaskResult{{Task: "j/0", Job: "j", Team: "humo", Attempt: 1}},
		},
	})
	h.advance(50 * time.Millisecond)
	if task := h.core.tasks["j/0"]; task.state != modeler.TaskRunning || task.endpoint == nil {
		t.Errorf("the second attempt is %s, want %s at its endpoint", task.state, modeler.TaskRunning)
	}
}

// TestAdopt_ResultOfEarlierAttempt guards against an attempt that counts as listed
// because the inventory has the result of the one before it.
func TestAdopt_ResultOfEarlierAttempt(t *testing.T) {
	h, s := secondAttempt(t)
	h.start(s, "e000")
	earlier := h.starts[0]
	earlier.Request.Task.Attempt = 1
	h.report(earlier, false)
	if h.core.tasks["j/0"].endpoint != nil {
		t.Error("the second attempt, which the inventory does not list, is still at its endpoint")
	}
}

// TestAdopt_OtherAttemptAtEndpoint guards against a run of an earlier attempt that
// is taken for the attempt that this owner has placed at the endpoint.
func TestAdopt_OtherAttemptAtEndpoint(t *testing.T) {
	h, s := secondAttempt(t)
	h.start(s, "e000")
	h.grant("e000", 2, 1)
	if h.stops() != 1 || len(h.starts) != 1 {
		t.Errorf("%d stops and %d starts, want the earlier attempt stopped and no other start", h.stops(), len(h.starts))
	}
}

// TestAdopt_EarlierAttempt guards against a run that an earlier owner has judged as
// over and that is adopted all the same, or left running beside the next attempt.
func TestAdopt_EarlierAttempt(t *testing.T) {
	h, _ := secondAttempt(t)
	h.grant("e000", 2, 0)
	if task := h.core.tasks["j/0"]; task.endpoint != nil || h.stops() != 1 {
		t.Errorf("adopted %t, %d stops; want none and one", task.endpoint != nil, h.stops())
	}
}

// TestAdopt_LaterAttempt guards against an owner that keeps a task at the endpoint
// that the stream names although another endpoint runs a later attempt.
func TestAdopt_LaterAttempt(t *testing.T) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.send(HelloDoneMsg{Endpoint: "e001", Term: h.core.Term(), Sent: h.now, Reply: messenger.HelloReply{
		Session: 1, Tasks: []messenger.Task{{ID: "j/0", Job: "j", Team: "humo", Attempt: 2}},
	}})
	if task := h.core.tasks["j/0"]; task.endpoint == nil || task.endpoint.instance.ID != "e001" || task.attempt != 2 {
		t.Errorf("attempt %d at %+v, want attempt 2 at e001", task.attempt, task.endpoint)
	}
}

// TestStop_KeepsTaskUntilItHasEnded guards against a task that counts as over, and
// may start elsewhere, once its stop was sent, and against a stop that is sent only
// once and lost.
func TestStop_KeepsTaskUntilItHasEnded(t *testing.T) {
	h, s := secondAttempt(t)
	h.start(s, "e000")
	s.next = []scheduler.Command{scheduler.StopCmd{Task: "j/0", Endpoint: "e000", Reason: "preempted"}}
	h.advance(3 * stopInterval)
	if h.core.tasks["j/0"].endpoint == nil || h.stops() < 2 {
		t.Errorf("held %t, %d stops; want held and one every %s", h.core.tasks["j/0"].endpoint != nil, h.stops(), stopInterval)
	}
	h.start(s, "e001")
	if len(h.starts) != 1 {
		t.Error("the task was started again before it had ended")
	}
	h.finishTask(h.starts[0])
	if task := h.core.tasks["j/0"]; task.endpoint != nil {
		t.Errorf("the task is %s at its endpoint after it has ended", task.state)
	}
}

// TestPermitStart_WithoutMajority guards against a start that the scheduler decides
// on outside a placement pass, which checks the majority itself.
func TestPermitStart_WithoutMajority(t *testing.T) {
	h, _ := secondAttempt(t)
	for _, id := range []modeler.InstanceID{"e001", "e002"} {
		h.core.endpoints[id].lastRenewal = h.now.Add(-2 * MaxRenewalAge)
	}
	h.core.execute(scheduler.StartCmd{Task: "j/0", Endpoint: "e000", Attempt: 1})
	if h.core.tasks["j/0"].endpoint != nil {
		t.Error("started without a majority")
	}
}
