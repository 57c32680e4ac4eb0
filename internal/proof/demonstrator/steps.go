package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/proof/caller"
)

// The sizes of the work.
const (
	lookups       = 300
	publicLookups = 30
	lookupCallers = 12
	batchTasks    = 240
	urgentTasks   = 6
	gangTasks     = 8
	// tries bounds the attempts of one request; with the pauses in between
	// they outlast a takeover.
	tries = 15
)

// row is a line of the table.
type row struct {
	what     string
	requests int
	right    int
	answer   string
	waits    []time.Duration
	faults   []string
}

// add counts a request; a reason says why its answer is wrong.
func (r *row) add(waited time.Duration, reason string) {
	r.requests++
	r.waits = append(r.waits, waited)
	if reason == "" {
		r.right++

		return
	}
	r.faults = append(r.faults, reason)
}

// perform sends all work, with the failure of an owner on the way.
func (d *demo) perform(ctx context.Context) error {
	steps := []func(context.Context) row{
		d.lookups, d.publicLookups, d.alerts, d.withdrawn, d.overLimit, d.neverFits, d.batch, d.urgent, d.gang,
	}
	rows := make([]row, len(steps))
	var group sync.WaitGroup
	for i, step := range steps {
		group.Go(func() { rows[i] = step(ctx) })
	}
	time.Sleep(time.Second)
	err := d.killOwner(ctx)
	group.Wait()
	d.rows = rows

	return err
}

// killOwner kills the entry instance that owns a partition.
func (d *demo) killOwner(ctx context.Context) error {
	owners := d.cluster.Owners(ctx)
	names := make([]modeler.PartitionID, 0, len(owners))
	for name := range owners {
		names = append(names, name)
	}
	if len(names) == 0 {
		return errors.New("no partition has an owner")
	}
	slices.Sort(names)
	entry := owners[names[0]]
	entry.Process().Kill()
	d.printf("killed %s, the owner of partition %s (kill -9)\n", entry.Name, names[0])

	return nil
}

