package commander

import (
	"context"
	"io"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/router"
)

// jobPollWait is how long an instance holds one long-polling query of a command
// that waits for a job. It is below the idle timeout of 30 s of load balancers.
const jobPollWait = 10 * time.Second

// StatusCmd implements the status command.
type StatusCmd struct {
	Caller
	Job string `arg:"positional,required" help:"id of the job"`
}

// Run prints the job and the states of its tasks.
func (c *StatusCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	var status modeler.JobStatus
	if err := c.query(ctx, env, "/v1/jobs/"+url.PathEscape(c.Job), &status); err != nil {
		return codeOf(err), err
	}

	return 0, c.write(env.Out, status, jobText(status))
}

// WaitCmd implements the wait command.
type WaitCmd struct {
	Caller
	Job string `arg:"positional,required" help:"id of the job"`
}

// Run waits until the job is final. The exit code shows how the job ended.
func (c *WaitCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}

	return c.await(ctx, env, c.Job)
}

// await polls a job until it is final, prints it and returns its exit code.
func (c *Caller) await(ctx context.Context, env Env, job string) (int, error) {
	var lastErr error
	for {
		var status modeler.JobStatus
		err := c.query(ctx, env, "/v1/jobs/"+url.PathEscape(job)+"?wait="+jobPollWait.String(), &status)
		if err == nil && status.Final {
			return codeOfJob(status), c.write(env.Out, status, jobText(status))
		}
		if ctx.Err() != nil {
			if lastErr != nil {
				return codeUnknown, errors.WithMessagef(lastErr, "job %s is not final after %s", job, c.Timeout)
			}

			return codeUnknown, errors.Errorf("job %s is not final after %s", job, c.Timeout)
		}
		if lastErr = err; err == nil {
			continue
		}
		var refused *modeler.Refusal
		if errors.As(err, &refused) && refused.Retry == 0 {
			return codeOf(err), err
		}
		env.Sleep(ctx, time.Second)
	}
}

// codeOfJob returns the exit code for a final job. An unknown task outweighs
// failed and cancelled ones.
func codeOfJob(status modeler.JobStatus) int {
	code := 0
	for _, task := range status.Tasks {
		switch task.State {
		case modeler.TaskUnknown:
			return codeUnknown
		case modeler.TaskFailed, modeler.TaskCancelled:
			code = codeFailed
		case modeler.TaskQueued, modeler.TaskStarting, modeler.TaskRunning, modeler.TaskFinished:
		}
	}

	return code
}

// jobText returns a function that prints a job in the text format.
func jobText(status modeler.JobStatus) func(io.Writer) error {
	return func(w io.Writer) error {
		p := printer{w: w}
		job := status.Job
		p.printf("job %s of team %s on queue %s, partition %s\n", job.ID, job.Team, job.Queue, status.Partition)
		if !job.Deadline.IsZero() {
			p.printf("deadline %s\n", job.Deadline.UTC().Format(time.RFC3339))
		}
		for _, task := range status.Tasks {
			p.printf("%-40s %-10s attempt %d", task.Task, task.State, task.Attempt)
			if task.Endpoint != "" {
				p.printf("  on %s", task.Endpoint)
			}
			if task.Cause != "" {
				p.printf("  %s", task.Cause)
			}
			p.printf("\n")
		}

		return p.err
	}
}

// ResolveCmd implements the resolve command, which determines the outcome of a
// call.
type ResolveCmd struct {
	Caller
	Request string `arg:"positional,required" help:"request key of the call"`
}

// Run prints the outcome. A request that is resolved as not run never runs
// later.
func (c *ResolveCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	var reply router.RequestReply
	if err := c.query(ctx, env, "/v1/requests/"+url.PathEscape(c.Request), &reply); err != nil {
		return codeOf(err), err
	}
	code := codeUnknown
	switch reply.Outcome {
	case modeler.OutcomeRan:
		code = 0
	case modeler.OutcomeNotRun:
		code = codeRefused
	case modeler.OutcomeUnknown:
	}

	return code, c.write(env.Out, reply, func(w io.Writer) error {
		p := printer{w: w}
		p.printf("request %s: %s\n", c.Request, reply.Outcome)
		if len(reply.Answer) > 0 {
			p.printf("%s\n", reply.Answer)
		}

		return p.err
	})
}

// StateCmd implements the state command, which shows the state of the cell as
// known to one instance.
type StateCmd struct{ Caller }

// Run prints the state.
func (c *StateCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	var state router.StateReply
	if err := c.query(ctx, env, "/v1/state", &state); err != nil {
		return codeOf(err), err
	}

	return 0, c.write(env.Out, state, func(w io.Writer) error { return stateText(w, state, env.Now()) })
}

// stateText prints the state in the text format.
func stateText(w io.Writer, state router.StateReply, now time.Time) error {
	p := printer{w: w}
	p.printf("instance %s, ready %t, draining %t, configuration %d, %d endpoints listed\n",
		state.Instance.ID, state.Ready, state.Draining, state.Config, state.Endpoints)
	loads := map[modeler.PartitionID]modeler.Load{}
	for _, peer := range state.Peers {
		for _, load := range peer.Loads {
			loads[load.Partition] = load
		}
	}
	for _, load := range state.Loads {
		loads[load.Partition] = load
	}
	for _, o := range state.Ownership {
		p.printf("partition %-16s owner %-24s term %s", o.Partition, o.Owner, o.Term)
		if load, ok := loads[o.Partition]; ok {
			p.printf("  ready %t  queued %d  free %s of %s", load.Ready, load.Queued, load.Free, load.Capacity)
		}
		p.printf("\n")
	}
	for _, peer := range state.Peers {
		p.printf("peer %-24s %s  configuration %d", peer.Instance.ID, peer.Instance.Peer, peer.Config)
		switch {
		case peer.LastHeartbeat.IsZero():
			p.printf("  never heard")
		case peer.Draining:
			p.printf("  draining, heard %s ago", now.Sub(peer.LastHeartbeat).Round(time.Millisecond))
		default:
			p.printf("  heard %s ago", now.Sub(peer.LastHeartbeat).Round(time.Millisecond))
		}
		p.printf("\n")
	}

	return p.err
}
