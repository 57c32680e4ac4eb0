package soaker

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/partition/runner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Intervals and timeouts of the I/O that package runner does in a real process.
const (
	tickInterval   = 25 * time.Millisecond
	appendTimeout  = time.Second
	appendBackoff  = 50 * time.Millisecond
	pollWait       = 300 * time.Millisecond
	readTimeout    = pollWait + time.Second
	readRetryDelay = 100 * time.Millisecond
	sessionTimeout = 500 * time.Millisecond
	startTimeout   = 2 * time.Second
	taskTimeout    = time.Second
	// retention is short, so that nodes have to read snapshots because older
	// records have expired.
	retention = time.Minute
)

// node is one partition at one process: the runner's stepper with its I/O on the
// event queue.
type node struct {
	*runner.Stepper
	process    *process
	name       modeler.PartitionID
	stream     string
	nextOffset modeler.Offset

	// generation counts the calls of StopAppend. Pending batches of an earlier
	// generation are no longer appended.
	generation int
	appending  bool
	pending    []pendingBatch
	lastWaiter owner.Waiter
	waiters    map[owner.Waiter]func(any, *modeler.Refusal)
}

// pendingBatch is a batch to append until it is confirmed or StopAppend is called.
type pendingBatch struct {
	generation int
	batch      encoder.Batch
	data       []byte
}

func newNode(p *process, part modeler.Partition) *node {
	n := &node{process: p, name: part.Name, stream: "part-" + string(part.Name), waiters: map[owner.Waiter]func(any, *modeler.Refusal){}}
	sim := p.cluster.sim
	n.Stepper = runner.NewStepper(runner.Settings{
		Self: p.instance, Partition: part, Membership: p, Configuration: p.follower, Endpoints: p.endpointsOf, Logger: hclog.NewNullLogger(),
		Clock: func() time.Time { return sim.now }, Retention: retention,
		NewScheduler: func() owner.Scheduler { return scheduler.New() },
		Transfers:    p.transfersTo,
		Violation: func(invariant, detail string) {
			sim.failf(checkHook, "%s at %s, %s: %s", invariant, p.name, part.Name, detail)
		},
	}, n)
	sim.every(tickInterval, p.host, n.Tick)
	n.poll()

	return n
}

// poll reads the stream of the partition continuously.
func (n *node) poll() {
	sim, log := n.process.cluster.sim, n.process.cluster.log
	sim.call(n.process.host, log.host, readTimeout, func(reply func(any, error)) {
		log.read(n.stream, n.nextOffset, 256, pollWait, reply)
	}, func(value any, err error) {
		page, ok := value.(messenger.Page)
		if err != nil || !ok {
			sim.after(readRetryDelay, n.process.host, n.poll)

			return
		}
		n.nextOffset = n.HandlePage(n.nextOffset, page)
		n.poll()
	})
}

// Append implements runner.Driver.
func (n *node) Append(batch encoder.Batch) {
	data, err := encoder.Marshal(&batch)
	if err != nil {
		n.process.cluster.sim.failf(checkKept, "batch cannot be encoded: %v", err)

		return
	}
	n.pending = append(n.pending, pendingBatch{generation: n.generation, batch: batch, data: data})
	if !n.appending {
		n.appendNext(appendBackoff)
	}
}

// StopAppend implements runner.Driver.
func (n *node) StopAppend() { n.generation++ }

// appendNext appends the first pending batch until it is confirmed or StopAppend
// is called, and then the next one.
func (n *node) appendNext(backoff time.Duration) {
	for len(n.pending) > 0 && n.pending[0].generation != n.generation {
		n.pending, backoff = n.pending[1:], appendBackoff
	}
	n.appending = len(n.pending) > 0
	if !n.appending {
		return
	}
	next := n.pending[0]
	sim, log := n.process.cluster.sim, n.process.cluster.log
	sim.call(n.process.host, log.host, appendTimeout, func(reply func(any, error)) {
		log.append(n.stream, next.data, reply)
	}, func(_ any, err error) {
		if err == nil {
			n.pending = n.pending[1:]
			n.appendNext(appendBackoff)

			return
		}
		n.HandleResult(nil, owner.LogStatusMsg{Down: true})
		sim.after(backoff, n.process.host, func() { n.appendNext(min(2*backoff, time.Second)) })
	})
}

// Answer implements runner.Driver.
func (n *node) Answer(waiter owner.Waiter, reply any, refusal *modeler.Refusal) {
	if done, ok := n.waiters[waiter]; ok {
		delete(n.waiters, waiter)
		n.process.cluster.sim.tracef("%s answers for %s: %+v %v", n.process.name, n.name, reply, outcomeOf(refusal))
		done(reply, refusal)
	}
}

