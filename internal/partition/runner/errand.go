package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

const (
	// sessionTimeout bounds a hello or renewal, so that one lost answer leaves
	// time for another attempt before the session lapses.
	sessionTimeout = 500 * time.Millisecond
	// startTimeout bounds a start, which is answered when the task runs.
	startTimeout = 2 * time.Second
	// taskTimeout bounds a stop, checkpoint, throttle or void.
	taskTimeout = time.Second
	// tokensTimeout bounds the requests for tokens at all partitions.
	tokensTimeout = 3 * time.Second
)

// errand carries out one command of a core and reports its result. There is
// at most one per endpoint for sessions, one per start and one per slot.
type errand struct {
	runner *Runner
	core   *owner.Core
	cmd    owner.Command
}

// run carries out the command.
func (e *errand) run(ctx context.Context) {
	defer e.runner.tasks.Done()
	if msg := e.result(ctx); msg != nil {
		e.runner.push(ctx, event{core: e.core, msg: msg})
	}
}

// result carries out the command and returns the message about its result.
func (e *errand) result(ctx context.Context) owner.Msg {
	dialer := e.runner.set.Dialer
	sent := e.runner.set.Clock()
	switch cmd := e.cmd.(type) {
	case owner.HelloCmd:
		ctx, cancel := context.WithTimeout(ctx, sessionTimeout)
		defer cancel()
		reply, err := dialer.Endpoint(cmd.Endpoint).Hello(ctx, cmd.Request)

		return owner.HelloDoneMsg{Endpoint: cmd.Endpoint.ID, Term: cmd.Request.Term, Sent: sent, Reply: reply, Err: err}
	case owner.RenewCmd:
		ctx, cancel := context.WithTimeout(ctx, sessionTimeout)
		defer cancel()
		reply, err := dialer.Endpoint(cmd.Endpoint).Renew(ctx, cmd.Request)

		return owner.RenewDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Sent: sent, Reply: reply, Err: err}
	case owner.StartCmd:
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()

		return owner.StartDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Err: dialer.Endpoint(cmd.Endpoint).Start(ctx, cmd.Request)}
	case owner.TaskCmd:
		return e.task(ctx, cmd)
	case owner.CallCmd:
		ctx, cancel := context.WithTimeout(ctx, max(cmd.Timeout, time.Millisecond))
		defer cancel()
		reply, err := dialer.Endpoint(cmd.Endpoint).Call(ctx, cmd.Request)
		if err == nil && reply.Request != cmd.Request.Request {
			// An answer to another request must never reach this caller.
			err = errors.Errorf("answer is for request %q", reply.Request)
		}

		return owner.CallDoneMsg{Call: cmd.Call, Answer: reply.Answer, Err: err}
	case owner.VoidCmd:
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		reply, err := dialer.Endpoint(cmd.Endpoint).Void(ctx, cmd.Request)

		return owner.VoidDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Reply: reply, Err: err}
	case owner.TokensCmd:
		e.tokens(ctx, cmd)
	}

	return nil
}

// task stops, checkpoints or throttles a task.
func (e *errand) task(ctx context.Context, cmd owner.TaskCmd) owner.Msg {
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	var act func(context.Context, messenger.TaskRequest) error
	client := e.runner.set.Dialer.Endpoint(cmd.Endpoint)
	switch cmd.Action {
	case owner.ActionStop:
		act = client.Stop
	case owner.ActionCheckpoint:
		act = client.Checkpoint
	case owner.ActionThrottle:
		act = client.Throttle
	default:
		return nil
	}

	return owner.TaskDoneMsg{Endpoint: cmd.Endpoint.ID, Action: cmd.Action, Request: cmd.Request, Err: act(ctx, cmd.Request)}
}

// tokens asks the other partitions for tokens until one has given some. The gift arrives through the giver's stream.
func (e *errand) tokens(ctx context.Context, cmd owner.TokensCmd) {
	set := e.runner.set
	if set.Tokens == nil {
		return
	}
	doc, _, ok := set.Configuration.InForce()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tokensTimeout)
	defer cancel()
	for _, giver := range givers(doc.Partitions, set.Partition, set.Clock()) {
		msg := modeler.TokensMsg{Partition: giver, To: set.Partition.Name, Team: cmd.Team, Wanted: cmd.Wanted, Since: cmd.Since}
		if err := set.Tokens.RequestTokens(ctx, msg); err == nil {
			return
		}
	}
}
