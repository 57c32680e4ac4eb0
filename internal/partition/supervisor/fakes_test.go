package supervisor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/partition/replayer"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

var errDown = errors.New("no answer")

// fakeLog is a log in memory.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]messenger.Entry
	down    bool
	// lose drops the answers of this many appends after they took effect.
	lose  int
	grown chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][]messenger.Entry{}, grown: make(chan struct{})}
}

func (l *fakeLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (modeler.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errDown
	}
	offset := modeler.Offset(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], messenger.Entry{Offset: offset, Time: time.Now(), Data: slices.Clone(data)})
	close(l.grown)
	l.grown = make(chan struct{})
	if l.lose > 0 {
		l.lose--

		return 0, errDown
	}

	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from modeler.Offset, limit int, wait time.Duration) (messenger.Page, error) {
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		entries, down, grown := l.streams[stream], l.down, l.grown
		l.mu.Unlock()
		if down {
			return messenger.Page{}, errDown
		}
		next := modeler.Offset(len(entries))
		if from < next {
			entries = entries[from:min(int(next), int(from)+limit)]

			return messenger.Page{Next: next, Records: entries}, nil
		}
		select {
		case <-ctx.Done():
			return messenger.Page{}, ctx.Err()
		case <-deadline:
			return messenger.Page{Next: next}, nil
		case <-grown:
		}
	}
}

// fakeEndpoint follows the endpoint protocol, task leases included.
type fakeEndpoint struct {
	cluster  *cluster
	instance modeler.Instance
	capacity modeler.Resources

	mu      sync.Mutex
	term    modeler.Term
	session modeler.SessionID
	renewed time.Time
	// renewedAt is renewed in nanoseconds, for checks of the cluster.
	renewedAt atomic.Int64
	tasks     map[modeler.TaskID]messenger.Task
	finished  map[modeler.TaskID]messenger.Finish
	calls     map[modeler.RequestID]string
	voided    map[modeler.RequestID]bool
	// silent drops messages before they take effect; mute drops the answers.
	silent, mute bool
	// executions counts the executions of tasks and calls.
	executions map[string]int
	callTime   time.Duration
}

// lapse applies the endpoint's own clock; the caller holds the lock.
func (e *fakeEndpoint) lapse() {
	if time.Since(e.renewed) > owner.LeaseFor {
		for id := range e.tasks {
			e.cluster.left(id, e.instance.ID)
		}
		clear(e.tasks)
	}
}

// valid checks term and session; the caller holds the lock.
func (e *fakeEndpoint) valid(term modeler.Term, session modeler.SessionID) error {
	e.lapse()
	if term < e.term {
		return messenger.ErrTerm
	}
	if session != e.session || time.Since(e.renewed) > owner.SessionFor {
		return messenger.ErrSession
	}

	return nil
}

// reach fails if the endpoint does not get the message.
func (e *fakeEndpoint) reach(ctx context.Context) error {
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		<-ctx.Done()

		return ctx.Err()
	}

	return nil
}

// answer drops the answer if the endpoint is mute.
func (e *fakeEndpoint) answer(ctx context.Context, err error) error {
	e.mu.Lock()
	mute := e.mute
	e.mu.Unlock()
	if mute {
		<-ctx.Done()

		return ctx.Err()
	}

	return err
}

func (e *fakeEndpoint) Hello(ctx context.Context, msg messenger.HelloRequest) (messenger.HelloReply, error) {
	if err := e.reach(ctx); err != nil {
		return messenger.HelloReply{}, err
	}
	reply, err := e.hello(msg)

	return reply, e.answer(ctx, err)
}

func (e *fakeEndpoint) hello(msg messenger.HelloRequest) (messenger.HelloReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
	if msg.Term < e.term {
		return messenger.HelloReply{}, messenger.ErrTerm
	}
	e.term = msg.Term
	e.session++
	e.renewed = time.Now()
	e.renewedAt.Store(e.renewed.UnixNano())
	reply := messenger.HelloReply{Session: e.session, Term: e.term, Capacity: e.capacity}
	for _, task := range e.tasks {
		reply.Tasks = append(reply.Tasks, task)
	}
	for _, finish := range e.finished {
		reply.Finished = append(reply.Finished, finish)
	}

	return reply, nil
}

