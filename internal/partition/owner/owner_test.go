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

// bench drives a core with endpoints that answer every command at once. The
// log confirms batches unless it is stuck.
type bench struct {
	t          testing.TB
	core       *Core
	now        time.Time
	stuck      bool
	batches    []encoder.Batch
	answers    map[Waiter]AnswerCmd
	starts     []StartCmd
	tasks      map[modeler.InstanceID]map[modeler.TaskID]messenger.Task
	violations []string
}

func newBench(t testing.TB, decider Scheduler, workers, executors int) *bench {
	b := &bench{
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
	b.core = New("a", modeler.NewTerm(1, 0), 1, state, WithScheduler(decider), WithViolation(func(invariant, _ string) {
		b.violations = append(b.violations, invariant)
	}))
	limit := modeler.Resources{Millis: 1 << 40, Memory: 1 << 60, Slots: 1 << 40}
	b.send(ConfigMsg{Offset: 1, Document: modeler.Document{
		Partitions: []modeler.Partition{{Name: "costa-1", Region: "costa", Weight: 1}},
		Teams: []modeler.Team{
			{Name: "humo", Share: 1, Limit: limit}, {Name: "small", Share: 1, Limit: modeler.Resources{Millis: 1000, Memory: 1 << 30}},
		},
	}})
	b.send(EndpointsMsg{Instances: instances})
	b.pass(100 * time.Millisecond)

	return b
}

// send passes a message to the core and carries out what follows from it.
func (b *bench) send(msg Msg) {
	todo := b.core.Update(msg, b.now)
	for len(todo) > 0 {
		cmd := todo[0]
		todo = todo[1:]
		if reply := b.obey(cmd); reply != nil {
			todo = append(todo, b.core.Update(reply, b.now)...)
		}
	}
}

func (b *bench) obey(cmd Command) Msg {
	switch cmd := cmd.(type) {
	case HelloCmd:
		return HelloDoneMsg{Endpoint: cmd.Endpoint.ID, Term: cmd.Request.Term, Sent: b.now, Reply: messenger.HelloReply{
			Session: 1, Term: cmd.Request.Term, Capacity: modeler.Resources{Millis: 4000, Memory: 16 << 30, Slots: 2},
		}}
	case RenewCmd:
		reply := messenger.RenewReply{}
		for id := range b.tasks[cmd.Endpoint.ID] {
			reply.Tasks = append(reply.Tasks, id)
		}

		return RenewDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Sent: b.now, Reply: reply}
	case StartCmd:
		b.starts = append(b.starts, cmd)
		if b.tasks[cmd.Endpoint.ID] == nil {
			b.tasks[cmd.Endpoint.ID] = map[modeler.TaskID]messenger.Task{}
		}
		b.tasks[cmd.Endpoint.ID][cmd.Request.Task.ID] = cmd.Request.Task

		return StartDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request}
	case AppendCmd:
		b.batches = append(b.batches, cmd.Batch)
		if !b.stuck {
			return CommittedMsg{Seq: cmd.Batch.Seq}
		}
	case AnswerCmd:
		if _, twice := b.answers[cmd.Waiter]; twice {
			b.t.Errorf("caller %d was answered twice", cmd.Waiter)
		}
		b.answers[cmd.Waiter] = cmd
	}

	return nil
}

// pass lets time pass in ticks.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(25 * time.Millisecond)
		b.send(TickMsg{})
	}
}

// finish ends a started task and reports it with the next renewal.
func (b *bench) finish(start StartCmd) {
	task := start.Request.Task
	delete(b.tasks[start.Endpoint.ID], task.ID)
	reply := messenger.RenewReply{Finished: []messenger.TaskResult{
		{Task: task.ID, Job: task.Job, Team: task.Team, Attempt: task.Attempt, OK: true},
	}}
	for id := range b.tasks[start.Endpoint.ID] {
		reply.Tasks = append(reply.Tasks, id)
	}
	request := messenger.RenewRequest{Session: 1, Term: start.Request.Term}
	b.send(RenewDoneMsg{Endpoint: start.Endpoint.ID, Request: request, Sent: b.now, Reply: reply})
}

func (b *bench) submit(waiter Waiter, id modeler.JobID, change func(*modeler.Job)) {
	j := modeler.Job{
		ID: id, Team: "humo", Queue: "q", Kind: modeler.WorkBatch, Tasks: 1, Needs: modeler.Resources{Millis: 1000, Memory: 1 << 30},
	}
	if change != nil {
		change(&j)
	}
	b.send(SubmitMsg{Waiter: waiter, SubmitMsg: modeler.SubmitMsg{Job: j}})
}

// outcome returns what a caller was told, or "" if nothing.
func (b *bench) outcome(waiter Waiter) modeler.Outcome {
	answer, ok := b.answers[waiter]
	switch {
	case !ok:
		return ""
	case answer.Err == nil:
		return modeler.OutcomeRan
	}

	return answer.Err.Outcome
}

// scripted is a decider that gives chosen commands in its next pass.
type scripted struct{ next []scheduler.Command }

