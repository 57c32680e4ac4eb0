package soaker

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// The bounds of section 2.1 of the design page, as the endpoint keeps them.
const (
	sessionLapse = time.Second
	taskLease    = 6 * time.Second
	// lapseLate is how late an endpoint's timer ends a lease at most.
	lapseLate = 300 * time.Millisecond
)

// errCommand refuses a message that has no meaning.
var errCommand = errors.New("bad command")

// running is a task or call in progress at an endpoint.
type running struct {
	task  messenger.Task
	lease time.Time
	until time.Time
	// reply answers a call; nil for a task.
	reply func(any, error)
	key   requestKey
}

// requestKey identifies a request of a team.
type requestKey struct {
	team    modeler.TeamID
	request modeler.RequestID
}

// outcome is what an executor remembers of a request, across restarts.
type outcome struct {
	voided  bool
	running int
	answer  []byte
}

// fakeEndpoint is a worker or executor that follows section 4.3 of the design
// page.
type fakeEndpoint struct {
	*host
	cluster   *cluster
	instance  modeler.Instance
	partition modeler.PartitionID
	capacity  modeler.Resources
	// lenient endpoints do not refuse work for which they have no room, so
	// that only the owner's account keeps them within their capacity.
	lenient bool
	failing bool
	leaving time.Time

	term     modeler.Term
	session  modeler.SessionID
	holder   modeler.Term
	owner    modeler.InstanceID
	renewed  time.Time
	tasks    map[modeler.TaskID]*running
	ended    map[modeler.TaskID]int
	finished []messenger.TaskResult
	journal  map[requestKey]*outcome
	calls    int
}

// boot makes the endpoint forget everything but its journal of requests and
// the number of its last session.
func (e *fakeEndpoint) boot() {
	e.term, e.holder, e.owner, e.renewed, e.finished = 0, 0, "", time.Time{}, nil
	e.tasks, e.ended = map[modeler.TaskID]*running{}, map[modeler.TaskID]int{}
}

// crash ends everything at the endpoint.
func (e *fakeEndpoint) crash() {
	for _, id := range sortedKeys(e.tasks) {
		e.leave(id)
	}
	e.dead = true
}

// observe refuses terms below the highest seen.
func (e *fakeEndpoint) observe(term modeler.Term) error {
	if term < e.term {
		return messenger.ErrStaleTerm
	}
	e.term = term

	return nil
}

// valid checks term and session.
func (e *fakeEndpoint) valid(term modeler.Term, session modeler.SessionID) error {
	if err := e.observe(term); err != nil {
		return err
	}
	if session != e.session || term != e.holder || e.cluster.world.now.Sub(e.renewed) > sessionLapse {
		return messenger.ErrSessionExpired
	}

	return nil
}

func (e *fakeEndpoint) hello(msg messenger.HelloRequest) (messenger.HelloReply, error) {
	if err := e.observe(msg.Term); err != nil {
		return messenger.HelloReply{}, err
	}
	e.cluster.ledger.held(e.partition, msg.Term, msg.Owner)
	e.session++
	e.holder, e.owner, e.renewed = msg.Term, msg.Owner, e.cluster.world.now
	e.cluster.world.tracef("%s grants session %d of term %s to %s", e.name, e.session, msg.Term, msg.Owner)
	reply := messenger.HelloReply{
		Session: e.session, Term: e.term, Capacity: e.capacity, Leaving: !e.leaving.IsZero(),
		Finished: append([]messenger.TaskResult{}, e.finished...),
	}
	for _, id := range sortedKeys(e.tasks) {
		reply.Tasks = append(reply.Tasks, e.tasks[id].task)
	}

	return reply, nil
}

func (e *fakeEndpoint) renew(msg messenger.RenewRequest) (messenger.RenewReply, error) {
	if err := e.valid(msg.Term, msg.Session); err != nil {
		return messenger.RenewReply{}, err
	}
	e.renewed = e.cluster.world.now
	for _, id := range msg.Acknowledged {
		for i, f := range e.finished {
			if f.Task == id {
				e.finished = append(e.finished[:i:i], e.finished[i+1:]...)

				break
			}
		}
	}
	reply := messenger.RenewReply{Leaving: !e.leaving.IsZero(), Finished: append([]messenger.TaskResult{}, e.finished...)}
	for _, id := range sortedKeys(e.tasks) {
		e.tasks[id].lease = e.renewed.Add(taskLease)
		reply.Tasks = append(reply.Tasks, id)
		reply.Usage = reply.Usage.Add(e.tasks[id].task.Needs)
	}

	return reply, nil
}

func (e *fakeEndpoint) start(msg messenger.StartRequest) error {
	if err := e.valid(msg.Term, msg.Session); err != nil {
		return err
	}
	task := msg.Task
	if r, ok := e.tasks[task.ID]; ok {
		if r.task.Attempt == task.Attempt {
			return nil
		}

		return errCommand
	}
	if attempt, ok := e.ended[task.ID]; ok && attempt >= task.Attempt {
		if attempt == task.Attempt {
			return nil
		}

		return errCommand
	}
	if !e.lenient && !e.used().Add(task.Needs).Fits(e.capacity) {
		e.cluster.world.tracef("%s has no room for %s", e.name, task.ID)

		return messenger.ErrNoCapacity
	}
	left, fails := e.cluster.load.work(task.ID)
	r := &running{task: task, until: e.cluster.world.now.Add(left)}
	e.enter(task.ID, r)
	if e.failing {
		fails, left = true, time.Millisecond
	}
	e.cluster.world.after(left, e.host, func() { e.complete(task.ID, r, fails) })

	return nil
}