func (e *fakeEndpoint) Renew(ctx context.Context, msg messenger.RenewRequest) (messenger.RenewReply, error) {
	if err := e.reach(ctx); err != nil {
		return messenger.RenewReply{}, err
	}
	reply, err := e.renew(msg)

	return reply, e.answer(ctx, err)
}

func (e *fakeEndpoint) renew(msg messenger.RenewRequest) (messenger.RenewReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.valid(msg.Term, msg.Session); err != nil {
		return messenger.RenewReply{}, err
	}
	e.renewed = time.Now()
	e.renewedAt.Store(e.renewed.UnixNano())
	for _, id := range msg.Acknowledged {
		delete(e.finished, id)
	}
	var reply messenger.RenewReply
	for id := range e.tasks {
		reply.Tasks = append(reply.Tasks, id)
	}
	for _, finish := range e.finished {
		reply.Finished = append(reply.Finished, finish)
	}

	return reply, nil
}

func (e *fakeEndpoint) Start(ctx context.Context, msg messenger.StartRequest) error {
	if err := e.reach(ctx); err != nil {
		return err
	}

	return e.answer(ctx, e.start(msg))
}

func (e *fakeEndpoint) start(msg messenger.StartRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.valid(msg.Term, msg.Session); err != nil {
		return err
	}
	used := msg.Task.Needs
	for _, task := range e.tasks {
		used = used.Add(task.Needs)
	}
	if !used.Fits(e.capacity) {
		return messenger.ErrCapacity
	}
	msg.Task.Started = time.Now()
	e.tasks[msg.Task.ID] = msg.Task
	e.executions[string(msg.Task.ID)]++
	e.cluster.entered(msg.Task.ID, e.instance.ID)

	return nil
}

// end ends a task as its own process would.
func (e *fakeEndpoint) end(id modeler.TaskID, ok bool, cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	task, found := e.tasks[id]
	if !found {
		return
	}
	delete(e.tasks, id)
	e.cluster.left(id, e.instance.ID)
	e.finished[id] = messenger.Finish{
		Task: id, Job: task.Job, Team: task.Team, Attempt: task.Attempt, OK: ok, Cause: cause, Started: task.Started, Ended: time.Now(),
	}
}

func (e *fakeEndpoint) Stop(ctx context.Context, msg messenger.TaskRequest) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	err := e.valid(msg.Term, msg.Session)
	e.mu.Unlock()
	if err == nil {
		e.end(msg.Task, false, "stopped")
	}

	return e.answer(ctx, err)
}

func (e *fakeEndpoint) Checkpoint(ctx context.Context, msg messenger.TaskRequest) error {
	return e.Stop(ctx, msg)
}

func (e *fakeEndpoint) Throttle(context.Context, messenger.TaskRequest) error { return nil }

func (e *fakeEndpoint) Call(ctx context.Context, msg messenger.CallRequest) (messenger.CallReply, error) {
	if err := e.reach(ctx); err != nil {
		return messenger.CallReply{}, err
	}
	e.mu.Lock()
	err := e.valid(msg.Term, msg.Session)
	if err == nil && e.voided[msg.Request] {
		err = messenger.ErrVoided
	}
	if err == nil {
		e.executions[string(msg.Request)]++
		e.calls[msg.Request] = "answer to " + string(msg.Body)
	}
	e.mu.Unlock()
	if err != nil {
		return messenger.CallReply{}, err
	}
	time.Sleep(e.callTime)
	if err := e.answer(ctx, nil); err != nil {
		return messenger.CallReply{}, err
	}

	return messenger.CallReply{Request: msg.Request, Answer: []byte("answer to " + string(msg.Body))}, nil
}