func (s *scripted) Update(msg scheduler.Msg, _ time.Time) []scheduler.Command {
	if _, ok := msg.(scheduler.DecideMsg); !ok {
		return nil
	}
	commands := s.next
	s.next = nil

	return commands
}

// TestAssertions_RefuseStarts guards against assertions that let a faulty
// decision of the scheduler reach an endpoint.
func TestAssertions_RefuseStarts(t *testing.T) {
	start := func(task modeler.TaskID, at modeler.InstanceID) scheduler.Command {
		return scheduler.StartCmd{Task: task, Endpoint: at, Attempt: 1}
	}
	for name, test := range map[string]struct {
		change   func(*modeler.Job)
		commands []scheduler.Command
		starts   int
		want     []string
	}{
		"sound":       {nil, []scheduler.Command{start("j/0", "e000"), start("j/1", "e001")}, 2, nil},
		"overcommits": {func(j *modeler.Job) { j.Needs.Millis = 3000 }, []scheduler.Command{start("j/0", "e000"), start("j/1", "e000")}, 1, []string{"I1"}},
		"two places":  {nil, []scheduler.Command{start("j/0", "e000"), start("j/0", "e001")}, 1, []string{"I2"}},
		"above limit": {func(j *modeler.Job) { j.Team = "small" }, []scheduler.Command{start("j/0", "e000"), start("j/1", "e001")}, 1, []string{"I4"}},
		"not listed":  {nil, []scheduler.Command{start("j/0", "nowhere"), start("nothing", "e000")}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			decider := &scripted{}
			b := newBench(t, decider, 3, 0)
			b.submit(1, "j", func(j *modeler.Job) {
				j.Tasks = 2
				if test.change != nil {
					test.change(j)
				}
			})
			b.pass(50 * time.Millisecond)
			decider.next = test.commands
			b.pass(50 * time.Millisecond)
			if len(b.starts) != test.starts || !slices.Equal(b.violations, test.want) {
				t.Errorf("%d starts, violations %v; want %d and %v", len(b.starts), b.violations, test.starts, test.want)
			}
		})
	}
}

// TestStart_NeedsMajority guards against starts by an owner whose renewals are
// not answered by a majority of its endpoints.
func TestStart_NeedsMajority(t *testing.T) {
	decider := &scripted{}
	b := newBench(t, decider, 5, 0)
	b.submit(1, "j", nil)
	b.pass(50 * time.Millisecond)
	for _, id := range []modeler.InstanceID{"e002", "e003", "e004"} {
		e := b.core.endpoints[id]
		e.busy, e.fresh = true, b.now.Add(-MaxRenewalAge)
	}
	decider.next = []scheduler.Command{scheduler.StartCmd{Task: "j/0", Endpoint: "e000", Attempt: 1}}
	b.pass(50 * time.Millisecond)
	if len(b.starts) != 0 || b.core.Ready() {
		t.Errorf("%d starts without a majority", len(b.starts))
	}
}

