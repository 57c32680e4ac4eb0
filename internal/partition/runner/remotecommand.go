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
	// sessionTimeout bounds a hello or renewal, so that a lost answer leaves
	// time for another attempt before the session expires.
	sessionTimeout = 500 * time.Millisecond
	// startTimeout bounds a start, which is answered once the task is running.
	startTimeout = 2 * time.Second
	// taskTimeout bounds a stop, checkpoint, throttle or void.
	taskTimeout = time.Second
	// tokensTimeout bounds the requests for tokens to all partitions together.
	tokensTimeout = 3 * time.Second
)

// remoteCommand executes one command of a core and reports its result. At any
// time there is at most one session command per endpoint, one command per start
// and one per slot.
type remoteCommand struct {
	runner *Runner
	core   *owner.Core
	cmd    owner.Command
}

// run executes the command and pushes its result to the event loop.
func (c *remoteCommand) run(ctx context.Context) {
	defer c.runner.remoteCommands.Done()
	if msg := c.execute(ctx); msg != nil {
		c.runner.pushEvent(ctx, event{core: c.core, msg: msg})
	}
}

// execute executes the command and returns the message with its result, nil if
// there is none.
func (c *remoteCommand) execute(ctx context.Context) owner.Msg {
	dialer := c.runner.settings.Dialer
	sent := c.runner.settings.Clock()
	switch cmd := c.cmd.(type) {
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
		return c.executeTask(ctx, cmd)
	case owner.CallCmd:
		ctx, cancel := context.WithTimeout(ctx, max(cmd.Timeout, time.Millisecond))
		defer cancel()
		reply, err := dialer.Endpoint(cmd.Endpoint).Call(ctx, cmd.Request)
		if err == nil && reply.Request != cmd.Request.Request {
			// This caller must never get the answer to another request.
			err = errors.Errorf("answer is for request %q", reply.Request)
		}

		return owner.CallDoneMsg{Call: cmd.Call, Answer: reply.Answer, Err: err}
	case owner.VoidCmd:
		ctx, cancel := context.WithTimeout(ctx, taskTimeout)
		defer cancel()
		reply, err := dialer.Endpoint(cmd.Endpoint).Void(ctx, cmd.Request)

		return owner.VoidDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Reply: reply, Err: err}
	case owner.TokensCmd:
		c.requestTokens(ctx, cmd)
	}

	return nil
}

// executeTask stops, checkpoints or throttles a task.
func (c *remoteCommand) executeTask(ctx context.Context, cmd owner.TaskCmd) owner.Msg {
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	var act func(context.Context, messenger.TaskRequest) error
	client := c.runner.settings.Dialer.Endpoint(cmd.Endpoint)
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

// requestTokens asks the other partitions for tokens, one after the other, until
// one has transferred some. The transfer arrives through the stream of that
// partition.
func (c *remoteCommand) requestTokens(ctx context.Context, cmd owner.TokensCmd) {
	settings := c.runner.settings
	if settings.Tokens == nil {
		return
	}
	doc, _, ok := settings.Configuration.InForce()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tokensTimeout)
	defer cancel()
	for _, source := range tokenSources(doc.Partitions, settings.Partition, settings.Clock()) {
		msg := modeler.TokensMsg{Partition: source, To: settings.Partition.Name, Team: cmd.Team, Wanted: cmd.Wanted, Since: cmd.Since}
		if err := settings.Tokens.RequestTokens(ctx, msg); err == nil {
			return
		}
	}
}
