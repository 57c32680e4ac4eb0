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

// The pace and the bounds of package runner's I/O.
const (
	tickEvery      = 25 * time.Millisecond
	appendTimeout  = time.Second
	appendPause    = 50 * time.Millisecond
	pollWait       = 300 * time.Millisecond
	readTimeout    = pollWait + time.Second
	readPause      = 100 * time.Millisecond
	sessionTimeout = 500 * time.Millisecond
	startTimeout   = 2 * time.Second
	taskTimeout    = time.Second
	// retention is short, so that a run reads snapshots after old records
	// expired.
	retention = time.Minute
)

// node is one partition at one process: the stepped runner and its I/O on the
// event queue.
type node struct {
	*runner.Stepper
	process *process
	name    modeler.PartitionID
	stream  string
	from    modeler.Offset

	// settled counts the batches that need no further attempt.
	settled int
	writing bool
	backlog []pendingBatch
	last    owner.Waiter
	waiting map[owner.Waiter]func(any, *modeler.Refusal)
}

// pendingBatch is a batch to append until it is settled.
type pendingBatch struct {
	number int
	batch  encoder.Batch
	data   []byte
}

func newNode(p *process, part modeler.Partition) *node {
	n := &node{process: p, name: part.Name, stream: "part-" + string(part.Name), waiting: map[owner.Waiter]func(any, *modeler.Refusal){}}
	w := p.cluster.world
	n.Stepper = runner.NewStepper(runner.Settings{
		Self: p.instance, Partition: part, Membership: p, Configuration: p.follower, Endpoints: p.endpointsOf, Logger: hclog.NewNullLogger(),
		Clock: func() time.Time { return w.now }, Retention: retention,
		NewScheduler: func() owner.Scheduler { return scheduler.New() },
		Transfers:    p.gifts,
		Violation: func(invariant, detail string) {
			w.failf(checkHook, "%s at %s, %s: %s", invariant, p.name, part.Name, detail)
		},
	}, n)
	w.every(tickEvery, p.host, n.Tick)
	n.poll()

	return n
}

// poll reads the stream again and again.
func (n *node) poll() {
	w, log := n.process.cluster.world, n.process.cluster.log
	w.call(n.process.host, log.host, readTimeout, func(reply func(any, error)) {
		log.read(n.stream, n.from, 256, pollWait, reply)
	}, func(value any, err error) {
		page, ok := value.(messenger.Page)
		if err != nil || !ok {
			w.after(readPause, n.process.host, n.poll)

			return
		}
		n.from = n.HandlePage(n.from, page)
		n.poll()
	})
}

// Append implements runner.Driver.
func (n *node) Append(batch encoder.Batch) {
	data, err := encoder.Marshal(&batch)
	if err != nil {
		n.process.cluster.world.failf(checkKept, "batch cannot be encoded: %v", err)

		return
	}
	n.backlog = append(n.backlog, pendingBatch{number: n.settled, batch: batch, data: data})
	if !n.writing {
		n.write(appendPause)
	}
}

// StopAppend implements runner.Driver.
func (n *node) StopAppend() { n.settled++ }

// write appends the first batch of the backlog until it is confirmed or
// settled, then the next one.
func (n *node) write(pause time.Duration) {
	for len(n.backlog) > 0 && n.backlog[0].number != n.settled {
		n.backlog, pause = n.backlog[1:], appendPause
	}
	n.writing = len(n.backlog) > 0
	if !n.writing {
		return
	}
	next := n.backlog[0]
	w, log := n.process.cluster.world, n.process.cluster.log
	w.call(n.process.host, log.host, appendTimeout, func(reply func(any, error)) {
		log.append(n.stream, next.data, reply)
	}, func(_ any, err error) {
		if err == nil {
			n.backlog = n.backlog[1:]
			n.write(appendPause)

			return
		}
		n.HandleResult(nil, owner.LogStatusMsg{Down: true})
		w.after(pause, n.process.host, func() { n.write(min(2*pause, time.Second)) })
	})
}

// Answer implements runner.Driver.
func (n *node) Answer(waiter owner.Waiter, reply any, refusal *modeler.Refusal) {
	if done, ok := n.waiting[waiter]; ok {
		delete(n.waiting, waiter)
		n.process.cluster.world.tracef("%s answers for %s: %+v %v", n.process.name, n.name, reply, outcomeOf(refusal))
		done(reply, refusal)
	}
}

// request passes a caller's request to the core, which is told when the caller
// stops waiting.
func (n *node) request(timeout time.Duration, build func(owner.Waiter) owner.Msg, done func(any, *modeler.Refusal)) {
	n.last++
	id := n.last
	n.waiting[id] = done
	n.HandleRequest(build(id))
	n.process.cluster.world.after(timeout, n.process.host, func() {
		if _, ok := n.waiting[id]; ok {
			n.HandleRequest(owner.AbandonMsg{Waiter: id})
		}
	})
}

// Execute implements runner.Driver.
func (n *node) Execute(core *owner.Core, cmd owner.Command) {
	sent := n.process.cluster.world.now
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
		n.tokens(cmd, n.givers())
	}
}

// send sends a command to an endpoint and passes its result to the core.
func (n *node) send(
	core *owner.Core, to modeler.InstanceID, timeout time.Duration,
	handle func(*fakeEndpoint, func(any, error)), result func(any, error) owner.Msg,
) {
	e := n.process.cluster.endpoint(to)
	n.process.cluster.world.call(n.process.host, e.host, timeout, func(reply func(any, error)) {
		handle(e, reply)
	}, func(value any, err error) {
		n.HandleResult(core, result(value, err))
	})
}

// givers returns the other partitions, those of the own region first.
func (n *node) givers() []modeler.PartitionID {
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

// tokens asks one partition after the other for part of a team's limit.
func (n *node) tokens(cmd owner.TokensCmd, givers []modeler.PartitionID) {
	if len(givers) == 0 {
		return
	}
	msg := modeler.TokensMsg{Partition: givers[0], To: n.name, Team: cmd.Team, Wanted: cmd.Wanted, Since: cmd.Since}
	n.process.forward(givers[0], time.Second, func(id owner.Waiter) owner.Msg {
		return owner.RequestTransferMsg{Waiter: id, TokensMsg: msg}
	}, func(_ any, refusal *modeler.Refusal) {
		n.process.cluster.world.tracef("%s asked %s for %s of %s: %s", n.name, givers[0], cmd.Wanted, cmd.Team, outcomeOf(refusal))
		if refusal != nil {
			n.tokens(cmd, givers[1:])
		}
	})
}
