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
func (w *randomCluster) send(t *rapid.T, msg Msg) {
	w.sent = append(w.sent, msg)
	started := map[modeler.JobID]int{}
	for _, command := range w.s.Update(msg, w.now) {
		w.trace = append(w.trace, command)
		start, ok := command.(StartCmd)
		if !ok {
			continue
		}
		if _, twice := w.running[start.Task]; twice {
			t.Fatalf("task %s started while it is running", start.Task)
		}
		w.running[start.Task] = start
		w.order = append(w.order, start.Task)
		started[start.Job.ID]++
	}
	w.check(t, started)
}

func (w *randomCluster) check(t *rapid.T, started map[modeler.JobID]int) {
	nodes, teams := map[modeler.InstanceID]modeler.Resources{}, map[modeler.TeamID]modeler.Resources{}
	for _, start := range w.running {
		nodes[start.Endpoint] = nodes[start.Endpoint].Add(start.Job.Needs)
		teams[start.Job.Team] = teams[start.Job.Team].Add(start.Job.Needs)
	}
	for id, used := range nodes {
		if !used.Fits(w.capacity[id]) {
			t.Fatalf("endpoint %s uses %v, capacity %v", id, used, w.capacity[id])
		}
	}
	for id := range teams {
		if len(started) > 0 && !teams[id].Fits(w.limits[id]) {
			t.Fatalf("team %s uses %v, allotment %v", id, teams[id], w.limits[id])
		}
	}
	for id, count := range started {
		if w.jobs[id].Kind == modeler.WorkGang {
			w.checkGang(t, w.jobs[id], count)
		}
	}
}

// checkGang fails if only some tasks of a gang were started, or if they are in
// different racks although the job requires one.
func (w *randomCluster) checkGang(t *rapid.T, job modeler.Job, count int) {
	running, racks := 0, map[string]bool{}
	for _, start := range w.running {
		if start.Job.ID == job.ID {
			running++
			racks[string(start.Endpoint[:2])] = true
		}
	}
	if waiting := len(w.s.jobs[job.ID].waiting); running != count || waiting > 0 {
		t.Fatalf("gang %s: %d tasks run after %d starts, %d are queued", job.ID, running, count, waiting)
	}
	if job.SameRack && len(racks) > 1 {
		t.Fatalf("job %s requires one rack and got %v", job.ID, racks)
	}
}

// step sends one random message.
func (w *randomCluster) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1, 2:
		w.submit(t)
	case 3, 4:
		w.send(t, DecideMsg{Budget: rapid.IntRange(1, 20).Draw(t, "budget")})
	case 5, 6:
		w.end(t)
	case 7:
		w.endpoint(t, rapid.IntRange(0, 7).Draw(t, "node"))
	case 8:
		if len(w.jobs) > 0 {
			w.send(t, CancelMsg{Job: modeler.JobID(fmt.Sprint("j", rapid.IntRange(0, len(w.jobs)-1).Draw(t, "job")))})
		}
	case 9:
		w.send(t, UsageMsg{Endpoint: "r0-0", Usage: w.needs(t)})
	}
}

func (w *randomCluster) needs(t *rapid.T) modeler.Resources {
	return modeler.Resources{
		Millis: int64(rapid.IntRange(1, 8).Draw(t, "millis")) * 500, Memory: int64(rapid.IntRange(0, 6).Draw(t, "memory")) << 30,
		Accelerators: int64(rapid.IntRange(0, 3).Draw(t, "accelerators") / 3),
	}
}

