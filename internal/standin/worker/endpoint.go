// Package worker simulates the platform's workers and executors.
package worker

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// The bounds of section 2.1 of the design page.
const (
	// sessionLease is Ls, the time after which a session without renewal expires.
	sessionLease = time.Second
	// taskLease is Lt, the time after which an endpoint without renewal stops its
	// tasks and calls.
	taskLease = 6 * time.Second
)

// leaseCause is the cause of tasks and calls that ended because their lease was
// not renewed.
const leaseCause = "task lease ended"

// failureCause is the cause of a task that failed.
const failureCause = "command failed"

var (
	// errCommand is returned for a request that cannot be carried out, such as a
	// start of an attempt that is over.
	errCommand = errors.New("bad command")
	// errDown is returned for requests to an endpoint that is down.
	errDown = errors.New("endpoint is down")
)

// Settings change how an endpoint behaves.
type Settings struct {
	// Failing makes every started task fail at once.
	Failing bool `json:"failing,omitempty"`
	// Lag is the delay after which a change of the usage is reported.
	Lag time.Duration `json:"lag,omitempty"`
	// Usage is the percentage of the declared resources that tasks use; zero
	// means 100.
	Usage int64 `json:"usage,omitempty"`
	// Service is the duration of a call.
	Service time.Duration `json:"service,omitempty"`
}

// session is the session of the current owner.
type session struct {
	id      modeler.SessionID
	term    modeler.Term
	owner   modeler.InstanceID
	renewed time.Time
}

// runningTask is a task in progress.
type runningTask struct {
	task  messenger.Task
	fail  bool
	end   time.Time
	timer *time.Timer
	lease *lease
}

// sample is the resource usage from a time on.
type sample struct {
	at    time.Time
	usage modeler.Resources
}

// Endpoint is a worker or an executor. A crash drops its session, tasks and
// calls. The journal of request ids survives a crash, as if it were on disk.
type Endpoint struct {
	instance    modeler.Instance
	capacity    modeler.Resources
	ledger      *Ledger
	checkpoints *checkpointStore

	mu          sync.Mutex
	settings    Settings
	term        modeler.Term
	session     session
	lastSession modeler.SessionID
	leaving     bool
	up          bool
	tasks       map[modeler.TaskID]*runningTask
	// lastAttempt holds the last attempt of each task that has ended on this
	// endpoint.
	lastAttempt map[modeler.TaskID]int
	// finished holds the results that the owner has not yet acknowledged.
	finished []messenger.TaskResult
	calls    map[int]*call
	lastCall int
	journal  map[requestKey]*journalEntry
	samples  []sample
}

// NewEndpoint returns an endpoint that is down until Up is called. Session
// numbers start at the current time in microseconds, so that they never repeat.
func NewEndpoint(
	instance modeler.Instance, capacity modeler.Resources, settings Settings, ledger *Ledger, store *checkpointStore,
) *Endpoint {
	return &Endpoint{
		instance: instance, capacity: capacity, settings: settings, ledger: ledger, checkpoints: store,
		lastSession: modeler.SessionID(time.Now().UnixMicro()),
		journal:     make(map[requestKey]*journalEntry),
	}
}

// Up starts the endpoint with no state other than its journal.
func (e *Endpoint) Up() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up, e.leaving, e.term, e.session = true, false, 0, session{}
	e.tasks = make(map[modeler.TaskID]*runningTask)
	e.lastAttempt = make(map[modeler.TaskID]int)
	e.calls = make(map[int]*call)
	e.finished, e.samples = nil, nil
	e.recordEvent(Event{Kind: KindUp, Needs: e.capacity})
}

// Down ends all tasks and calls. Up drops the remaining state except the journal.
func (e *Endpoint) Down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.endAll("endpoint died")
	e.up = false
	e.recordEvent(Event{Kind: KindDown})
}

// Leave makes the endpoint report that it is leaving.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.recordEvent(Event{Kind: KindLeave})
}

// Set replaces the settings.
func (e *Endpoint) Set(settings Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = settings
}

// recordEvent adds an event to the ledger; the caller holds the lock.
func (e *Endpoint) recordEvent(event Event) {
	event.Time, event.Endpoint = time.Now(), e.instance.ID
	e.ledger.add(event)
}