func (e *fakeEndpoint) Void(ctx context.Context, msg messenger.VoidRequest) (messenger.VoidReply, error) {
	if err := e.reach(ctx); err != nil {
		return messenger.VoidReply{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer, ran := e.calls[msg.Request]; ran {
		return messenger.VoidReply{Ran: true, Answer: []byte(answer)}, nil
	}
	e.voided[msg.Request] = true

	return messenger.VoidReply{}, nil
}

// fakeDecider starts queued tasks on the first endpoint with room.
type fakeDecider struct {
	endpoints map[modeler.InstanceID]scheduler.EndpointMsg
	order     []modeler.InstanceID
	jobs      map[modeler.JobID]modeler.Job
	queue     []modeler.TaskID
	owners    map[modeler.TaskID]modeler.JobID
	at        map[modeler.TaskID]modeler.InstanceID
	attempts  map[modeler.TaskID]int
	teams     map[modeler.TeamID]modeler.Resources
}

func newFakeDecider() owner.Decider {
	return &fakeDecider{
		endpoints: map[modeler.InstanceID]scheduler.EndpointMsg{}, jobs: map[modeler.JobID]modeler.Job{},
		owners: map[modeler.TaskID]modeler.JobID{}, at: map[modeler.TaskID]modeler.InstanceID{},
		attempts: map[modeler.TaskID]int{}, teams: map[modeler.TeamID]modeler.Resources{},
	}
}

func (d *fakeDecider) Update(msg scheduler.Msg, _ time.Time) []scheduler.Command {
	switch msg := msg.(type) {
	case scheduler.EndpointMsg:
		if _, ok := d.endpoints[msg.ID]; !ok {
			d.order = append(d.order, msg.ID)
			slices.Sort(d.order)
		}
		d.endpoints[msg.ID] = msg
	case scheduler.EndpointGoneMsg:
		delete(d.endpoints, msg.ID)
		d.order = slices.DeleteFunc(d.order, func(id modeler.InstanceID) bool { return id == msg.ID })
	case scheduler.TeamMsg:
		d.teams[msg.ID] = msg.Allotment
	case scheduler.JobMsg:
		d.jobs[msg.Job.ID] = msg.Job
		for i := range msg.Job.Tasks {
			id := replayer.TaskID(msg.Job.ID, i)
			d.owners[id] = msg.Job.ID
			d.queue = append(d.queue, id)
		}
	case scheduler.AdoptMsg:
		d.unqueue(msg.Task)
		d.at[msg.Task], d.attempts[msg.Task] = msg.Endpoint, msg.Attempt
	case scheduler.EndedMsg:
		delete(d.at, msg.Task)
		d.unqueue(msg.Task)
		if msg.Result == scheduler.ResultRefused || msg.Result == scheduler.ResultRequeue || msg.Result == scheduler.ResultFailed {
			d.queue = append(d.queue, msg.Task)
		}
	case scheduler.CancelMsg:
		d.queue = slices.DeleteFunc(d.queue, func(id modeler.TaskID) bool { return d.owners[id] == msg.Job })
	case scheduler.DecideMsg:
		return d.decide()
	}

	return nil
}

func (d *fakeDecider) unqueue(task modeler.TaskID) {
	d.queue = slices.DeleteFunc(d.queue, func(id modeler.TaskID) bool { return id == task })
}

// used returns what the tasks selected by test need.
func (d *fakeDecider) used(test func(id modeler.TaskID) bool) modeler.Resources {
	var sum modeler.Resources
	for id := range d.at {
		if test(id) {
			sum = sum.Add(d.jobs[d.owners[id]].Needs)
		}
	}

	return sum
}

func (d *fakeDecider) decide() []scheduler.Command {
	var commands []scheduler.Command
	for _, id := range slices.Clone(d.queue) {
		job := d.jobs[d.owners[id]]
		running := d.used(func(o modeler.TaskID) bool { return d.jobs[d.owners[o]].Team == job.Team })
		if !running.Add(job.Needs).Fits(d.teams[job.Team]) {
			commands = append(commands, scheduler.TokensCmd{Team: job.Team, Wanted: job.Needs})

			continue
		}
		for _, at := range d.order {
			e := d.endpoints[at]
			used := d.used(func(o modeler.TaskID) bool { return d.at[o] == at })
			if !e.Usable || !used.Add(job.Needs).Fits(e.Capacity) {
				continue
			}
			d.unqueue(id)
			d.at[id] = at
			d.attempts[id]++
			commands = append(commands, scheduler.StartCmd{Task: id, Job: job, Endpoint: at, Attempt: d.attempts[id], Why: "room"})

			break
		}
	}

	return commands
}
