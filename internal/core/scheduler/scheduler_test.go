package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// cluster is a scheduler with a simulated clock.
type cluster struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
}

// newCluster returns a cluster of workers with 8 processors in racks of two, and of
// teams a and b with equal shares and no effective limit.
func newCluster(t *testing.T, workers int) *cluster {
	t.Helper()
	c := &cluster{t: t, s: New(), now: time.Unix(1_700_000_000, 0)}
	for i := range workers {
		c.send(EndpointMsg{
			ID: modeler.InstanceID(fmt.Sprintf("w%02d", i)), Zone: "z", Rack: fmt.Sprint("r", i/2),
			Capacity: modeler.Resources{Millis: 8000, Memory: 64 << 30}, Usable: true,
		})
	}
	for _, id := range []modeler.TeamID{"a", "b"} {
		c.send(TeamMsg{ID: id, Share: 1, Allotment: modeler.Resources{Millis: 1 << 40, Memory: 1 << 50}})
	}

	return c
}

func (c *cluster) send(msg Msg) []Command { return append([]Command(nil), c.s.Update(msg, c.now)...) }

// job submits a job of tasks that declare a run time of ten minutes.
func (c *cluster) job(id modeler.JobID, team modeler.TeamID, tasks int, processors int64, change func(j *modeler.Job)) {
	j := modeler.Job{
		ID: id, Team: team, Queue: "q", Kind: modeler.WorkBatch, Class: modeler.ClassStandard, Tasks: tasks,
		Needs: modeler.Resources{Millis: processors * 1000, Memory: 1 << 30}, Runtime: 10 * time.Minute, Accepted: c.now,
	}
	if change != nil {
		change(&j)
	}
	c.send(JobMsg{Job: j})
}

// decide advances the clock and runs a pass.
func (c *cluster) decide(after time.Duration) []Command {
	c.now = c.now.Add(after)

	return c.send(DecideMsg{Budget: 1000})
}

func commandsOf[C Command](commands []Command) []C {
	var found []C
	for _, command := range commands {
		if c, ok := command.(C); ok {
			found = append(found, c)
		}
	}

	return found
}

// TestUrgentPreemptsLeastLoss guards against urgent work that waits for batch work,
// victims that lose more work than necessary, and a checkpoint that is never
// escalated.
func TestUrgentPreemptsLeastLoss(t *testing.T) {
	c := newCluster(t, 2)
	c.job("old", "a", 1, 8, nil)
	c.decide(time.Second)
	c.job("new", "a", 1, 8, nil)
	c.decide(time.Minute)
	// All checkpoints of the queue fail, so that preemption loses the elapsed time.
	c.s.histories["q"].checkpointRate = 0
	c.job("urgent", "b", 1, 4, func(j *modeler.Job) { j.Class = modeler.ClassUrgent })
	stops := commandsOf[StopCmd](c.decide(time.Millisecond))
	if len(stops) != 1 || stops[0].Task != "new/0" || !stops[0].Checkpoint {
		t.Fatalf("stops: %+v", stops)
	}
	if throttles := commandsOf[ThrottleCmd](c.decide(4 * time.Second)); len(throttles) != 1 {
		t.Fatalf("throttles: %+v", throttles)
	}
	if stops = commandsOf[StopCmd](c.decide(4 * time.Second)); len(stops) != 1 || stops[0].Checkpoint {
		t.Fatalf("stops after the checkpoint did not finish: %+v", stops)
	}
	c.send(EndedMsg{Task: "new/0", Result: ResultRequeue})
	if starts := commandsOf[StartCmd](c.decide(time.Millisecond)); len(starts) == 0 || starts[0].Job.ID != "urgent" {
		t.Fatalf("starts: %+v", starts)
	}
	if lost := c.s.Stats().LostCPUTime; lost < 8*time.Second {
		t.Fatalf("lost processor time is %v, want at least 8 s", lost)
	}
}

// TestBackfillKeepsReservation guards against small jobs that delay a gang with a
// reservation, and against reserved capacity that stays idle although a short job
// fits before the reserved start.
func TestBackfillKeepsReservation(t *testing.T) {
	c := newCluster(t, 2)
	c.job("first", "a", 1, 8, nil)
	c.decide(time.Second)
	c.job("gang", "b", 2, 8, func(j *modeler.Job) { j.Kind = modeler.WorkGang })
	for range 10 {
		c.decide(time.Second)
	}
	if len(c.s.reservations) != 1 {
		t.Fatalf("%d reservations", len(c.s.reservations))
	}
	c.job("long", "a", 1, 4, func(j *modeler.Job) { j.Runtime = 2 * time.Hour })
	c.job("short", "a", 1, 4, func(j *modeler.Job) { j.Runtime = time.Minute })
	starts := commandsOf[StartCmd](c.decide(time.Second))
	if len(starts) != 1 || starts[0].Job.ID != "short" {
		t.Fatalf("starts on reserved endpoints: %+v", starts)
	}
}

