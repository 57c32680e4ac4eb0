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

// fakeLog is an in-memory log.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]messenger.LogRecord
	down    bool
	// loseAnswers is the number of appends that take effect but return an error.
	loseAnswers int
	// appended is closed by the next append.
	appended chan struct{}
	// first holds the offset of the oldest record of a stream.
	first map[string]modeler.Offset
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string][]messenger.LogRecord{}, first: map[string]modeler.Offset{}, appended: make(chan struct{})}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// expire drops the records that are older than age.
func (l *fakeLog) expire(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for stream, records := range l.streams {
		for _, record := range records {
			if time.Since(record.Time) > age {
				l.first[stream] = record.Offset + 1
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
	close(l.appended)
	l.appended = make(chan struct{})
	if l.loseAnswers > 0 {
		l.loseAnswers--

		return 0, errDown
	}

	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from modeler.Offset, limit int, wait time.Duration) (messenger.Page, error) {
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		records, down, appended := l.streams[stream], l.down, l.appended
		l.mu.Unlock()
		if down {
			return messenger.Page{}, errDown
		}
		next := modeler.Offset(len(records))
		if first := l.firstOf(stream); from < first {
			from = first
		}
		if from < next {
			records = records[from:min(int(next), int(from)+limit)]

			return messenger.Page{Next: next, Records: records}, nil
		}
		select {
		case <-ctx.Done():
			return messenger.Page{}, ctx.Err()
		case <-deadline:
			return messenger.Page{Next: next}, nil
		case <-appended:
		}
	}
}

// fakeEndpoint implements the endpoint protocol including task leases.
type fakeEndpoint struct {
	cluster  *cluster
	instance modeler.Instance
	capacity modeler.Resources

	mu      sync.Mutex
	term    modeler.Term
	session modeler.SessionID
	renewed time.Time
	// leasesRenewed is when the task leases were last renewed, in Unix
	// nanoseconds. A hello grants a session but does not renew leases.
	leasesRenewed atomic.Int64
	tasks         map[modeler.TaskID]messenger.Task
	finished      map[modeler.TaskID]messenger.TaskResult
	calls         map[modeler.RequestID]string
	// inProgress counts the calls in progress.
	inProgress map[modeler.RequestID]int
	voided     map[modeler.RequestID]bool
	// dropRequests drops requests before they take effect; dropAnswers drops
	// the answers.
	dropRequests, dropAnswers bool
	// executions counts the executions of tasks and calls.
	executions map[string]int
	callTime   time.Duration
	// runFor ends tasks with success after this time; zero leaves them running.
	runFor time.Duration
}

// endExpired ends the tasks whose leases have expired. The caller holds the lock.
func (e *fakeEndpoint) endExpired() {
	for id, task := range e.tasks {
		if e.leaseExpired(task.Started) {
			e.cluster.taskEnded(id, e.instance.ID)
			delete(e.tasks, id)
		}
	}
}

// leaseExpired reports whether the lease of a task has expired.
func (e *fakeEndpoint) leaseExpired(started time.Time) bool {
	return time.Since(started) > owner.TaskLeaseTTL && time.Since(time.Unix(0, e.leasesRenewed.Load())) > owner.TaskLeaseTTL
}

// checkSession checks the term and the session of a request. The caller holds the
// lock.
func (e *fakeEndpoint) checkSession(term modeler.Term, session modeler.SessionID) error {
	e.endExpired()
	if term < e.term {
		return messenger.ErrStaleTerm
	}
	if session != e.session || time.Since(e.renewed) > owner.SessionTTL {
		return messenger.ErrSessionExpired
	}

	return nil
}

// receive simulates the transmission of a request and fails if it is dropped.
func (e *fakeEndpoint) receive(ctx context.Context) error {
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	drop := e.dropRequests
	e.mu.Unlock()
	if drop {
		<-ctx.Done()

		return ctx.Err()
	}

	return nil
}

// answer simulates the transmission of an answer and fails if it is dropped.
func (e *fakeEndpoint) answer(ctx context.Context, err error) error {
	e.mu.Lock()
	drop := e.dropAnswers
	e.mu.Unlock()
	if drop {
		<-ctx.Done()

		return ctx.Err()
	}

	return err
}

func (e *fakeEndpoint) Hello(ctx context.Context, msg messenger.HelloRequest) (messenger.HelloReply, error) {
	if err := e.receive(ctx); err != nil {
		return messenger.HelloReply{}, err
	}
	reply, err := e.hello(msg)

	return reply, e.answer(ctx, err)
}

func (e *fakeEndpoint) hello(msg messenger.HelloRequest) (messenger.HelloReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endExpired()
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
	for id := range e.inProgress {
		reply.Tasks = append(reply.Tasks, messenger.Task{
			ID: modeler.TaskID("call:" + id), Team: "humo", Request: id, Needs: modeler.Resources{Slots: 1},
		})
	}
	for _, result := range e.finished {
		reply.Finished = append(reply.Finished, result)
	}

	return reply, nil
}

// restart ends all work and clears all state except the executed requests.
func (e *fakeEndpoint) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.tasks {
		e.cluster.taskEnded(id, e.instance.ID)
	}
	clear(e.tasks)
	clear(e.finished)
	e.term, e.session, e.renewed = 0, e.session+1, time.Time{}
}

func (e *fakeEndpoint) Renew(ctx context.Context, msg messenger.RenewRequest) (messenger.RenewReply, error) {
	if err := e.receive(ctx); err != nil {
		return messenger.RenewReply{}, err
	}
	reply, err := e.renew(msg)

	return reply, e.answer(ctx, err)
}

func (e *fakeEndpoint) renew(msg messenger.RenewRequest) (messenger.RenewReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return messenger.RenewReply{}, err
	}
	e.renewed = time.Now()
	e.leasesRenewed.Store(e.renewed.UnixNano())
	for _, id := range msg.Acknowledged {
		delete(e.finished, id)
	}
	var reply messenger.RenewReply
	for id := range e.tasks {
		reply.Tasks = append(reply.Tasks, id)
	}
	for _, result := range e.finished {
		reply.Finished = append(reply.Finished, result)
	}

	return reply, nil
}

