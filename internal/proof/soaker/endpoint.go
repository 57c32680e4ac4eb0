package soaker

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Bounds of section 2.1 of the design page that apply to endpoints.
const (
	sessionLease = time.Second
	taskLease    = 6 * time.Second
	// maxExpiryDelay is the longest time by which an endpoint's timer ends a lease
	// late.
	maxExpiryDelay = 300 * time.Millisecond
)

// errCommand is the answer to an invalid command and to a call at a failing
// endpoint.
var errCommand = errors.New("bad command")

// execution is a task or call in progress at an endpoint.
type execution struct {
	task     messenger.Task
	leaseEnd time.Time
	endsAt   time.Time
	// reply sends the answer to a call; nil for a task.
	reply func(any, error)
	key   requestKey
}

// requestKey identifies a request of a team.
type requestKey struct {
	team    modeler.TeamID
	request modeler.RequestID
}

// requestState is the state of a request in an executor's journal, which survives
// restarts.
type requestState struct {
	voided  bool
	running int
	answer  []byte
}

// fakeEndpoint is a worker or executor that implements section 4.3 of the design
// page.
type fakeEndpoint struct {
	*host
	cluster   *cluster
	instance  modeler.Instance
	partition modeler.PartitionID
	capacity  modeler.Resources
	// lenient endpoints do not refuse work for which they have no capacity, so
	// that only the owner's accounting keeps them within it.
	lenient      bool
	failing      bool
	leavingSince time.Time

	term        modeler.Term
	session     modeler.SessionID
	sessionTerm modeler.Term
	owner       modeler.InstanceID
	renewedAt   time.Time
	tasks       map[modeler.TaskID]*execution
	ended       map[modeler.TaskID]int
	finished    []messenger.TaskResult
	journal     map[requestKey]*requestState
	calls       int
}

// boot resets the endpoint. Only its journal of requests and the number of its
// last session are kept.
func (e *fakeEndpoint) boot() {
	e.term, e.sessionTerm, e.owner, e.renewedAt, e.finished = 0, 0, "", time.Time{}, nil
	e.tasks, e.ended = map[modeler.TaskID]*execution{}, map[modeler.TaskID]int{}
}

// crash ends all tasks and calls and marks the endpoint as dead.
func (e *fakeEndpoint) crash() {
	for _, id := range sortedKeys(e.tasks) {
		e.remove(id)
	}
	e.dead = true
}

// observeTerm records a term. It returns messenger.ErrStaleTerm if the term is
// lower than the highest one seen.
func (e *fakeEndpoint) observeTerm(term modeler.Term) error {
	if term < e.term {
		return messenger.ErrStaleTerm
	}
	e.term = term

	return nil
}

// checkSession returns an error unless the term is current and the session is the
// last one granted to it and has not expired.
func (e *fakeEndpoint) checkSession(term modeler.Term, session modeler.SessionID) error {
	if err := e.observeTerm(term); err != nil {
		return err
	}
	if session != e.session || term != e.sessionTerm || e.cluster.sim.now.Sub(e.renewedAt) > sessionLease {
		return messenger.ErrSessionExpired
	}

	return nil
}

func (e *fakeEndpoint) hello(msg messenger.HelloRequest) (messenger.HelloReply, error) {
	if err := e.observeTerm(msg.Term); err != nil {
		return messenger.HelloReply{}, err
	}
	e.cluster.ledger.recordOwner(e.partition, msg.Term, msg.Owner)
	e.session++
	e.sessionTerm, e.owner, e.renewedAt = msg.Term, msg.Owner, e.cluster.sim.now
	e.cluster.sim.tracef("%s grants session %d of term %s to %s", e.name, e.session, msg.Term, msg.Owner)
	reply := messenger.HelloReply{
		Session: e.session, Term: e.term, Capacity: e.capacity, Leaving: !e.leavingSince.IsZero(),
		Finished: append([]messenger.TaskResult{}, e.finished...),
	}
	for _, id := range sortedKeys(e.tasks) {
		reply.Tasks = append(reply.Tasks, e.tasks[id].task)
	}

	return reply, nil
}

func (e *fakeEndpoint) renew(msg messenger.RenewRequest) (messenger.RenewReply, error) {
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return messenger.RenewReply{}, err
	}
	e.renewedAt = e.cluster.sim.now
	for _, id := range msg.Acknowledged {
		for i, f := range e.finished {
			if f.Task == id {
				e.finished = append(e.finished[:i:i], e.finished[i+1:]...)

				break
			}
		}
	}
	reply := messenger.RenewReply{Leaving: !e.leavingSince.IsZero(), Finished: append([]messenger.TaskResult{}, e.finished...)}
	for _, id := range sortedKeys(e.tasks) {
		e.tasks[id].leaseEnd = e.renewedAt.Add(taskLease)
		reply.Tasks = append(reply.Tasks, id)
		reply.Usage = reply.Usage.Add(e.tasks[id].task.Needs)
	}

	return reply, nil
}

func (e *fakeEndpoint) start(msg messenger.StartRequest) error {
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return err
	}
	task := msg.Task
	if ex, ok := e.tasks[task.ID]; ok {
		if ex.task.Attempt == task.Attempt {
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
		e.cluster.sim.tracef("%s has no room for %s", e.name, task.ID)

		return messenger.ErrNoCapacity
	}
	remaining, fails := e.cluster.load.taskRuntime(task.ID)
	ex := &execution{task: task, endsAt: e.cluster.sim.now.Add(remaining)}
	e.execute(task.ID, ex)
	if e.failing {
		fails, remaining = true, time.Millisecond
	}
	e.cluster.sim.after(remaining, e.host, func() { e.complete(task.ID, ex, fails) })

	return nil
}