// TestEndangeredDeadline guards against a deadline warning that comes late, twice, or
// without a cause.
func TestEndangeredDeadline(t *testing.T) {
	c := newCluster(t, 1)
	j := modeler.Job{
		ID: "late", Team: "a", Queue: "q", Kind: modeler.WorkBatch, Tasks: 1, Runtime: time.Hour, Accepted: c.now,
		Needs: modeler.Resources{Millis: 1000}, Deadline: c.now.Add(30 * time.Minute),
	}
	records := commandsOf[RecordCmd](c.send(JobMsg{Job: j}))
	if len(records) != 1 || records[0].Event != modeler.EventEndangered || records[0].Cause != causeDeadline {
		t.Fatalf("records: %+v", records)
	}
	for range 30 {
		for _, record := range commandsOf[RecordCmd](c.decide(time.Second)) {
			if record.Event == modeler.EventEndangered {
				t.Fatalf("second warning: %+v", record)
			}
		}
	}
}

// TestLearnedRuntimePromotesInTime guards against a latest start computed from
// declared run times that the queue's tasks regularly exceed.
func TestLearnedRuntimePromotesInTime(t *testing.T) {
	c := newCluster(t, 1)
	for i := range 20 {
		id := modeler.JobID(fmt.Sprint("past", i))
		c.job(id, "a", 1, 1, nil)
		c.decide(time.Second)
		c.now = c.now.Add(30 * time.Minute)
		c.send(EndedMsg{Task: FormatTaskID(id, 0), Result: ResultOK})
	}
	c.job("busy", "b", 100, 1, nil)
	c.job("deadline", "a", 1, 1, func(j *modeler.Job) { j.Deadline = c.now.Add(35 * time.Minute) })
	c.decide(time.Second)
	if b := c.s.jobs["deadline"].band; b != bandEndangered {
		t.Fatalf("band %v with three times the declared run time and 35 minutes left", b)
	}
}

// TestReclaim guards against a team that does not get its fair share back within
// 30 s, and against preempting more of another team than exceeds its share.
func TestReclaim(t *testing.T) {
	c := newCluster(t, 10)
	c.job("lent", "a", 200, 1, nil)
	c.decide(time.Second)
	c.job("own", "b", 200, 1, nil)
	stopped := 0
	for range 29 {
		for _, stop := range commandsOf[StopCmd](c.decide(time.Second)) {
			stopped++
			c.send(EndedMsg{Task: stop.Task, Result: ResultRequeue, Checkpointed: true})
		}
	}
	if got := c.s.shares.Team("b").Running.Millis; got < 39_000 || got > 41_000 {
		t.Fatalf("team b has %d of 40000 after 30 s, %d tasks stopped", got, stopped)
	}
	if stopped > 41 {
		t.Fatalf("%d tasks stopped for 40", stopped)
	}
}

// TestQuarantine guards against a failing worker that keeps receiving tasks, more
// than a tenth of the workers in quarantine, and a quarantine that never ends.
func TestQuarantine(t *testing.T) {
	c := newCluster(t, 20)
	bad := map[modeler.InstanceID]bool{"w00": true, "w01": true, "w02": true}
	for i := range 200 {
		c.job(modeler.JobID(fmt.Sprint("j", i)), "a", 1, 1, nil)
		for _, start := range commandsOf[StartCmd](c.decide(100 * time.Millisecond)) {
			result := ResultOK
			if bad[start.Endpoint] {
				result = ResultFailed
			}
			c.send(EndedMsg{Task: start.Task, Result: result})
		}
		if c.s.Stats().Quarantined > 2 {
			t.Fatalf("%d of 20 workers are quarantined", c.s.Stats().Quarantined)
		}
	}
	if c.s.Stats().Quarantined != 2 {
		t.Fatalf("%d workers are quarantined, want 2", c.s.Stats().Quarantined)
	}
	c.decide(maxQuarantine)
	c.decide(time.Second)
	if c.s.Stats().Quarantined != 0 {
		t.Fatalf("%d workers are still quarantined", c.s.Stats().Quarantined)
	}
}

// TestRecordsCauseOnChange guards against a record per pass, and against a job that
// waits without any record.
func TestRecordsCauseOnChange(t *testing.T) {
	c := newCluster(t, 1)
	c.job("never", "a", 1, 9, nil)
	c.send(TeamMsg{ID: "b", Share: 1, Allotment: modeler.Resources{Millis: 1000, Memory: 1 << 40}})
	c.job("limited", "b", 2, 1, nil)
	causes := map[modeler.JobID][]string{}
	for range 100 {
		for _, record := range commandsOf[RecordCmd](c.decide(100 * time.Millisecond)) {
			causes[record.Job] = append(causes[record.Job], record.Cause)
		}
	}
	if got := causes["never"]; len(got) != 1 || got[0] != causeNeverFits {
		t.Errorf("causes of a job that never fits: %v", got)
	}
	if got := causes["limited"]; len(got) != 1 || got[0] != causeLimit {
		t.Errorf("causes of a job above the limit: %v", got)
	}
}