// complete ends a task whose run time is over.
func (e *fakeEndpoint) complete(id modeler.TaskID, r *running, fails bool) {
	if e.tasks[id] != r {
		return
	}
	if wait := r.until.Sub(e.cluster.world.now); wait > 0 && !fails {
		e.cluster.world.after(wait, e.host, func() { e.complete(id, r, fails) })

		return
	}
	cause := ""
	if fails {
		cause = "command failed"
	}
	e.end(id, !fails, cause, false)
}

// command stops, checkpoints or throttles a task.
func (e *fakeEndpoint) command(action string, msg messenger.TaskRequest) error {
	if err := e.valid(msg.Term, msg.Session); err != nil {
		return err
	}
	r, ok := e.tasks[msg.Task]
	if !ok || r.reply != nil {
		return nil
	}
	left := max(r.until.Sub(e.cluster.world.now), time.Millisecond)
	switch action {
	case "checkpoint":
		e.cluster.load.checkpoint(msg.Task, left)
		e.end(msg.Task, false, "checkpointed", true)
	case "throttle":
		if !r.task.Throttled {
			r.task.Throttled, r.until = true, e.cluster.world.now.Add(2*left)
		}
	default:
		e.end(msg.Task, false, "stopped", false)
	}

	return nil
}

// end ends a task and reports it.
func (e *fakeEndpoint) end(id modeler.TaskID, ok bool, cause string, kept bool) {
	r := e.tasks[id]
	e.leave(id)
	e.ended[id] = r.task.Attempt
	e.finished = append(e.finished, messenger.TaskResult{
		Task: id, Job: r.task.Job, Team: r.task.Team, Attempt: r.task.Attempt, OK: ok, Cause: cause,
		Started: r.task.Started, Ended: e.cluster.world.now, Used: r.task.Needs, Checkpointed: kept, Note: r.task.Note,
	})
	e.cluster.ledger.ended(id, ok)
}

// call begins a call; every repetition is executed, as the protocol leaves it
// to the owner to send a request once.
func (e *fakeEndpoint) call(msg messenger.CallRequest, reply func(any, error)) {
	key := requestKey{msg.Team, msg.Request}
	if err := e.valid(msg.Term, msg.Session); err != nil {
		reply(nil, err)

		return
	}
	o := e.journal[key]
	if o != nil && o.voided {
		reply(nil, messenger.ErrVoided)

		return
	}
	needs := modeler.Resources{Slots: 1}
	if !e.lenient && !e.used().Add(needs).Fits(e.capacity) {
		reply(nil, messenger.ErrNoCapacity)

		return
	}
	if o == nil {
		o = &outcome{}
		e.journal[key] = o
	}
	o.running++
	e.calls++
	id := modeler.TaskID(fmt.Sprintf("call:%s:%s:%d", msg.Team, msg.Request, e.calls))
	r := &running{key: key, reply: reply, task: messenger.Task{ID: id, Team: msg.Team, Needs: needs, Request: msg.Request}}
	e.cluster.load.executed(key)
	e.enter(id, r)
	e.cluster.world.after(e.cluster.load.callTime(), e.host, func() {
		if e.tasks[id] != r {
			return
		}
		e.leave(id)
		if e.failing {
			reply(nil, errCommand)

			return
		}
		o.answer = answerTo(msg.Request)
		reply(messenger.CallReply{Request: msg.Request, Answer: o.answer}, nil)
	})
}

// answerTo is the only right answer to a request.
func answerTo(id modeler.RequestID) []byte { return []byte("answer to " + string(id)) }

func (e *fakeEndpoint) void(msg messenger.VoidRequest) (messenger.VoidReply, error) {
	if err := e.observe(msg.Term); err != nil {
		return messenger.VoidReply{}, err
	}
	key := requestKey{msg.Team, msg.Request}
	o, ok := e.journal[key]
	if !ok {
		o = &outcome{voided: true}
		e.journal[key] = o
	}
	if o.voided {
		return messenger.VoidReply{}, nil
	}

	return messenger.VoidReply{Ran: o.running == 0, Running: o.running > 0, Answer: o.answer}, nil
}

// enter runs a task or call under a lease.
func (e *fakeEndpoint) enter(id modeler.TaskID, r *running) {
	w := e.cluster.world
	r.task.Started, r.lease = w.now, w.now.Add(taskLease)
	e.tasks[id] = r
	e.cluster.ledger.entered(e, id, r)
	var lapse func()
	lapse = func() {
		switch {
		case e.tasks[id] != r:
		case r.lease.After(w.now):
			w.after(r.lease.Sub(w.now)+w.upTo(lapseLate), nil, lapse)
		case r.reply != nil:
			e.leave(id)
		default:
			e.end(id, false, "task lease ended", false)
		}
	}
	// A frozen machine executes nothing, so its work ends with the lease too.
	w.after(taskLease+w.upTo(lapseLate), nil, lapse)
}

// leave notes that a task or call no longer runs.
func (e *fakeEndpoint) leave(id modeler.TaskID) {
	r := e.tasks[id]
	delete(e.tasks, id)
	if r.reply != nil {
		e.journal[r.key].running--
	}
	e.cluster.ledger.left(e, id, r)
}

// used returns what tasks and calls need.
func (e *fakeEndpoint) used() modeler.Resources {
	var sum modeler.Resources
	for _, r := range e.tasks {
		sum = sum.Add(r.task.Needs)
	}

	return sum
}