func (w *randomCluster) submit(t *rapid.T) {
	job := modeler.Job{
		ID: modeler.JobID(fmt.Sprint("j", len(w.jobs))), Queue: "q", Needs: w.needs(t),
		Team:     modeler.TeamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")),
		Kind:     rapid.SampledFrom([]modeler.WorkKind{modeler.WorkService, modeler.WorkBatch, modeler.WorkGang}).Draw(t, "work"),
		Class:    rapid.SampledFrom([]modeler.Class{modeler.ClassUrgent, modeler.ClassStandard, modeler.ClassDeferred}).Draw(t, "class"),
		Tasks:    rapid.IntRange(1, 6).Draw(t, "tasks"),
		Runtime:  time.Duration(rapid.IntRange(0, 60).Draw(t, "runtime")) * time.Second,
		Attempts: rapid.IntRange(1, 3).Draw(t, "attempts"), SameRack: rapid.Bool().Draw(t, "rack"), Accepted: w.now,
	}
	job.Once = job.Attempts == 1 && rapid.Bool().Draw(t, "once")
	if rapid.Bool().Draw(t, "dated") {
		job.Deadline = w.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "deadline")) * time.Second)
	}
	w.jobs[job.ID] = job
	w.send(t, JobMsg{Job: job})
}

func (w *randomCluster) end(t *rapid.T) {
	if len(w.order) == 0 {
		return
	}
	at := rapid.IntRange(0, len(w.order)-1).Draw(t, "task")
	id := w.order[at]
	w.order = append(w.order[:at:at], w.order[at+1:]...)
	delete(w.running, id)
	w.send(t, EndedMsg{
		Task: id, Checkpointed: rapid.Bool().Draw(t, "kept"),
		Result: rapid.SampledFrom([]Result{ResultOK, ResultFailed, ResultRequeue, ResultRefused, ResultUnknown}).Draw(t, "result"),
	})
}

// endpoint adds an endpoint, changes whether it is usable, or removes it after
// ending its tasks as the owner does.
func (w *randomCluster) endpoint(t *rapid.T, number int) {
	id := modeler.InstanceID(fmt.Sprintf("r%d-%d", number%2, number))
	capacity := modeler.Resources{Millis: 8000, Memory: 16 << 30, Accelerators: int64(number % 3)}
	if rapid.IntRange(0, 3).Draw(t, "change") > 0 {
		w.capacity[id] = capacity
		w.send(t, EndpointMsg{
			ID: id, Zone: "z", Rack: string(id[:2]), Capacity: capacity, Usable: rapid.IntRange(0, 4).Draw(t, "usable") > 0,
		})

		return
	}
	kept := w.order[:0:0]
	for _, task := range w.order {
		if w.running[task].Endpoint != id {
			kept = append(kept, task)

			continue
		}
		delete(w.running, task)
		w.send(t, EndedMsg{Task: task, Result: ResultRequeue, Cause: "endpoint gone"})
	}
	w.order = kept
	w.send(t, EndpointGoneMsg{ID: id})
}

func (w *randomCluster) setup(t *rapid.T) {
	for i, id := range []modeler.TeamID{"a", "b", "c"} {
		w.limits[id] = modeler.Resources{Millis: int64(i+1) * 10_000, Memory: 64 << 30, Accelerators: 2}
		w.send(t, TeamMsg{ID: id, Share: int64(i + 1), Allotment: w.limits[id]})
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "endpoints") {
		w.endpoint(t, i)
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
				w := newRandomCluster(settings)
				start := w.now
				w.setup(t)
				steps := rapid.IntRange(1, 120).Draw(t, "steps")
				times := make([]time.Time, 0, steps)
				for range steps {
					before := len(w.sent)
					w.step(t)
					for range len(w.sent) - before {
						times = append(times, w.now)
					}
				}
				if Violations() != violationsBefore || accountant.Violations() != refusedBefore {
					t.Fatalf("assertions were violated")
				}
				setup := len(w.sent) - len(times)
				again := New(WithSettings(settings))
				trace := make([]Command, 0, len(w.trace))
				for i, msg := range w.sent {
					at := start
					if i >= setup {
						at = times[i-setup]
					}
					trace = append(trace, again.Update(msg, at)...)
				}
				if len(trace)+len(w.trace) > 0 && !reflect.DeepEqual(w.trace, trace) {
					t.Fatalf("same messages, different commands:\n%s", cmp.Diff(w.trace, trace))
				}
			})
		})
	}
}
