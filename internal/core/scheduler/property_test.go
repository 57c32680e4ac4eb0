package scheduler

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// randomCluster drives a scheduler with random messages and checks its commands
// against a simple model that shares no code with the ledger.
type randomCluster struct {
	s        *Scheduler
	now      time.Time
	capacity map[modeler.InstanceID]modeler.Resources
	limits   map[modeler.TeamID]modeler.Resources
	jobs     map[modeler.JobID]modeler.Job
	running  map[modeler.TaskID]StartCmd
	order    []modeler.TaskID
	sent     []Msg
	trace    []Command
}

func newRandomCluster(settings Settings) *randomCluster {
	return &randomCluster{
		s: New(WithSettings(settings)), now: time.Unix(1_700_000_000, 0),
		capacity: map[modeler.InstanceID]modeler.Resources{}, limits: map[modeler.TeamID]modeler.Resources{},
		jobs: map[modeler.JobID]modeler.Job{}, running: map[modeler.TaskID]StartCmd{},
	}
}

// send applies a message and checks the resulting commands.
func (rc *randomCluster) send(t *rapid.T, msg Msg) {
	rc.sent = append(rc.sent, msg)
	started := map[modeler.JobID]int{}
	for _, command := range rc.s.Update(msg, rc.now) {
		rc.trace = append(rc.trace, command)
		start, ok := command.(StartCmd)
		if !ok {
			continue
		}
		if _, twice := rc.running[start.Task]; twice {
			t.Fatalf("task %s started while it is running", start.Task)
		}
		rc.running[start.Task] = start
		rc.order = append(rc.order, start.Task)
		started[start.Job.ID]++
	}
	rc.check(t, started)
}

func (rc *randomCluster) check(t *rapid.T, started map[modeler.JobID]int) {
	nodes, teams := map[modeler.InstanceID]modeler.Resources{}, map[modeler.TeamID]modeler.Resources{}
	for _, start := range rc.running {
		nodes[start.Endpoint] = nodes[start.Endpoint].Add(start.Job.Needs)
		teams[start.Job.Team] = teams[start.Job.Team].Add(start.Job.Needs)
	}
	for id, used := range nodes {
		if !used.Fits(rc.capacity[id]) {
			t.Fatalf("endpoint %s uses %v, capacity %v", id, used, rc.capacity[id])
		}
	}
	for id := range teams {
		if len(started) > 0 && !teams[id].Fits(rc.limits[id]) {
			t.Fatalf("team %s uses %v, allotment %v", id, teams[id], rc.limits[id])
		}
	}
	for id, count := range started {
		if rc.jobs[id].Kind == modeler.WorkGang {
			rc.checkGang(t, rc.jobs[id], count)
		}
	}
}

// checkGang fails if only some tasks of a gang were started, or if they are in
// different racks although the job requires one.
func (rc *randomCluster) checkGang(t *rapid.T, job modeler.Job, count int) {
	running, racks := 0, map[string]bool{}
	for _, start := range rc.running {
		if start.Job.ID == job.ID {
			running++
			racks[string(start.Endpoint[:2])] = true
		}
	}
	if waiting := len(rc.s.jobs[job.ID].waiting); running != count || waiting > 0 {
		t.Fatalf("gang %s: %d tasks run after %d starts, %d are queued", job.ID, running, count, waiting)
	}
	if job.SameRack && len(racks) > 1 {
		t.Fatalf("job %s requires one rack and got %v", job.ID, racks)
	}
}

// step sends one random message.
func (rc *randomCluster) step(t *rapid.T) {
	rc.now = rc.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1, 2:
		rc.submit(t)
	case 3, 4:
		rc.send(t, DecideMsg{Budget: rapid.IntRange(1, 20).Draw(t, "budget")})
	case 5, 6:
		rc.end(t)
	case 7:
		rc.endpoint(t, rapid.IntRange(0, 7).Draw(t, "node"))
	case 8:
		if len(rc.jobs) > 0 {
			rc.send(t, CancelMsg{Job: modeler.JobID(fmt.Sprint("j", rapid.IntRange(0, len(rc.jobs)-1).Draw(t, "job")))})
		}
	case 9:
		rc.send(t, UsageMsg{Endpoint: "r0-0", Usage: rc.needs(t)})
	}
}

func (rc *randomCluster) needs(t *rapid.T) modeler.Resources {
	return modeler.Resources{
		Millis: int64(rapid.IntRange(1, 8).Draw(t, "millis")) * 500, Memory: int64(rapid.IntRange(0, 6).Draw(t, "memory")) << 30,
		Accelerators: int64(rapid.IntRange(0, 3).Draw(t, "accelerators") / 3),
	}
}

