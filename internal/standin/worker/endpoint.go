// Package worker stands in for the platform's workers and executors.
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
	// sessionLapse is Ls, after which a session without renewal lapses.
	sessionLapse = time.Second
	// taskLease is Lt, after which an endpoint without renewal stops its work.
	taskLease = 6 * time.Second
)

// leaseCause is the cause of work that ended without renewals.
const leaseCause = "task lease ended"

// failureCause is the cause of a task that failed.
const failureCause = "command failed"

var (
	// errCommand refuses a message that has no meaning.
	errCommand = errors.New("bad command")
	// errDown ends requests that were open when the endpoint died.
	errDown = errors.New("endpoint is down")
)

// Settings change how an endpoint behaves.
type Settings struct {
	// Failing makes every started task fail at once.
	Failing bool `json:"failing,omitempty"`
	// Lag delays reports of usage.
	Lag time.Duration `json:"lag,omitempty"`
	// Usage is the percentage of the declared resources that tasks use; zero
	// means 100.
	Usage int64 `json:"usage,omitempty"`
	// Service is how long a call takes.
	Service time.Duration `json:"service,omitempty"`
}

// session is the relation to the present owner.
type session struct {
	id      modeler.SessionID
	term    modeler.Term
	owner   modeler.InstanceID
	renewed time.Time
}

// running is a task in progress.
type running struct {
	task  messenger.Task
	fail  bool
	end   time.Time
	timer *time.Timer
	lease *lease
}

// sample is the usage at a time.
type sample struct {
	at    time.Time
	usage modeler.Resources
}

// Endpoint is a worker or an executor. A died endpoint has lost its sessions
// and its work. The journal of request ids survives, as on a disk.
type Endpoint struct {
	instance modeler.Instance
	capacity modeler.Resources
	ledger   *Ledger
	store    *store

	mu       sync.Mutex
	settings Settings
	term     modeler.Term
	session  session
	sessions modeler.SessionID
	leaving  bool
	up       bool
	tasks    map[modeler.TaskID]*running
	// ended remembers the last attempt of tasks that ended here.
	ended    map[modeler.TaskID]int
	finished []messenger.TaskResult
	calls    map[int]*call
	called   int
	journal  map[requestKey]*journalEntry
	samples  []sample
}

// NewEndpoint returns an endpoint that is down until Up is called. Session
// numbers begin at the time of the start, so that they are never repeated.
func NewEndpoint(
	instance modeler.Instance, capacity modeler.Resources, settings Settings, ledger *Ledger, store *store,
) *Endpoint {
	return &Endpoint{
		instance: instance, capacity: capacity, settings: settings, ledger: ledger, store: store,
		sessions: modeler.SessionID(time.Now().UnixMicro()),
		journal:  make(map[requestKey]*journalEntry),
	}
}

// Up starts the endpoint without any memory but its journal.
func (e *Endpoint) Up() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up, e.leaving, e.term, e.session = true, false, 0, session{}
	e.tasks = make(map[modeler.TaskID]*running)
	e.ended = make(map[modeler.TaskID]int)
	e.calls = make(map[int]*call)
	e.finished, e.samples = nil, nil
	e.log(Event{Kind: KindUp, Needs: e.capacity})
}

// Down ends all work and forgets everything but the journal.
func (e *Endpoint) Down() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.endAll("endpoint died")
	e.up = false
	e.log(Event{Kind: KindDown})
}

// Leave makes the endpoint report that it is leaving.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.log(Event{Kind: KindLeave})
}

// Set replaces the settings.
func (e *Endpoint) Set(settings Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = settings
}

// log adds an event; the caller holds the lock.
func (e *Endpoint) log(event Event) {
	event.Time, event.Endpoint = time.Now(), e.instance.ID
	e.ledger.add(event)
}

// Hello implements messenger.Endpoint. It grants a session but does not renew
// the task lease: the owner whose hello got no answer counts the lease from
// the last renewal.
func (e *Endpoint) Hello(msg messenger.HelloRequest) (messenger.HelloReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.observe(msg.Term); err != nil {
		return messenger.HelloReply{}, err
	}
	if e.session.term == msg.Term && e.session.owner != "" && e.session.owner != msg.Owner {
		return messenger.HelloReply{}, errors.Wrapf(messenger.ErrStaleTerm, "term %s is held by %s", msg.Term, e.session.owner)
	}
	e.sessions++
	e.session = session{id: e.sessions, term: msg.Term, owner: msg.Owner, renewed: time.Now()}
	e.log(Event{Kind: KindHello, Term: msg.Term, Session: e.sessions, Owner: msg.Owner})
	reply := messenger.HelloReply{
		Session: e.sessions, Term: e.term, Capacity: e.capacity, Leaving: e.leaving,
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

// Renew implements messenger.Endpoint.
func (e *Endpoint) Renew(msg messenger.RenewRequest) (messenger.RenewReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(msg.Term, msg.Session); err != nil {
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
		Usage: e.reported(now), Leaving: e.leaving, Finished: append([]messenger.TaskResult{}, e.finished...),
	}
	for id := range e.tasks {
		reply.Tasks = append(reply.Tasks, id)
	}
	for _, c := range e.calls {
		reply.Tasks = append(reply.Tasks, c.task().ID)
	}

	return reply, nil
}

// observe refuses terms below the highest seen; the caller holds the lock.
func (e *Endpoint) observe(term modeler.Term) error {
	if !e.up {
		return errDown
	}
	if term < e.term {
		return errors.Wrapf(messenger.ErrStaleTerm, "%s is below %s", term, e.term)
	}
	e.term = term

	return nil
}

// check refuses messages without a valid session; the caller holds the lock.
func (e *Endpoint) check(term modeler.Term, id modeler.SessionID) error {
	if err := e.observe(term); err != nil {
		return err
	}
	if e.session.id != id || e.session.term != term {
		return errors.Wrapf(messenger.ErrSessionExpired, "session %d is not the present one", id)
	}
	if age := time.Since(e.session.renewed); age > sessionLapse {
		return errors.Wrapf(messenger.ErrSessionExpired, "session %d was renewed %s ago", id, age)
	}

	return nil
}

// endAll ends tasks and calls; the caller holds the lock.
func (e *Endpoint) endAll(cause string) {
	for id := range e.tasks {
		e.end(id, messenger.TaskResult{Cause: cause})
	}
	for n := range e.calls {
		e.endCall(n, false, cause)
	}
}

// acknowledge forgets finishes that the owner has recorded.
func (e *Endpoint) acknowledge(ids []modeler.TaskID) {
	if len(ids) == 0 {
		return
	}
	known := make(map[modeler.TaskID]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	kept := e.finished[:0]
	for _, finish := range e.finished {
		if !known[finish.Task] {
			kept = append(kept, finish)
		}
	}
	e.finished = kept
}