// TestAbandon_TellsTheTruth guards against "not run" for work that may be in
// the log, and against work that is written after its caller was refused.
func TestAbandon_TellsTheTruth(t *testing.T) {
	b := newBench(t, scheduler.New(), 3, 0)
	b.stuck = true
	b.submit(1, "sealed", nil)
	b.pass(25 * time.Millisecond)
	b.submit(2, "open", nil)
	b.submit(3, "kept", nil)
	b.send(AbandonMsg{Waiter: 1})
	b.send(AbandonMsg{Waiter: 2})
	b.stuck = false
	b.send(CommittedMsg{Seq: b.core.journal.seq})
	b.pass(100 * time.Millisecond)
	want := map[Waiter]modeler.Outcome{1: modeler.OutcomeUnknown, 2: modeler.OutcomeNotRun, 3: modeler.OutcomeRan}
	for waiter, outcome := range want {
		if got := b.outcome(waiter); got != outcome {
			t.Errorf("caller %d was told %q, want %q", waiter, got, outcome)
		}
	}
	written := map[modeler.JobID]bool{}
	for _, batch := range b.batches {
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

// TestLost_DistinguishesVoid guards against "not run" after the loss of a
// partition when it is not certain that the open batch is void.
func TestLost_DistinguishesVoid(t *testing.T) {
	for void, want := range map[bool]modeler.Outcome{true: modeler.OutcomeNotRun, false: modeler.OutcomeUnknown} {
		b := newBench(t, scheduler.New(), 3, 0)
		b.stuck = true
		b.submit(1, "sealed", nil)
		b.pass(25 * time.Millisecond)
		b.submit(2, "open", nil)
		b.send(OwnershipLostMsg{Void: void})
		if b.outcome(1) != want || b.outcome(2) != modeler.OutcomeNotRun {
			t.Errorf("void %t: callers were told %q and %q", void, b.outcome(1), b.outcome(2))
		}
	}
}

// TestBacklog_IsBounded guards against memory that grows through a log outage,
// and against a finish that is acknowledged and then lost.
func TestBacklog_IsBounded(t *testing.T) {
	b := newBench(t, scheduler.New(), 2, 0)
	b.submit(1, "j", func(j *modeler.Job) { j.Tasks = 8 })
	b.pass(100 * time.Millisecond)
	b.stuck = true
	b.finish(b.starts[0])
	b.pass(50 * time.Millisecond)
	b.core.journal.items = append(b.core.journal.items, make([]item, maxBacklog)...)
	before := len(b.core.journal.items)
	b.finish(b.starts[1])
	b.submit(2, "j2", nil)
	if len(b.core.journal.items) != before || b.outcome(2) != modeler.OutcomeNotRun {
		t.Errorf("the backlog grew from %d to %d", before, len(b.core.journal.items))
	}
	for _, e := range b.core.endpoints {
		if len(e.acks) > 0 {
			t.Errorf("endpoint %s was told to forget %v", e.instance.ID, e.acks)
		}
	}
}

// TestOnceCall_SentAfterIntent guards against a non-idempotent call that is
// sent before its intent is known to be in the log, or after its time is over.
func TestOnceCall_SentAfterIntent(t *testing.T) {
	b := newBench(t, scheduler.New(), 1, 2)
	b.stuck = true
	sent := 0
	count := func(msg Msg) {
		for _, cmd := range b.core.Update(msg, b.now) {
			if _, ok := cmd.(CallCmd); ok {
				sent++
			}
		}
	}
	for i, timeout := range []time.Duration{time.Second, 100 * time.Millisecond} {
		count(CallMsg{Waiter: Waiter(i + 1), CallMsg: modeler.CallMsg{
			Team: "humo", Service: "recall", Request: modeler.RequestID(fmt.Sprint("r", i)), Timeout: timeout,
		}})
		b.now = b.now.Add(30 * time.Millisecond)
		count(TickMsg{})
	}
	if sent != 0 {
		t.Fatal("a call was sent before its intent was read back")
	}
	b.now = b.now.Add(200 * time.Millisecond)
	count(CommittedMsg{Seq: b.core.journal.seq})
	b.now = b.now.Add(30 * time.Millisecond)
	count(TickMsg{})
	count(CommittedMsg{Seq: b.core.journal.seq})
	if sent != 1 {
		t.Errorf("%d calls were sent, want 1", sent)
	}
}

// TestStart_LostAnswer guards against a second start elsewhere while the first
// one may still arrive.
func TestStart_LostAnswer(t *testing.T) {
	b := newBench(t, scheduler.New(), 3, 0)
	b.submit(1, "j", nil)
	var first StartCmd
	hello := false
	for range 20 {
		b.now = b.now.Add(25 * time.Millisecond)
		for _, cmd := range b.core.Update(TickMsg{}, b.now) {
			switch cmd := cmd.(type) {
			case StartCmd:
				if first.Endpoint.ID != "" {
					t.Fatal("the task was started again before the first start was settled")
				}
				first = cmd
				b.core.Update(StartDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Err: errors.New("no answer")}, b.now)
			case HelloCmd:
				hello = hello || cmd.Endpoint.ID == first.Endpoint.ID
			case AppendCmd:
				b.core.Update(CommittedMsg{Seq: cmd.Batch.Seq}, b.now)
			case RenewCmd:
				b.send(b.obey(cmd))
			}
		}
	}
	if !hello {
		t.Error("no new session was opened to settle the start")
	}
}

// TestForeign_AttemptsGoOn guards against starts that readers of the stream
// ignore because an earlier owner had already made later attempts.
func TestForeign_AttemptsGoOn(t *testing.T) {
	decider := &scripted{}
	b := newBench(t, decider, 3, 0)
	b.submit(1, "j", nil)
	b.pass(50 * time.Millisecond)
	b.send(PredecessorBatchMsg{Batch: encoder.Batch{
		Tasks: []encoder.TaskChange{{Job: "j", Task: "j/0", State: modeler.TaskQueued, Attempt: 2}},
	}})
	decider.next = []scheduler.Command{scheduler.StartCmd{Task: "j/0", Endpoint: "e000", Attempt: 1}}
	b.pass(100 * time.Millisecond)
	if len(b.starts) != 1 || b.starts[0].Request.Task.Attempt != 3 {
		t.Fatalf("starts: %+v, want one with attempt 3", b.starts)
	}
	b.finish(b.starts[0])
	if state := b.core.tasks["j/0"].state; state != modeler.TaskFinished {
		t.Errorf("task is %s", state)
	}
}

// BenchmarkTask measures the core's share of the cost of one task from its
// submission to its end, with the scheduler.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{50, 250} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newBench(b, scheduler.New(), workers, 0)
			b.ResetTimer()
			for i := 0; i < b.N; i += 100 {
				for k := range 100 {
					d.submit(Waiter(i+k+1), modeler.JobID(fmt.Sprintf("j%d", i+k)), nil)
				}
				d.pass(100 * time.Millisecond)
				for _, start := range d.starts {
					d.finish(start)
				}
				d.starts, d.batches = nil, nil
				d.send(SnapshotMsg{PruneBefore: d.now})
			}
		})
	}
}
