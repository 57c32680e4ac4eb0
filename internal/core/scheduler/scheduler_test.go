package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// cluster is a scheduler in a test with its own clock.
type cluster struct {
	t   *testing.T
	s   *Scheduler
	now time.Time
}

// newCluster has workers of 8 processors in racks of two, and teams a and b
// with equal shares and no practical limit.
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

// job submits tasks of some processors for ten minutes.
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

func of[C Command](commands []Command) []C {
	var found []C
	for _, command := range commands {
		if c, ok := command.(C); ok {
			found = append(found, c)
		}
	}

	return found
}

// TestUrgentPreemptsLeastLost guards against urgent work that waits behind
// batch work, and against victims that lose more work than needed.
func TestUrgentPreemptsLeastLost(t *testing.T) {
	c := newCluster(t, 2)
	c.job("old", "a", 1, 8, nil)
	c.decide(time.Second)
	c.job("new", "a", 1, 8, nil)
	c.decide(time.Minute)
	// Checkpoints of the queue fail, so that elapsed time is lost.
	c.s.queues["q"].kept = 0
	c.job("urgent", "b", 1, 4, func(j *modeler.Job) { j.Class = modeler.ClassUrgent })
	stops := of[StopCmd](c.decide(time.Millisecond))
	if len(stops) != 1 || stops[0].Task != "new/0" || !stops[0].Checkpoint {
		t.Fatalf("stops: %+v", stops)
	}
	if throttles := of[ThrottleCmd](c.decide(4 * time.Second)); len(throttles) != 1 {
		t.Fatalf("throttles: %+v", throttles)
	}
	if stops = of[StopCmd](c.decide(4 * time.Second)); len(stops) != 1 || stops[0].Checkpoint {
		t.Fatalf("stops after the checkpoint did not end: %+v", stops)
	}
	c.send(EndedMsg{Task: "new/0", Result: ResultRequeue})
	if starts := of[StartCmd](c.decide(time.Millisecond)); len(starts) == 0 || starts[0].Job.ID != "urgent" {
		t.Fatalf("starts: %+v", starts)
	}
	if lost := c.s.Stats().LostCPUTime; lost < 8*time.Second {
		t.Fatalf("lost work of 8 processors for 8 s counted as %v", lost)
	}
}

// TestBackfillKeepsReservation guards against small work that delays an
// all-at-once job, and against capacity left idle until it starts.
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
	starts := of[StartCmd](c.decide(time.Second))
	if len(starts) != 1 || starts[0].Job.ID != "short" {
		t.Fatalf("starts beside the reservation: %+v", starts)
	}
}

// TestEndangeredDeadline guards against a warning that comes late, twice, or
// without a cause.
func TestEndangeredDeadline(t *testing.T) {
	c := newCluster(t, 1)
	j := modeler.Job{
		ID: "late", Team: "a", Queue: "q", Kind: modeler.WorkBatch, Tasks: 1, Runtime: time.Hour, Accepted: c.now,
		Needs: modeler.Resources{Millis: 1000}, Deadline: c.now.Add(30 * time.Minute),
	}
	notes := of[RecordCmd](c.send(JobMsg{Job: j}))
	if len(notes) != 1 || notes[0].Event != modeler.EventEndangered || notes[0].Cause != causeDeadline {
		t.Fatalf("notes: %+v", notes)
	}
	for range 30 {
		for _, note := range of[RecordCmd](c.decide(time.Second)) {
			if note.Event == modeler.EventEndangered {
				t.Fatalf("second warning: %+v", note)
			}
		}
	}
}

// TestLearnedRuntimeRaisesInTime guards against a latest start that trusts
// declared run times which the queue's tasks exceed.
func TestLearnedRuntimeRaisesInTime(t *testing.T) {
	c := newCluster(t, 1)
	for i := range 20 {
		id := modeler.JobID(fmt.Sprint("past", i))
		c.job(id, "a", 1, 1, nil)
		c.decide(time.Second)
		c.now = c.now.Add(30 * time.Minute)
		c.send(EndedMsg{Task: FormatTaskID(id, 0), Result: ResultOK})
	}
	c.job("busy", "b", 100, 1, nil)
	c.job("dated", "a", 1, 1, func(j *modeler.Job) { j.Deadline = c.now.Add(35 * time.Minute) })
	c.decide(time.Second)
	if b := c.s.jobs["dated"].band; b != bandDanger {
		t.Fatalf("band %v with three times the declared run time and 35 minutes left", b)
	}
}

