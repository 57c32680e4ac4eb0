package owner

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// harness drives a core with endpoints that answer every command at once. The
// log commits batches unless it is stalled.
type harness struct {
	t          testing.TB
	core       *Core
	now        time.Time
	logStalled bool
	batches    []encoder.Batch
	answers    map[Waiter]AnswerCmd
	starts     []StartCmd
	renewals   []RenewCmd
	// taskCommands holds the stops, checkpoints and throttles, which have no
	// effect.
	taskCommands []TaskCmd
	tasks        map[modeler.InstanceID]map[modeler.TaskID]messenger.Task
	violations   []string
}

func newHarness(t testing.TB, s Scheduler, workers, executors int) *harness {
	h := &harness{
		t: t, now: time.Unix(1_800_000_000, 0), answers: map[Waiter]AnswerCmd{},
		tasks: map[modeler.InstanceID]map[modeler.TaskID]messenger.Task{},
	}
	state := replayer.New("costa-1")
	instances := make([]modeler.Instance, 0, workers+executors)
	for i := range workers + executors {
		kind := modeler.KindWorker
		if i >= workers {
			kind = modeler.KindExecutor
		}
		instances = append(instances, modeler.Instance{
			ID: modeler.InstanceID(fmt.Sprintf("e%03d", i)), Kind: kind, Region: "costa", Rack: fmt.Sprintf("r%d", i/8),
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	state.Endpoints = instances
	h.core = New("a", modeler.NewTerm(1, 0), 1, state, WithScheduler(s), WithViolation(func(invariant, _ string) {
		h.violations = append(h.violations, invariant)
	}))
	limit := modeler.Resources{Millis: 1 << 40, Memory: 1 << 60, Slots: 1 << 40}
	h.send(ConfigMsg{Offset: 1, Document: modeler.Document{
		Partitions: []modeler.Partition{{Name: "costa-1", Region: "costa", Weight: 1}},
		Teams: []modeler.Team{
			{Name: "humo", Share: 1, Limit: limit}, {Name: "small", Share: 1, Limit: modeler.Resources{Millis: 1000, Memory: 1 << 30}},
		},
	}})
	h.send(EndpointsMsg{Instances: instances})
	h.advance(100 * time.Millisecond)

	return h
}

// send passes a message to the core and carries out the commands that follow
// from it.
func (h *harness) send(msg Msg) {
	todo := h.core.Update(msg, h.now)
	for len(todo) > 0 {
		cmd := todo[0]
		todo = todo[1:]
		if reply := h.execute(cmd); reply != nil {
			todo = append(todo, h.core.Update(reply, h.now)...)
		}
	}
}

func (h *harness) execute(cmd Command) Msg {
	switch cmd := cmd.(type) {
	case HelloCmd:
		return HelloDoneMsg{Endpoint: cmd.Endpoint.ID, Term: cmd.Request.Term, Sent: h.now, Reply: messenger.HelloReply{
			Session: 1, Term: cmd.Request.Term, Capacity: modeler.Resources{Millis: 4000, Memory: 16 << 30, Slots: 2},
		}}
	case RenewCmd:
		h.renewals = append(h.renewals, cmd)
		reply := messenger.RenewReply{}
		for id := range h.tasks[cmd.Endpoint.ID] {
			reply.Tasks = append(reply.Tasks, id)
		}

		return RenewDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Sent: h.now, Reply: reply}
	case StartCmd:
		h.starts = append(h.starts, cmd)
		if h.tasks[cmd.Endpoint.ID] == nil {
			h.tasks[cmd.Endpoint.ID] = map[modeler.TaskID]messenger.Task{}
		}
		h.tasks[cmd.Endpoint.ID][cmd.Request.Task.ID] = cmd.Request.Task

		return StartDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request}
	case TaskCmd:
		h.taskCommands = append(h.taskCommands, cmd)
	case AppendCmd:
		h.batches = append(h.batches, cmd.Batch)
		if !h.logStalled {
			return CommittedMsg{Seq: cmd.Batch.Seq}
		}
	case AnswerCmd:
		if _, twice := h.answers[cmd.Waiter]; twice {
			h.t.Errorf("caller %d was answered twice", cmd.Waiter)
		}
		h.answers[cmd.Waiter] = cmd
	}

	return nil
}

// advance moves the clock forward in ticks.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(25 * time.Millisecond)
		h.send(TickMsg{})
	}
}