// request passes a caller's request to the core, and an owner.AbandonMsg when the
// caller stops waiting.
func (n *node) request(timeout time.Duration, build func(owner.Waiter) owner.Msg, done func(any, *modeler.Refusal)) {
	n.lastWaiter++
	id := n.lastWaiter
	n.waiters[id] = done
	n.HandleRequest(build(id))
	n.process.cluster.sim.after(timeout, n.process.host, func() {
		if _, ok := n.waiters[id]; ok {
			n.HandleRequest(owner.AbandonMsg{Waiter: id})
		}
	})
}

// Execute implements runner.Driver.
func (n *node) Execute(core *owner.Core, cmd owner.Command) {
	sent := n.process.cluster.sim.now
	switch cmd := cmd.(type) {
	case owner.HelloCmd:
		n.send(core, cmd.Endpoint.ID, sessionTimeout, func(e *fakeEndpoint, reply func(any, error)) {
			reply(e.hello(cmd.Request))
		}, func(value any, err error) owner.Msg {
			got, _ := value.(messenger.HelloReply)

			return owner.HelloDoneMsg{Endpoint: cmd.Endpoint.ID, Term: cmd.Request.Term, Sent: sent, Reply: got, Err: err}
		})
	case owner.RenewCmd:
		n.send(core, cmd.Endpoint.ID, sessionTimeout, func(e *fakeEndpoint, reply func(any, error)) {
			reply(e.renew(cmd.Request))
		}, func(value any, err error) owner.Msg {
			got, _ := value.(messenger.RenewReply)

			return owner.RenewDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Sent: sent, Reply: got, Err: err}
		})
	case owner.StartCmd:
		n.send(core, cmd.Endpoint.ID, startTimeout, func(e *fakeEndpoint, reply func(any, error)) {
			reply(nil, e.start(cmd.Request))
		}, func(_ any, err error) owner.Msg {
			return owner.StartDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Err: err}
		})
	case owner.TaskCmd:
		n.send(core, cmd.Endpoint.ID, taskTimeout, func(e *fakeEndpoint, reply func(any, error)) {
			reply(nil, e.command(string(cmd.Action), cmd.Request))
		}, func(_ any, err error) owner.Msg {
			return owner.TaskDoneMsg{Endpoint: cmd.Endpoint.ID, Action: cmd.Action, Request: cmd.Request, Err: err}
		})
	case owner.CallCmd:
		n.send(core, cmd.Endpoint.ID, max(cmd.Timeout, time.Millisecond), func(e *fakeEndpoint, reply func(any, error)) {
			e.call(cmd.Request, reply)
		}, func(value any, err error) owner.Msg {
			got, _ := value.(messenger.CallReply)

			return owner.CallDoneMsg{Call: cmd.Call, Answer: got.Answer, Err: err}
		})
	case owner.VoidCmd:
		n.send(core, cmd.Endpoint.ID, taskTimeout, func(e *fakeEndpoint, reply func(any, error)) {
			reply(e.void(cmd.Request))
		}, func(value any, err error) owner.Msg {
			got, _ := value.(messenger.VoidReply)

			return owner.VoidDoneMsg{Endpoint: cmd.Endpoint.ID, Request: cmd.Request, Reply: got, Err: err}
		})
	case owner.TokensCmd:
		n.requestTokens(cmd, n.transferSources())
	}
}

// send sends a command to an endpoint and passes its result to the core.
func (n *node) send(
	core *owner.Core, to modeler.InstanceID, timeout time.Duration,
	handle func(*fakeEndpoint, func(any, error)), result func(any, error) owner.Msg,
) {
	e := n.process.cluster.endpoint(to)
	n.process.cluster.sim.call(n.process.host, e.host, timeout, func(reply func(any, error)) {
		handle(e, reply)
	}, func(value any, err error) {
		n.HandleResult(core, result(value, err))
	})
}

// transferSources returns the other partitions, those in the same region first.
func (n *node) transferSources() []modeler.PartitionID {
	var near, far []modeler.PartitionID
	own := n.process.cluster.partition(n.name)
	for _, part := range n.process.cluster.document.Partitions {
		switch {
		case part.Name == n.name:
		case part.Region == own.Region:
			near = append(near, part.Name)
		default:
			far = append(far, part.Name)
		}
	}

	return append(near, far...)
}

// requestTokens asks the sources, one after the other, for part of a team's
// limit.
func (n *node) requestTokens(cmd owner.TokensCmd, sources []modeler.PartitionID) {
	if len(sources) == 0 {
		return
	}
	msg := modeler.TokensMsg{Partition: sources[0], To: n.name, Team: cmd.Team, Wanted: cmd.Wanted, Since: cmd.Since}
	n.process.forward(sources[0], time.Second, func(id owner.Waiter) owner.Msg {
		return owner.RequestTransferMsg{Waiter: id, TokensMsg: msg}
	}, func(_ any, refusal *modeler.Refusal) {
		n.process.cluster.sim.tracef("%s asked %s for %s of %s: %s", n.name, sources[0], cmd.Wanted, cmd.Team, outcomeOf(refusal))
		if refusal != nil {
			n.requestTokens(cmd, sources[1:])
		}
	})
}