func (e *fakeEndpoint) Start(ctx context.Context, msg messenger.StartRequest) error {
	if err := e.receive(ctx); err != nil {
		return err
	}

	return e.answer(ctx, e.start(msg))
}

func (e *fakeEndpoint) start(msg messenger.StartRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
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
	e.cluster.taskStarted(msg.Task.ID, e.instance.ID)
	if e.runFor > 0 {
		time.AfterFunc(e.runFor, func() { e.complete(msg.Task) })
	}

	return nil
}

// complete ends an attempt of a task successfully if it is still running.
func (e *fakeEndpoint) complete(task messenger.Task) {
	e.mu.Lock()
	e.endExpired()
	current, ok := e.tasks[task.ID]
	e.mu.Unlock()
	if ok && current.Attempt == task.Attempt {
		e.end(task.ID, true, "")
	}
}

// end ends a task as if its process had exited.
func (e *fakeEndpoint) end(id modeler.TaskID, ok bool, cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	task, found := e.tasks[id]
	if !found {
		return
	}
	delete(e.tasks, id)
	e.cluster.taskEnded(id, e.instance.ID)
	e.finished[id] = messenger.TaskResult{
		Task: id, Job: task.Job, Team: task.Team, Attempt: task.Attempt, OK: ok, Cause: cause, Started: task.Started, Ended: time.Now(),
	}
}

func (e *fakeEndpoint) Stop(ctx context.Context, msg messenger.TaskRequest) error {
	if err := e.receive(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	err := e.checkSession(msg.Term, msg.Session)
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
	if err := e.receive(ctx); err != nil {
		return messenger.CallReply{}, err
	}
	e.mu.Lock()
	err := e.checkSession(msg.Term, msg.Session)
	if err == nil && e.voided[msg.Request] {
		err = messenger.ErrVoided
	}
	if err == nil && int64(len(e.inProgress)) >= e.capacity.Slots {
		err = messenger.ErrNoCapacity
	}
	if err == nil {
		e.executions[string(msg.Request)]++
		e.calls[msg.Request] = "answer to " + string(msg.Body)
		e.inProgress[msg.Request]++
	}
	e.mu.Unlock()
	if err != nil {
		return messenger.CallReply{}, err
	}
	time.Sleep(e.callTime)
	e.mu.Lock()
	delete(e.inProgress, msg.Request)
	e.mu.Unlock()
	if err := e.answer(ctx, nil); err != nil {
		return messenger.CallReply{}, err
	}

	return messenger.CallReply{Request: msg.Request, Answer: []byte("answer to " + string(msg.Body))}, nil
}

func (e *fakeEndpoint) Void(ctx context.Context, msg messenger.VoidRequest) (messenger.VoidReply, error) {
	if err := e.receive(ctx); err != nil {
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