// finishTask ends a started task and reports it with the next renewal.
func (h *harness) finishTask(start StartCmd) {
	task := start.Request.Task
	delete(h.tasks[start.Endpoint.ID], task.ID)
	reply := messenger.RenewReply{Finished: []messenger.TaskResult{
		{Task: task.ID, Job: task.Job, Team: task.Team, Attempt: task.Attempt, OK: true},
	}}
	for id := range h.tasks[start.Endpoint.ID] {
		reply.Tasks = append(reply.Tasks, id)
	}
	request := messenger.RenewRequest{Session: 1, Term: start.Request.Term}
	h.send(RenewDoneMsg{Endpoint: start.Endpoint.ID, Request: request, Sent: h.now, Reply: reply})
}

func (h *harness) submit(waiter Waiter, id modeler.JobID, change func(*modeler.Job)) {
	j := modeler.Job{
		ID: id, Team: "humo", Queue: "q", Kind: modeler.WorkBatch, Tasks: 1, Needs: modeler.Resources{Millis: 1000, Memory: 1 << 30},
	}
	if change != nil {
		change(&j)
	}
	h.send(SubmitMsg{Waiter: waiter, SubmitMsg: modeler.SubmitMsg{Job: j}})
}

// outcome returns the outcome that a caller was given, or "" if it was not
// answered.
func (h *harness) outcome(waiter Waiter) modeler.Outcome {
	answer, ok := h.answers[waiter]
	switch {
	case !ok:
		return ""
	case answer.Err == nil:
		return modeler.OutcomeRan
	}

	return answer.Err.Outcome
}

// scriptedScheduler returns preset commands in its next pass.
type scriptedScheduler struct{ next []scheduler.Command }

func (s *scriptedScheduler) Update(msg scheduler.Msg, _ time.Time) []scheduler.Command {
	if _, ok := msg.(scheduler.DecideMsg); !ok {
		return nil
	}
	commands := s.next
	s.next = nil

	return commands
}

// TestPermitStart_RefusesViolations guards against invariant checks that let a
// faulty decision of the scheduler reach an endpoint.
func TestPermitStart_RefusesViolations(t *testing.T) {
	start := func(task modeler.TaskID, at modeler.InstanceID) scheduler.Command {
		return scheduler.StartCmd{Task: task, Endpoint: at, Attempt: 1}
	}
	for name, test := range map[string]struct {
		change   func(*modeler.Job)
		commands []scheduler.Command
		starts   int
		want     []string
	}{
		"valid":         {nil, []scheduler.Command{start("j/0", "e000"), start("j/1", "e001")}, 2, nil},
		"over capacity": {func(j *modeler.Job) { j.Needs.Millis = 3000 }, []scheduler.Command{start("j/0", "e000"), start("j/1", "e000")}, 1, []string{"I1"}},
		"two endpoints": {nil, []scheduler.Command{start("j/0", "e000"), start("j/0", "e001")}, 1, []string{"I2"}},
		"over limit":    {func(j *modeler.Job) { j.Team = "small" }, []scheduler.Command{start("j/0", "e000"), start("j/1", "e001")}, 1, []string{"I4"}},
		"unknown ids":   {nil, []scheduler.Command{start("j/0", "nowhere"), start("nothing", "e000")}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedScheduler{}
			h := newHarness(t, s, 3, 0)
			h.submit(1, "j", func(j *modeler.Job) {
				j.Tasks = 2
				if test.change != nil {
					test.change(j)
				}
			})
			h.advance(50 * time.Millisecond)
			s.next = test.commands
			h.advance(50 * time.Millisecond)
			if len(h.starts) != test.starts || !slices.Equal(h.violations, test.want) {
				t.Errorf("%d starts, violations %v; want %d and %v", len(h.starts), h.violations, test.starts, test.want)
			}
		})
	}
}