// TestReclaim guards against a team that does not get its share back within
// 30 s, and against one that loses more than was lent to it.
func TestReclaim(t *testing.T) {
	c := newCluster(t, 10)
	c.job("lent", "a", 200, 1, nil)
	c.decide(time.Second)
	c.job("own", "b", 200, 1, nil)
	stopped := 0
	for range 29 {
		for _, stop := range of[StopCmd](c.decide(time.Second)) {
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

// TestQuarantine guards against a failing worker that keeps drawing tasks,
// against closing more than a tenth of the workers, and against one that is
// never opened again.
func TestQuarantine(t *testing.T) {
	c := newCluster(t, 20)
	bad := map[modeler.InstanceID]bool{"w00": true, "w01": true, "w02": true}
	for i := range 200 {
		c.job(modeler.JobID(fmt.Sprint("j", i)), "a", 1, 1, nil)
		for _, start := range of[StartCmd](c.decide(100 * time.Millisecond)) {
			result := ResultOK
			if bad[start.Endpoint] {
				result = ResultFailed
			}
			c.send(EndedMsg{Task: start.Task, Result: result})
		}
		if c.s.Stats().Quarantined > 2 {
			t.Fatalf("%d of 20 workers are closed", c.s.Stats().Quarantined)
		}
	}
	if c.s.Stats().Quarantined != 2 {
		t.Fatalf("%d workers are closed", c.s.Stats().Quarantined)
	}
	c.decide(holdMost)
	c.decide(time.Second)
	if c.s.Stats().Quarantined != 0 {
		t.Fatalf("%d workers are still closed", c.s.Stats().Quarantined)
	}
}

// TestNotesOnChange guards against a note for each pass, and against a job that
// waits without any.
func TestNotesOnChange(t *testing.T) {
	c := newCluster(t, 1)
	c.job("never", "a", 1, 9, nil)
	c.send(TeamMsg{ID: "b", Share: 1, Allotment: modeler.Resources{Millis: 1000, Memory: 1 << 40}})
	c.job("limited", "b", 2, 1, nil)
	causes := map[modeler.JobID][]string{}
	for range 100 {
		for _, note := range of[RecordCmd](c.decide(100 * time.Millisecond)) {
			causes[note.Job] = append(causes[note.Job], note.Cause)
		}
	}
	if got := causes["never"]; len(got) != 1 || got[0] != causeNeverFits {
		t.Errorf("notes of a job that never fits: %v", got)
	}
	if got := causes["limited"]; len(got) != 1 || got[0] != causeLimit {
		t.Errorf("notes of a job above the limit: %v", got)
	}
}

// TestLoweredLimit guards against a team that keeps more running than a lowered
// limit allows.
func TestLoweredLimit(t *testing.T) {
	c := newCluster(t, 2)
	c.job("work", "a", 10, 1, nil)
	c.decide(time.Second)
	stops := of[StopCmd](c.send(TeamMsg{ID: "a", Share: 1, Allotment: modeler.Resources{Millis: 4000, Memory: 1 << 40}}))
	if len(stops) != 6 {
		t.Fatalf("%d tasks stopped", len(stops))
	}
}

// TestAttempts guards against tasks that are retried for ever or on the worker
// where they failed, and against an end that reaches a later attempt.
func TestAttempts(t *testing.T) {
	c := newCluster(t, 3)
	c.job("bad", "a", 1, 1, func(j *modeler.Job) { j.Attempts = 2 })
	first := of[StartCmd](c.decide(time.Second))[0]
	c.send(EndedMsg{Task: first.Task, Result: ResultFailed})
	second := of[StartCmd](c.decide(time.Second))[0]
	if second.Endpoint == first.Endpoint || second.Attempt != 2 {
		t.Fatalf("second attempt: %+v", second)
	}
	if commands := c.send(EndedMsg{Task: first.Task, Attempt: 1, Result: ResultFailed}); len(commands) > 0 {
		t.Fatalf("repeated end of the first attempt: %+v", commands)
	}
	notes := of[RecordCmd](c.send(EndedMsg{Task: second.Task, Attempt: 2, Result: ResultFailed}))
	if len(notes) != 1 || notes[0].Event != modeler.EventFailed || len(c.s.jobs) != 0 {
		t.Fatalf("notes: %+v, jobs: %d", notes, len(c.s.jobs))
	}
}

// TestAdopt guards against a task that runs in two places after a takeover.
func TestAdopt(t *testing.T) {
	c := newCluster(t, 2)
	c.job("kept", "a", 1, 1, nil)
	c.send(AdoptMsg{Task: "kept/0", Job: "kept", Endpoint: "w00", Attempt: 1, Started: c.now})
	stops := of[StopCmd](c.send(AdoptMsg{Task: "kept/0", Job: "kept", Endpoint: "w01", Attempt: 2}))
	if len(stops) != 1 || stops[0].Endpoint != "w01" {
		t.Fatalf("stops: %+v", stops)
	}
	if starts := of[StartCmd](c.decide(time.Second)); len(starts) != 0 {
		t.Fatalf("adopted task was started: %+v", starts)
	}
}

// TestAccountsByUse guards against workers that are overloaded because a queue's
// tasks use more than they declare, or because an endpoint reports more use
// than was charged.
func TestAccountsByUse(t *testing.T) {
	c := newCluster(t, 1)
	c.send(UsageMsg{Endpoint: "w00", Usage: modeler.Resources{Millis: 6000, Memory: 1 << 30}})
	c.job("first", "a", 8, 1, nil)
	if starts := of[StartCmd](c.decide(time.Second)); len(starts) != 2 {
		t.Fatalf("%d tasks started beside use of 6 of 8 processors", len(starts))
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
	if starts := of[StartCmd](c.decide(time.Second)); len(starts) != 4 {
		t.Fatalf("%d tasks started that use 2 of 8 processors each", len(starts))
	}
}

// TestQuietClusterRetries guards against work that is never tried again on a
// cluster where nothing else happens.
func TestQuietClusterRetries(t *testing.T) {
	c := newCluster(t, 2)
	c.send(TeamMsg{ID: "b", Share: 1, Allotment: modeler.Resources{Memory: 1 << 40}})
	c.job("limited", "b", 1, 1, nil)
	c.job("first", "a", 1, 8, nil)
	c.decide(time.Second)
	c.job("gang", "a", 2, 8, func(j *modeler.Job) { j.Kind = modeler.WorkGang })
	c.decide(time.Millisecond)
	c.send(EndedMsg{Task: "first/0", Result: ResultOK})
	asked, started := 0, 0
	for range 30 {
		commands := c.decide(50 * time.Millisecond)
		asked += len(of[TokensCmd](commands))
		started += len(of[StartCmd](commands))
	}
	if started != 2 || asked == 0 {
		t.Fatalf("%d tasks of the all-at-once job started, %d requests for a higher limit", started, asked)
	}
}