// calls sends calls of a service from several callers at once.
func (d *demo) calls(ctx context.Context, what string, team caller.Team, service caller.Service, n int) row {
	r := row{what: what, answer: "answered"}
	var mu sync.Mutex
	var group sync.WaitGroup
	for c := range lookupCallers {
		group.Go(func() {
			for i := c; i < n; i += lookupCallers {
				key := fmt.Sprintf("%s-%s-%d", service.Name, team.Name, i)
				result := d.recorder.Call(ctx, team, service, key, fmt.Appendf(nil, "station %d", i), tries)
				reason := ""
				if !result.Last.OK() {
					reason = refusal(result.Last)
				}
				mu.Lock()
				r.add(result.Latency, reason)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()

	return r
}

func (d *demo) lookups(ctx context.Context) row {
	what := "service calls (" + d.plan.idempotent.Name + ")"

	return d.calls(ctx, what, d.plan.idempotentTeam, d.plan.idempotent, lookups)
}

func (d *demo) publicLookups(ctx context.Context) row {
	return d.calls(ctx, "service calls without a key", d.plan.owner, d.plan.open, publicLookups)
}

// alerts sends each non-idempotent request twice with the same key.
func (d *demo) alerts(ctx context.Context) row {
	r := row{what: "non-idempotent call, sent twice", answer: "ran once"}
	for i := range 5 {
		key := fmt.Sprintf("%s-%d", d.plan.once.Name, i)
		var bodies [2][]byte
		for n := range bodies {
			result := d.recorder.Call(ctx, d.plan.onceTeam, d.plan.once, key, []byte("notice"), tries)
			reason := ""
			if !result.Last.OK() {
				reason = refusal(result.Last)
			}
			r.add(result.Latency, reason)
			bodies[n] = result.Last.Body
		}
		if string(bodies[0]) != string(bodies[1]) {
			r.right--
			r.faults = append(r.faults, key+": the second answer differs")
		}
	}

	return r
}

func refusal(a caller.Answer) string {
	return fmt.Sprintf("status %d, %s, %s: %s", a.Status, a.Outcome, a.Code, a.Detail)
}

// expect reports why an answer is not the wanted refusal of work not run.
func expect(a caller.Answer, code modeler.Code) string {
	if a.Outcome == modeler.OutcomeNotRun && a.Code == code {
		return ""
	}

	return refusal(a)
}

func (d *demo) withdrawn(ctx context.Context) row {
	r := row{what: "withdrawn key", answer: "refused, not run"}
	_, result := d.submit(ctx, d.plan.withdrawn, work{name: "withdrawn", tasks: 1, millis: 1000, run: "100ms"})
	r.add(result.Latency, expect(result.Last, modeler.CodeWithdrawnKey))

	return r
}

// overLimit needs one whole worker more than the team's upper limit.
func (d *demo) overLimit(ctx context.Context) row {
	r := row{what: "above the team's upper limit", answer: "refused, not run"}
	largest := d.cluster.Settings.WorkerCapacity().Millis
	tasks := int(d.plan.gang.limit.Millis/largest) + 1
	_, result := d.submit(ctx, d.plan.gang,
		work{name: "over-limit", tasks: tasks, millis: largest, run: "100ms", gang: true})
	r.add(result.Latency, expect(result.Last, modeler.CodeOverLimit))

	return r
}

func (d *demo) neverFits(ctx context.Context) row {
	r := row{what: "larger than any worker", answer: "refused, not run"}
	_, result := d.submit(ctx, d.plan.batch,
		work{name: "never-fits", tasks: 1, millis: d.cluster.Settings.WorkerCapacity().Millis + 1000, run: "100ms"})
	r.add(result.Latency, expect(result.Last, modeler.CodeNeverFits))

	return r
}

func (d *demo) batch(ctx context.Context) row {
	r, _ := d.job(ctx, d.plan.batch, work{name: "batch run", tasks: batchTasks, millis: 2000, run: "400ms"})

	return r
}

func (d *demo) urgent(ctx context.Context) row {
	r, _ := d.job(ctx, d.plan.urgent, work{name: "urgent job", tasks: urgentTasks, millis: 4000, run: "300ms"})

	return r
}

func (d *demo) gang(ctx context.Context) row {
	r, job := d.job(ctx, d.plan.gang,
		work{name: "all-at-once job", tasks: gangTasks, millis: 8000, run: "2s", gang: true})
	d.explained = string(job)

	return r
}

// work describes a job of equal tasks, each of which runs for run.
type work struct {
	name   string
	tasks  int
	millis int64
	run    string
	gang   bool
}

// submit submits a job.
func (d *demo) submit(ctx context.Context, to target, w work) (caller.SubmitReply, caller.Result) {
	return d.recorder.Submit(ctx, to.team, "demo-"+strings.ReplaceAll(w.name, " ", "-"), caller.JobRequest{
		Queue: to.queue, Tasks: w.tasks, Needs: modeler.Resources{Millis: w.millis, Memory: 1 << 30},
		Runtime: w.run, Rack: w.gang, Command: []string{"run", w.run},
	}, w.gang, tries)
}

// job submits a job and waits for its end.
func (d *demo) job(ctx context.Context, to target, w work) (row, modeler.JobID) {
	r := row{what: fmt.Sprintf("%s of %d tasks", w.name, w.tasks), answer: "finished"}
	begun := time.Now()
	reply, result := d.submit(ctx, to, w)
	if !result.Last.OK() {
		r.add(result.Latency, refusal(result.Last))

		return r, ""
	}
	status, err := d.await(ctx, to.team, reply.Job)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	for _, task := range status.Tasks {
		if task.State != modeler.TaskFinished {
			reason = fmt.Sprintf("task %s is %s: %s", task.Task, task.State, task.Cause)
		}
	}
	r.add(time.Since(begun), reason)

	return r, reply.Job
}

// await asks instances for the state of a job until it is final.
func (d *demo) await(ctx context.Context, team caller.Team, job modeler.JobID) (modeler.JobStatus, error) {
	var status modeler.JobStatus
	query := caller.NewGetRequest("/v1/jobs/"+string(job)+"?wait=2s", team.Secret)
	for ctx.Err() == nil {
		result := d.recorder.Pool.Send(ctx, query, 1)
		if result.Last.OK() {
			if err := json.Unmarshal(result.Last.Body, &status); err != nil {
				return status, err
			}
			if status.Final {
				return status, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}

	return status, errors.Errorf("job %s did not become final", job)
}