// TestStart_NeedsMajority guards against starts by an owner whose renewals are
// not answered by a majority of its endpoints.
func TestStart_NeedsMajority(t *testing.T) {
	s := &scriptedScheduler{}
	h := newHarness(t, s, 5, 0)
	h.submit(1, "j", nil)
	h.advance(50 * time.Millisecond)
	for _, id := range []modeler.InstanceID{"e002", "e003", "e004"} {
		e := h.core.endpoints[id]
		e.inFlight, e.lastRenewal = true, h.now.Add(-MaxRenewalAge)
	}
	s.next = []scheduler.Command{scheduler.StartCmd{Task: "j/0", Endpoint: "e000", Attempt: 1}}
	h.advance(50 * time.Millisecond)
	if len(h.starts) != 0 || h.core.ready() {
		t.Errorf("%d starts without a majority", len(h.starts))
	}
}

// TestAbandon_ReportsActualOutcome guards against the outcome "not run" for
// work that may be in the log, and against work that is written after its
// caller was refused.
func TestAbandon_ReportsActualOutcome(t *testing.T) {
	h := newHarness(t, scheduler.New(), 3, 0)
	h.logStalled = true
	h.submit(1, "sealed", nil)
	h.advance(25 * time.Millisecond)
	h.submit(2, "open", nil)
	h.submit(3, "kept", nil)
	h.send(AbandonMsg{Waiter: 1})
	h.send(AbandonMsg{Waiter: 2})
	h.logStalled = false
	h.send(CommittedMsg{Seq: h.core.journal.seq})
	h.advance(100 * time.Millisecond)
	want := map[Waiter]modeler.Outcome{1: modeler.OutcomeUnknown, 2: modeler.OutcomeNotRun, 3: modeler.OutcomeRan}
	for waiter, outcome := range want {
		if got := h.outcome(waiter); got != outcome {
			t.Errorf("caller %d got outcome %q, want %q", waiter, got, outcome)
		}
	}
	written := map[modeler.JobID]bool{}
	for _, batch := range h.batches {
		for _, j := range batch.Jobs {
			written[j.ID] = true
		}
		for _, r := range batch.Records {
			if r.Job == "open" {
				t.Error("a record of the refused job was written")
			}
		}
	}
	if !written["sealed"] || written["open"] || !written["kept"] {
		t.Errorf("jobs in the stream: %v", written)
	}
}

// TestOwnershipLost_DistinguishesVoid guards against the outcome "not run"
// after the loss of a partition when it is not certain that the open batch is
// void.
func TestOwnershipLost_DistinguishesVoid(t *testing.T) {
	for void, want := range map[bool]modeler.Outcome{true: modeler.OutcomeNotRun, false: modeler.OutcomeUnknown} {
		h := newHarness(t, scheduler.New(), 3, 0)
		h.logStalled = true
		h.submit(1, "sealed", nil)
		h.advance(25 * time.Millisecond)
		h.submit(2, "open", nil)
		h.send(OwnershipLostMsg{Void: void})
		if h.outcome(1) != want || h.outcome(2) != modeler.OutcomeNotRun {
			t.Errorf("void %t: callers got outcomes %q and %q", void, h.outcome(1), h.outcome(2))
		}
	}
}

// TestBacklog_IsBounded guards against memory use that grows throughout a log
// outage, and against a task result that is acknowledged and then lost.
func TestBacklog_IsBounded(t *testing.T) {
	h := newHarness(t, scheduler.New(), 2, 0)
	h.submit(1, "j", func(j *modeler.Job) { j.Tasks = 8 })
	h.advance(100 * time.Millisecond)
	h.logStalled = true
	h.finishTask(h.starts[0])
	h.advance(50 * time.Millisecond)
	h.core.journal.items = append(h.core.journal.items, make([]item, maxBacklog)...)
	before := len(h.core.journal.items)
	h.finishTask(h.starts[1])
	h.submit(2, "j2", nil)
	if len(h.core.journal.items) != before || h.outcome(2) != modeler.OutcomeNotRun {
		t.Errorf("the backlog grew from %d to %d", before, len(h.core.journal.items))
	}
	for _, e := range h.core.endpoints {
		if len(e.acks) > 0 {
			t.Errorf("endpoint %s got acknowledgements for %v", e.instance.ID, e.acks)
		}
	}
}

