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

// Numbers of requests, callers and tasks.
const (
	lookups       = 300
	publicLookups = 30
	lookupCallers = 12
	batchTasks    = 240
	urgentTasks   = 6
	gangTasks     = 8
	// maxAttempts bounds the attempts of one request. Together with the pauses
	// between them they take longer than a takeover.
	maxAttempts = 15
)

// row is a row of the table: the requests of one kind of work.
type row struct {
	work      string
	requests  int
	correct   int
	answer    string
	latencies []time.Duration
	failures  []string
}

// add counts a request. reason states why its answer is wrong and is empty if the
// answer is correct.
func (r *row) add(latency time.Duration, reason string) {
	r.requests++
	r.latencies = append(r.latencies, latency)
	if reason == "" {
		r.correct++

		return
	}
	r.failures = append(r.failures, reason)
}

// sendWork sends all kinds of work at the same time and kills an owner meanwhile.
func (d *demo) sendWork(ctx context.Context) error {
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

// killOwner kills the entry instance that owns the first partition.
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

// calls sends n calls of a service from several concurrent callers.
func (d *demo) calls(ctx context.Context, work string, team caller.Team, service caller.Service, n int) row {
	r := row{work: work, answer: "answered"}
	var mu sync.Mutex
	var group sync.WaitGroup
	for c := range lookupCallers {
		group.Go(func() {
			for i := c; i < n; i += lookupCallers {
				key := fmt.Sprintf("%s-%s-%d", service.Name, team.Name, i)
				result := d.recorder.Call(ctx, team, service, key, fmt.Appendf(nil, "station %d", i), maxAttempts)
				reason := ""
				if !result.Last.OK() {
					reason = describeAnswer(result.Last)
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
	work := "service calls (" + d.plan.idempotent.Name + ")"

	return d.calls(ctx, work, d.plan.idempotentTeam, d.plan.idempotent, lookups)
}

func (d *demo) publicLookups(ctx context.Context) row {
	return d.calls(ctx, "service calls without a key", d.plan.openTeam, d.plan.open, publicLookups)
}

// alerts sends each non-idempotent request twice with the same key.
func (d *demo) alerts(ctx context.Context) row {
	r := row{work: "non-idempotent call, sent twice", answer: "ran once"}
	for i := range 5 {
		key := fmt.Sprintf("%s-%d", d.plan.nonIdempotent.Name, i)
		var bodies [2][]byte
		for n := range bodies {
			result := d.recorder.Call(ctx, d.plan.nonIdempotentTeam, d.plan.nonIdempotent, key, []byte("notice"), maxAttempts)
			reason := ""
			if !result.Last.OK() {
				reason = describeAnswer(result.Last)
			}
			r.add(result.Latency, reason)
			bodies[n] = result.Last.Body
		}
		if string(bodies[0]) != string(bodies[1]) {
			r.correct--
			r.failures = append(r.failures, key+": the second answer differs")
		}
	}

	return r
}

func describeAnswer(a caller.Answer) string {
	return fmt.Sprintf("status %d, %s, %s: %s", a.Status, a.Outcome, a.Code, a.Detail)
}

// unexpectedAnswer describes an answer that is not a refusal with the given code
// and the outcome not run. It returns an empty string for the expected refusal.
func unexpectedAnswer(a caller.Answer, code modeler.Code) string {
	if a.Outcome == modeler.OutcomeNotRun && a.Code == code {
		return ""
	}

	return describeAnswer(a)
}

func (d *demo) withdrawn(ctx context.Context) row {
	r := row{work: "withdrawn key", answer: "refused, not run"}
	_, result := d.submit(ctx, d.plan.withdrawn, jobSpec{name: "withdrawn", tasks: 1, millis: 1000, runtime: "100ms"})
	r.add(result.Latency, unexpectedAnswer(result.Last, modeler.CodeWithdrawnKey))

	return r
}

// overLimit submits a job that needs one whole worker more than the team's upper
// limit.
func (d *demo) overLimit(ctx context.Context) row {
	r := row{work: "above the team's upper limit", answer: "refused, not run"}
	workerMillis := d.cluster.Settings.WorkerCapacity().Millis
	tasks := int(d.plan.gang.limit.Millis/workerMillis) + 1
	_, result := d.submit(ctx, d.plan.gang,
		jobSpec{name: "over-limit", tasks: tasks, millis: workerMillis, runtime: "100ms", gang: true})
	r.add(result.Latency, unexpectedAnswer(result.Last, modeler.CodeOverLimit))

	return r
}

func (d *demo) neverFits(ctx context.Context) row {
	r := row{work: "larger than any worker", answer: "refused, not run"}
	_, result := d.submit(ctx, d.plan.batch,
		jobSpec{name: "never-fits", tasks: 1, millis: d.cluster.Settings.WorkerCapacity().Millis + 1000, runtime: "100ms"})
	r.add(result.Latency, unexpectedAnswer(result.Last, modeler.CodeNeverFits))

	return r
}

func (d *demo) batch(ctx context.Context) row {
	r, _ := d.job(ctx, d.plan.batch, jobSpec{name: "batch run", tasks: batchTasks, millis: 2000, runtime: "400ms"})

	return r
}

func (d *demo) urgent(ctx context.Context) row {
	r, _ := d.job(ctx, d.plan.urgent, jobSpec{name: "urgent job", tasks: urgentTasks, millis: 4000, runtime: "300ms"})

	return r
}

func (d *demo) gang(ctx context.Context) row {
	r, job := d.job(ctx, d.plan.gang,
		jobSpec{name: "all-at-once job", tasks: gangTasks, millis: 8000, runtime: "2s", gang: true})
	d.explainedJob = string(job)

	return r
}

// jobSpec describes a job of equal tasks, each of which runs for runtime.
type jobSpec struct {
	name    string
	tasks   int
	millis  int64
	runtime string
	gang    bool
}

// submit submits a job.
func (d *demo) submit(ctx context.Context, to queueAccess, spec jobSpec) (caller.SubmitReply, caller.Result) {
	return d.recorder.Submit(ctx, to.team, "demo-"+strings.ReplaceAll(spec.name, " ", "-"), caller.JobRequest{
		Queue: to.queue, Tasks: spec.tasks, Needs: modeler.Resources{Millis: spec.millis, Memory: 1 << 30},
		Runtime: spec.runtime, Rack: spec.gang, Command: []string{"run", spec.runtime},
	}, spec.gang, maxAttempts)
}

// job submits a job and waits until it is final.
func (d *demo) job(ctx context.Context, to queueAccess, spec jobSpec) (row, modeler.JobID) {
	r := row{work: fmt.Sprintf("%s of %d tasks", spec.name, spec.tasks), answer: "finished"}
	startedAt := time.Now()
	reply, result := d.submit(ctx, to, spec)
	if !result.Last.OK() {
		r.add(result.Latency, describeAnswer(result.Last))

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
	r.add(time.Since(startedAt), reason)

	return r, reply.Job
}

// await polls the state of a job until it is final.
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