func (rc *randomCluster) submit(t *rapid.T) {
	job := modeler.Job{
		ID: modeler.JobID(fmt.Sprint("j", len(rc.jobs))), Queue: "q", Needs: rc.needs(t),
		Team:     modeler.TeamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")),
		Kind:     rapid.SampledFrom([]modeler.WorkKind{modeler.WorkService, modeler.WorkBatch, modeler.WorkGang}).Draw(t, "work"),
		Class:    rapid.SampledFrom([]modeler.Class{modeler.ClassUrgent, modeler.ClassStandard, modeler.ClassDeferred}).Draw(t, "class"),
		Tasks:    rapid.IntRange(1, 6).Draw(t, "tasks"),
		Runtime:  time.Duration(rapid.IntRange(0, 60).Draw(t, "runtime")) * time.Second,
		Attempts: rapid.IntRange(1, 3).Draw(t, "attempts"), SameRack: rapid.Bool().Draw(t, "rack"), Accepted: rc.now,
	}
	job.Once = job.Attempts == 1 && rapid.Bool().Draw(t, "once")
	if rapid.Bool().Draw(t, "has deadline") {
		job.Deadline = rc.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "deadline")) * time.Second)
	}
	rc.jobs[job.ID] = job
	rc.send(t, JobMsg{Job: job})
}

func (rc *randomCluster) end(t *rapid.T) {
	if len(rc.order) == 0 {
		return
	}
	at := rapid.IntRange(0, len(rc.order)-1).Draw(t, "task")
	id := rc.order[at]
	rc.order = append(rc.order[:at:at], rc.order[at+1:]...)
	delete(rc.running, id)
	rc.send(t, EndedMsg{
		Task: id, Checkpointed: rapid.Bool().Draw(t, "checkpointed"),
		Result: rapid.SampledFrom([]Result{ResultOK, ResultFailed, ResultRequeue, ResultRefused, ResultUnknown}).Draw(t, "result"),
	})
}

// endpoint adds an endpoint, changes whether it is usable, or removes it after
// ending its tasks as the owner does.
func (rc *randomCluster) endpoint(t *rapid.T, number int) {
	id := modeler.InstanceID(fmt.Sprintf("r%d-%d", number%2, number))
	capacity := modeler.Resources{Millis: 8000, Memory: 16 << 30, Accelerators: int64(number % 3)}
	if rapid.IntRange(0, 3).Draw(t, "change") > 0 {
		rc.capacity[id] = capacity
		rc.send(t, EndpointMsg{
			ID: id, Zone: "z", Rack: string(id[:2]), Capacity: capacity, Usable: rapid.IntRange(0, 4).Draw(t, "usable") > 0,
		})

		return
	}
	kept := rc.order[:0:0]
	for _, task := range rc.order {
		if rc.running[task].Endpoint != id {
			kept = append(kept, task)

			continue
		}
		delete(rc.running, task)
		rc.send(t, EndedMsg{Task: task, Result: ResultRequeue, Cause: "endpoint gone"})
	}
	rc.order = kept
	rc.send(t, EndpointGoneMsg{ID: id})
}

func (rc *randomCluster) setup(t *rapid.T) {
	for i, id := range []modeler.TeamID{"a", "b", "c"} {
		rc.limits[id] = modeler.Resources{Millis: int64(i+1) * 10_000, Memory: 64 << 30, Accelerators: 2}
		rc.send(t, TeamMsg{ID: id, Share: int64(i + 1), Allotment: rc.limits[id]})
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		rc.endpoint(t, i)
	}
}

// TestInvariants guards against starts beyond an endpoint's capacity or a team's
// allotment, partly started gangs, tasks that run twice, and commands that depend on
// anything but the messages and their times.
func TestInvariants(t *testing.T) {
	for name, settings := range map[string]Settings{"full": DefaultSettings(), "previous": LegacySettings(), "two": TwoChoicesSettings()} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				violationsBefore, refusedBefore := Violations(), accountant.Violations()
				rc := newRandomCluster(settings)
				start := rc.now
				rc.setup(t)
				steps := rapid.IntRange(1, 120).Draw(t, "steps")
				times := make([]time.Time, 0, steps)
				for range steps {
					before := len(rc.sent)
					rc.step(t)
					for range len(rc.sent) - before {
						times = append(times, rc.now)
					}
				}
				if Violations() != violationsBefore || accountant.Violations() != refusedBefore {
					t.Fatalf("assertions were violated")
				}
				setup := len(rc.sent) - len(times)
				again := New(WithSettings(settings))
				trace := make([]Command, 0, len(rc.trace))
				for i, msg := range rc.sent {
					at := start
					if i >= setup {
						at = times[i-setup]
					}
					trace = append(trace, again.Update(msg, at)...)
				}
				if len(trace)+len(rc.trace) > 0 && !reflect.DeepEqual(rc.trace, trace) {
					t.Fatalf("same messages, different commands:\n%s", cmp.Diff(rc.trace, trace))
				}
			})
		})
	}
}