// TestOnceCall_SentAfterIntent guards against a non-idempotent call that is
// sent before its intent is known to be in the log, or after its timeout.
func TestOnceCall_SentAfterIntent(t *testing.T) {
	h := newHarness(t, scheduler.New(), 1, 2)
	h.logStalled = true
	sent := 0
	count := func(msg Msg) {
		for _, cmd := range h.core.Update(msg, h.now) {
			if _, ok := cmd.(CallCmd); ok {
				sent++
			}
		}
	}
	for i, timeout := range []time.Duration{time.Second, 100 * time.Millisecond} {
		count(CallMsg{Waiter: Waiter(i + 1), CallMsg: modeler.CallMsg{
			Team: "humo", Service: "recall", Request: modeler.RequestID(fmt.Sprint("r", i)), Timeout: timeout,
		}})
		h.now = h.now.Add(30 * time.Millisecond)
		count(TickMsg{})
	}
	if sent != 0 {
		t.Fatal("a call was sent before its intent was committed")
	}
	h.now = h.now.Add(200 * time.Millisecond)
	count(CommittedMsg{Seq: h.core.journal.seq})
	h.now = h.now.Add(30 * time.Millisecond)
	count(TickMsg{})
	count(CommittedMsg{Seq: h.core.journal.seq})
	if sent != 1 {
		t.Errorf("%d calls were sent, want 1", sent)
	}
}

// TestStart_LostAnswer guards against a second start of a task at another
// endpoint while the first one, whose answer was lost, may still arrive.
func TestStart_LostAnswer(t *testing.T) {
	h := newHarness(t, scheduler.New(), 3, 0)
	h.submit(1, "j", nil)
	var first StartCmd
	hello := false
	for range 20 {
		h.now = h.now.Add(25 * time.Millisecond)
		for _, cmd := range h.core.Update(TickMsg{}, h.now) {
			switch cmd := cmd.(type) {
			case StartCmd:
				if first.Endpoint.ID != "" {
					t.Fatal("the task was started again before the outcome of the first start was known")
				}
				first = cmd
				h.core.Update(StartDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Err: errors.New("no answer")}, h.now)
			case HelloCmd:
				hello = hello || cmd.Endpoint.ID == first.Endpoint.ID
			case AppendCmd:
				h.core.Update(CommittedMsg{Seq: cmd.Batch.Seq}, h.now)
			case RenewCmd:
				h.send(h.execute(cmd))
			}
		}
	}
	if !hello {
		t.Error("no new session was opened to determine the outcome of the start")
	}
}

// TestPredecessorBatch_AttemptsContinue guards against starts that readers of
// the stream ignore because an earlier owner had already made later attempts.
func TestPredecessorBatch_AttemptsContinue(t *testing.T) {
	s := &scriptedScheduler{}
	h := newHarness(t, s, 3, 0)
	h.submit(1, "j", nil)
	h.advance(50 * time.Millisecond)
	h.send(PredecessorBatchMsg{Batch: encoder.Batch{
		Tasks: []encoder.TaskChange{{Job: "j", Task: "j/0", State: modeler.TaskQueued, Attempt: 2}},
	}})
	s.next = []scheduler.Command{scheduler.StartCmd{Task: "j/0", Endpoint: "e000", Attempt: 1}}
	h.advance(100 * time.Millisecond)
	if len(h.starts) != 1 || h.starts[0].Request.Task.Attempt != 3 {
		t.Fatalf("starts: %+v, want one with attempt 3", h.starts)
	}
	h.finishTask(h.starts[0])
	if state := h.core.tasks["j/0"].state; state != modeler.TaskFinished {
		t.Errorf("task is %s", state)
	}
}

// BenchmarkTask measures the cost in the core and the scheduler of one task
// from its submission to its end.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{50, 250} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h := newHarness(b, scheduler.New(), workers, 0)
			b.ResetTimer()
			for i := 0; i < b.N; i += 100 {
				for k := range 100 {
					h.submit(Waiter(i+k+1), modeler.JobID(fmt.Sprintf("j%d", i+k)), nil)
				}
				h.advance(100 * time.Millisecond)
				for _, start := range h.starts {
					h.finishTask(start)
				}
				h.starts, h.batches = nil, nil
				h.send(SnapshotMsg{PruneBefore: h.now})
			}
		})
	}
}