// Hello implements messenger.Endpoint. It grants a session but does not renew the
// task lease, because an owner whose hello got no answer counts the lease from
// the last renewal.
func (e *Endpoint) Hello(msg messenger.HelloRequest) (messenger.HelloReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkIdentity(msg.Endpoint); err != nil {
		return messenger.HelloReply{}, err
	}
	if err := e.checkTerm(msg.Term); err != nil {
		return messenger.HelloReply{}, err
	}
	if e.session.term == msg.Term && e.session.owner != "" && e.session.owner != msg.Owner {
		return messenger.HelloReply{}, errors.Wrapf(messenger.ErrStaleTerm, "term %s is held by %s", msg.Term, e.session.owner)
	}
	e.lastSession++
	e.session = session{id: e.lastSession, term: msg.Term, owner: msg.Owner, renewed: time.Now()}
	e.recordEvent(Event{Kind: KindHello, Term: msg.Term, Session: e.lastSession, Owner: msg.Owner})
	reply := messenger.HelloReply{
		Session: e.lastSession, Term: e.term, Capacity: e.capacity, Leaving: e.leaving,
		Finished: append([]messenger.TaskResult{}, e.finished...),
	}
	for _, r := range e.tasks {
		reply.Tasks = append(reply.Tasks, r.task)
	}
	for _, c := range e.calls {
		reply.Tasks = append(reply.Tasks, c.task())
	}

	return reply, nil
}

// Renew implements messenger.Endpoint. It renews the session and the leases of
// all tasks and calls.
func (e *Endpoint) Renew(msg messenger.RenewRequest) (messenger.RenewReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return messenger.RenewReply{}, err
	}
	now := time.Now()
	e.session.renewed = now
	for _, r := range e.tasks {
		r.lease.renew(now)
	}
	for _, c := range e.calls {
		c.lease.renew(now)
	}
	e.acknowledge(msg.Acknowledged)
	reply := messenger.RenewReply{
		Usage: e.laggedUsage(now), Leaving: e.leaving, Finished: append([]messenger.TaskResult{}, e.finished...),
	}
	for id := range e.tasks {
		reply.Tasks = append(reply.Tasks, id)
	}
	for _, c := range e.calls {
		reply.Tasks = append(reply.Tasks, c.task().ID)
	}

	return reply, nil
}

// checkIdentity returns ErrOtherEndpoint if a request is for another endpoint.
func (e *Endpoint) checkIdentity(id modeler.InstanceID) error {
	if id != e.instance.ID {
		return errors.Wrapf(messenger.ErrOtherEndpoint, "this is %s, not %s", e.instance.ID, id)
	}

	return nil
}

// checkTerm records the term, or returns ErrStaleTerm if it is below the highest
// one received; the caller holds the lock.
func (e *Endpoint) checkTerm(term modeler.Term) error {
	if !e.up {
		return errDown
	}
	if term < e.term {
		return errors.Wrapf(messenger.ErrStaleTerm, "%s is below %s", term, e.term)
	}
	e.term = term

	return nil
}

// checkSession returns ErrSessionExpired if the session is not the current one or
// has expired; the caller holds the lock.
func (e *Endpoint) checkSession(term modeler.Term, id modeler.SessionID) error {
	if err := e.checkTerm(term); err != nil {
		return err
	}
	if e.session.id != id || e.session.term != term {
		return errors.Wrapf(messenger.ErrSessionExpired, "session %d is not the present one", id)
	}
	if age := time.Since(e.session.renewed); age > sessionLease {
		return errors.Wrapf(messenger.ErrSessionExpired, "session %d was renewed %s ago", id, age)
	}

	return nil
}

// endAll ends all tasks and calls; the caller holds the lock.
func (e *Endpoint) endAll(cause string) {
	for id := range e.tasks {
		e.endTask(id, messenger.TaskResult{Cause: cause})
	}
	for n := range e.calls {
		e.endCall(n, false, cause)
	}
}

// acknowledge drops the results that the owner has recorded; the caller holds the
// lock.
func (e *Endpoint) acknowledge(ids []modeler.TaskID) {
	if len(ids) == 0 {
		return
	}
	known := make(map[modeler.TaskID]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	kept := e.finished[:0]
	for _, result := range e.finished {
		if !known[result.Task] {
			kept = append(kept, result)
		}
	}
	e.finished = kept
}