// complete ends a task when its run time is over. A throttled task runs longer.
func (e *fakeEndpoint) complete(id modeler.TaskID, ex *execution, fails bool) {
	if e.tasks[id] != ex {
		return
	}
	if wait := ex.endsAt.Sub(e.cluster.sim.now); wait > 0 && !fails {
		e.cluster.sim.after(wait, e.host, func() { e.complete(id, ex, fails) })

		return
	}
	cause := ""
	if fails {
		cause = "command failed"
	}
	e.end(id, !fails, cause, false)
}

// command stops, checkpoints or throttles a task. A throttled task takes twice
// its remaining run time.
func (e *fakeEndpoint) command(action string, msg messenger.TaskRequest) error {
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return err
	}
	ex, ok := e.tasks[msg.Task]
	if !ok || ex.reply != nil {
		return nil
	}
	remaining := max(ex.endsAt.Sub(e.cluster.sim.now), time.Millisecond)
	switch action {
	case "checkpoint":
		e.cluster.load.saveCheckpoint(msg.Task, remaining)
		e.end(msg.Task, false, "checkpointed", true)
	case "throttle":
		if !ex.task.Throttled {
			ex.task.Throttled, ex.endsAt = true, e.cluster.sim.now.Add(2*remaining)
		}
	default:
		e.end(msg.Task, false, "stopped", false)
	}

	return nil
}

// end ends a task and keeps its result until the owner acknowledges it.
func (e *fakeEndpoint) end(id modeler.TaskID, ok bool, cause string, checkpointed bool) {
	ex := e.tasks[id]
	e.remove(id)
	e.ended[id] = ex.task.Attempt
	e.finished = append(e.finished, messenger.TaskResult{
		Task: id, Job: ex.task.Job, Team: ex.task.Team, Attempt: ex.task.Attempt, OK: ok, Cause: cause,
		Started: ex.task.Started, Ended: e.cluster.sim.now, Used: ex.task.Needs, Checkpointed: checkpointed, Note: ex.task.Note,
	})
	e.cluster.ledger.recordResult(id, ok)
}

// call starts a call. A repeated request is executed again, because the protocol
// makes the owner responsible for sending a request only once.
func (e *fakeEndpoint) call(msg messenger.CallRequest, reply func(any, error)) {
	key := requestKey{msg.Team, msg.Request}
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		reply(nil, err)

		return
	}
	state := e.journal[key]
	if state != nil && state.voided {
		reply(nil, messenger.ErrVoided)

		return
	}
	needs := modeler.Resources{Slots: 1}
	if !e.lenient && !e.used().Add(needs).Fits(e.capacity) {
		reply(nil, messenger.ErrNoCapacity)

		return
	}
	if state == nil {
		state = &requestState{}
		e.journal[key] = state
	}
	state.running++
	e.calls++
	id := modeler.TaskID(fmt.Sprintf("call:%s:%s:%d", msg.Team, msg.Request, e.calls))
	ex := &execution{key: key, reply: reply, task: messenger.Task{ID: id, Team: msg.Team, Needs: needs, Request: msg.Request}}
	e.cluster.load.checkExecution(key)
	e.execute(id, ex)
	e.cluster.sim.after(e.cluster.load.callRuntime(), e.host, func() {
		if e.tasks[id] != ex {
			return
		}
		e.remove(id)
		if e.failing {
			reply(nil, errCommand)

			return
		}
		state.answer = expectedAnswer(msg.Request)
		reply(messenger.CallReply{Request: msg.Request, Answer: state.answer}, nil)
	})
}

// expectedAnswer returns the only correct answer to a request.
func expectedAnswer(id modeler.RequestID) []byte { return []byte("answer to " + string(id)) }

func (e *fakeEndpoint) void(msg messenger.VoidRequest) (messenger.VoidReply, error) {
	if err := e.observeTerm(msg.Term); err != nil {
		return messenger.VoidReply{}, err
	}
	key := requestKey{msg.Team, msg.Request}
	state, ok := e.journal[key]
	if !ok {
		state = &requestState{voided: true}
		e.journal[key] = state
	}
	if state.voided {
		return messenger.VoidReply{}, nil
	}

	return messenger.VoidReply{Ran: state.running == 0, Running: state.running > 0, Answer: state.answer}, nil
}

// execute runs a task or call until its lease ends.
func (e *fakeEndpoint) execute(id modeler.TaskID, ex *execution) {
	sim := e.cluster.sim
	ex.task.Started, ex.leaseEnd = sim.now, sim.now.Add(taskLease)
	e.tasks[id] = ex
	e.cluster.ledger.recordStart(e, id, ex)
	var expire func()
	expire = func() {
		switch {
		case e.tasks[id] != ex:
		case ex.leaseEnd.After(sim.now):
			sim.after(ex.leaseEnd.Sub(sim.now)+sim.upTo(maxExpiryDelay), nil, expire)
		case ex.reply != nil:
			e.remove(id)
		default:
			e.end(id, false, "task lease ended", false)
		}
	}
	// The expiry is not an event of the host, so the work of a frozen machine ends
	// with its lease, too.
	sim.after(taskLease+sim.upTo(maxExpiryDelay), nil, expire)
}

// remove removes a task or call that no longer runs.
func (e *fakeEndpoint) remove(id modeler.TaskID) {
	ex := e.tasks[id]
	delete(e.tasks, id)
	if ex.reply != nil {
		e.journal[ex.key].running--
	}
	e.cluster.ledger.recordStop(e, id, ex)
}

// used returns the resources of all tasks and calls in progress.
func (e *fakeEndpoint) used() modeler.Resources {
	var sum modeler.Resources
	for _, ex := range e.tasks {
		sum = sum.Add(ex.task.Needs)
	}

	return sum
}