// TestLoweredLimit guards against a team that keeps using more than a lowered limit
// allows.
func TestLoweredLimit(t *testing.T) {
	c := newCluster(t, 2)
	c.job("work", "a", 10, 1, nil)
	c.decide(time.Second)
	stops := commandsOf[StopCmd](c.send(TeamMsg{ID: "a", Share: 1, Allotment: modeler.Resources{Millis: 4000, Memory: 1 << 40}}))
	if len(stops) != 6 {
		t.Fatalf("%d tasks stopped, want 6", len(stops))
	}
}

// TestAttempts guards against tasks that are retried indefinitely or on the worker
// where they failed, and against a repeated end report that ends a later attempt.
func TestAttempts(t *testing.T) {
	c := newCluster(t, 3)
	c.job("bad", "a", 1, 1, func(j *modeler.Job) { j.Attempts = 2 })
	first := commandsOf[StartCmd](c.decide(time.Second))[0]
	c.send(EndedMsg{Task: first.Task, Result: ResultFailed})
	second := commandsOf[StartCmd](c.decide(time.Second))[0]
	if second.Endpoint == first.Endpoint || second.Attempt != 2 {
		t.Fatalf("second attempt: %+v", second)
	}
	if commands := c.send(EndedMsg{Task: first.Task, Attempt: 1, Result: ResultFailed}); len(commands) > 0 {
		t.Fatalf("repeated end of the first attempt: %+v", commands)
	}
	records := commandsOf[RecordCmd](c.send(EndedMsg{Task: second.Task, Attempt: 2, Result: ResultFailed}))
	if len(records) != 1 || records[0].Event != modeler.EventFailed || len(c.s.jobs) != 0 {
		t.Fatalf("records: %+v, jobs: %d", records, len(c.s.jobs))
	}
}

// TestAdopt guards against a task that runs on two endpoints after a takeover.
func TestAdopt(t *testing.T) {
	c := newCluster(t, 2)
	c.job("kept", "a", 1, 1, nil)
	c.send(AdoptMsg{Task: "kept/0", Job: "kept", Endpoint: "w00", Attempt: 1, Started: c.now})
	stops := commandsOf[StopCmd](c.send(AdoptMsg{Task: "kept/0", Job: "kept", Endpoint: "w01", Attempt: 2}))
	if len(stops) != 1 || stops[0].Endpoint != "w01" {
		t.Fatalf("stops: %+v", stops)
	}
	if starts := commandsOf[StartCmd](c.decide(time.Second)); len(starts) != 0 {
		t.Fatalf("adopted task was started: %+v", starts)
	}
}

// TestChargesObservedUsage guards against overloaded workers when an endpoint reports
// more usage than was charged, or a queue's tasks use more than they declare.
func TestChargesObservedUsage(t *testing.T) {
	c := newCluster(t, 1)
	c.send(UsageMsg{Endpoint: "w00", Usage: modeler.Resources{Millis: 6000, Memory: 1 << 30}})
	c.job("first", "a", 8, 1, nil)
	if starts := commandsOf[StartCmd](c.decide(time.Second)); len(starts) != 2 {
		t.Fatalf("%d tasks started with 6 of 8 processors in use, want 2", len(starts))
	}
	c.send(UsageMsg{Endpoint: "w00"})
	c.decide(time.Second)
	for i := range 8 {
		c.send(EndedMsg{Task: FormatTaskID("first", i), Result: ResultOK, PeakUsage: modeler.Resources{Millis: 2000, Memory: 1 << 30}})
	}
	c.job("more", "a", 2, 1, nil)
	c.decide(time.Second)
	for i := range 2 {
		c.send(EndedMsg{Task: FormatTaskID("more", i), Result: ResultOK, PeakUsage: modeler.Resources{Millis: 2000, Memory: 1 << 30}})
	}
	c.job("last", "a", 8, 1, nil)
	if starts := commandsOf[StartCmd](c.decide(time.Second)); len(starts) != 4 {
		t.Fatalf("%d tasks started that use 2 of 8 processors each, want 4", len(starts))
	}
}

// TestRetriesWithoutEvents guards against a blocked gang or token request that is
// never retried because no other message arrives.
func TestRetriesWithoutEvents(t *testing.T) {
	c := newCluster(t, 2)
	c.send(TeamMsg{ID: "b", Share: 1, Allotment: modeler.Resources{Memory: 1 << 40}})
	c.job("limited", "b", 1, 1, nil)
	c.job("first", "a", 1, 8, nil)
	c.decide(time.Second)
	c.job("gang", "a", 2, 8, func(j *modeler.Job) { j.Kind = modeler.WorkGang })
	c.decide(time.Millisecond)
	c.send(EndedMsg{Task: "first/0", Result: ResultOK})
	requests, started := 0, 0
	for range 30 {
		commands := c.decide(50 * time.Millisecond)
		requests += len(commandsOf[TokensCmd](commands))
		started += len(commandsOf[StartCmd](commands))
	}
	if started != 2 || requests == 0 {
		t.Fatalf("%d tasks of the gang started, %d token requests", started, requests)
	}
}
