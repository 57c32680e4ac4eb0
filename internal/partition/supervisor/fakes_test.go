package supervisor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

var errDown = errors.New("no answer")

// fakeLog is a log in memory.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]messenger.LogRecord
	down    bool
	// lose drops the answers of this many appends after they took effect.
	lose  int
	grown chan struct{}
	first map[string]modeler.Offset
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][]messenger.LogRecord{}, first: map[string]modeler.Offset{}, grown: make(chan struct{})}
}

func (l *fakeLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// expire drops the records that are older than age.
func (l *fakeLog) expire(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for stream, entries := range l.streams {
		for _, entry := range entries {
			if time.Since(entry.Time) > age {
				l.first[stream] = entry.Offset + 1
			}
		}
	}
}

func (l *fakeLog) firstOf(stream string) modeler.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.first[stream]
}

func (l *fakeLog) Append(_ context.Context, stream string, data []byte) (modeler.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errDown
	}
	offset := modeler.Offset(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], messenger.LogRecord{Offset: offset, Time: time.Now(), Data: slices.Clone(data)})
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
		if first := l.firstOf(stream); from < first {
			from = first
		}
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
	// leased is when the task leases were last renewed, in nanoseconds. A
	// hello grants a session and renews no lease.
	leased   atomic.Int64
	tasks    map[modeler.TaskID]messenger.Task
	finished map[modeler.TaskID]messenger.TaskResult
	calls    map[modeler.RequestID]string
	// open counts the calls in progress.
	open   map[modeler.RequestID]int
	voided map[modeler.RequestID]bool
	// silent drops messages before they take effect; mute drops the answers.
	silent, mute bool
	// executions counts the executions of tasks and calls.
	executions map[string]int
	callTime   time.Duration
	// runFor ends tasks with success after this time; zero leaves them running.
	runFor time.Duration
}

// lapse applies the endpoint's own clock; the caller holds the lock.
func (e *fakeEndpoint) lapse() {
	for id, task := range e.tasks {
		if e.ended(task.Started) {
			e.cluster.left(id, e.instance.ID)
			delete(e.tasks, id)
		}
	}
}

// ended reports whether the lease of a task has ended.
func (e *fakeEndpoint) ended(started time.Time) bool {
	return time.Since(started) > owner.TaskLeaseTTL && time.Since(time.Unix(0, e.leased.Load())) > owner.TaskLeaseTTL
}

// valid checks term and session; the caller holds the lock.
func (e *fakeEndpoint) valid(term modeler.Term, session modeler.SessionID) error {
	e.lapse()
	if term < e.term {
		return messenger.ErrStaleTerm
	}
	if session != e.session || time.Since(e.renewed) > owner.SessionTTL {
		return messenger.ErrSessionExpired
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
		return messenger.HelloReply{}, messenger.ErrStaleTerm
	}
	e.term = msg.Term
	e.session++
	e.renewed = time.Now()
	reply := messenger.HelloReply{Session: e.session, Term: e.term, Capacity: e.capacity}
	for _, task := range e.tasks {
		reply.Tasks = append(reply.Tasks, task)
	}
	for id := range e.open {
		reply.Tasks = append(reply.Tasks, messenger.Task{
			ID: modeler.TaskID("call:" + id), Team: "humo", Request: id, Needs: modeler.Resources{Slots: 1},
		})
	}
	for _, finish := range e.finished {
		reply.Finished = append(reply.Finished, finish)
	}

	return reply, nil
}

// restart ends all work and forgets everything but the requests.
func (e *fakeEndpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.tasks {
		e.cluster.left(id, e.instance.ID)
	}
	clear(e.tasks)
	clear(e.finished)
	e.term, e.session, e.renewed = 0, e.session+1, time.Time{}
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
	e.leased.Store(e.renewed.UnixNano())
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
		return messenger.ErrNoCapacity
	}
	msg.Task.Started = time.Now()
	e.tasks[msg.Task.ID] = msg.Task
	e.executions[string(msg.Task.ID)]++
	e.cluster.entered(msg.Task.ID, e.instance.ID)
	if e.runFor > 0 {
		time.AfterFunc(e.runFor, func() { e.complete(msg.Task) })
	}

	return nil
}

// complete ends an attempt of a task with success if it still runs.
func (e *fakeEndpoint) complete(task messenger.Task) {
	e.mu.Lock()
	e.lapse()
	found, ok := e.tasks[task.ID]
	e.mu.Unlock()
	if ok && found.Attempt == task.Attempt {
		e.end(task.ID, true, "")
	}
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
	e.finished[id] = messenger.TaskResult{
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
	if err == nil && int64(len(e.open)) >= e.capacity.Slots {
		err = messenger.ErrNoCapacity
	}
	if err == nil {
		e.executions[string(msg.Request)]++
		e.calls[msg.Request] = "answer to " + string(msg.Body)
		e.open[msg.Request]++
	}
	e.mu.Unlock()
	if err != nil {
		return messenger.CallReply{}, err
	}
	time.Sleep(e.callTime)
	e.mu.Lock()
	delete(e.open, msg.Request)
	e.mu.Unlock()
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
