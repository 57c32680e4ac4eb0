package worker

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Echo is the answer to a call. It repeats the request.
type Echo struct {
	Service  string             `json:"service"`
	Team     modeler.TeamID     `json:"team"`
	Request  modeler.RequestID  `json:"request"`
	Body     []byte             `json:"body"`
	Endpoint modeler.InstanceID `json:"endpoint"`
}

// requestKey identifies a request of a team.
type requestKey struct {
	team    modeler.TeamID
	request modeler.RequestID
}

// journalEntry is the state that an executor keeps of a request.
type journalEntry struct {
	voided bool
	// running is the number of calls of the request in progress.
	running int
	answer  []byte
}

// call is a call in progress.
type call struct {
	msg     messenger.CallRequest
	started time.Time
	done    chan struct{}
	ok      bool
	cause   string
	answer  []byte
	timer   *time.Timer
	lease   *lease
}

// task returns the call as a task for the inventory of the endpoint.
func (c *call) task() messenger.Task {
	return messenger.Task{
		ID: modeler.TaskID("call:" + string(c.msg.Team) + ":" + string(c.msg.Request)), Team: c.msg.Team,
		Needs: modeler.Resources{Slots: 1}, Request: c.msg.Request, Started: c.started,
	}
}

// Call starts a call. Every call of a request is executed, including repeated
// ones, because executors rely on the owner to prevent duplicates. It returns
// ErrVoided if the request was voided, and ErrNoCapacity if no slot is free.
func (e *Endpoint) Call(msg messenger.CallRequest) (*call, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return nil, err
	}
	key := requestKey{msg.Team, msg.Request}
	entry := e.journal[key]
	if entry != nil && entry.voided {
		return nil, errors.Wrap(messenger.ErrVoided, string(msg.Request))
	}
	if !e.reservedResources().Add(modeler.Resources{Slots: 1}).Fits(e.capacity) {
		return nil, errors.Wrapf(messenger.ErrNoCapacity, "%s of %s in use", e.reservedResources(), e.capacity)
	}
	if entry == nil {
		entry = &journalEntry{}
		e.journal[key] = entry
	}
	entry.running++
	e.lastCall++
	n := e.lastCall
	c := &call{msg: msg, started: time.Now(), done: make(chan struct{})}
	e.calls[n] = c
	c.timer = time.AfterFunc(e.settings.Service, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.calls[n] == c {
			e.endCall(n, !e.settings.Failing, "")
		}
	})
	c.lease = newLease(&e.mu, func() {
		if e.calls[n] == c {
			e.endCall(n, false, leaseCause)
		}
	})
	e.recordEvent(Event{
		Kind: KindCall, Term: msg.Term, Session: msg.Session, Team: msg.Team, Request: msg.Request,
		Service: msg.Service, Call: n, Needs: modeler.Resources{Slots: 1},
	})
	e.sampleUsage()

	return c, nil
}

// endCall ends call n, with an answer if ok is set and with a cause otherwise; the
// caller holds the lock.
func (e *Endpoint) endCall(n int, ok bool, cause string) {
	c := e.calls[n]
	c.timer.Stop()
	c.lease.stop()
	delete(e.calls, n)
	entry := e.journal[requestKey{c.msg.Team, c.msg.Request}]
	entry.running--
	c.ok, c.cause = ok, cause
	if ok {
		c.answer, _ = json.Marshal(Echo{
			Service: c.msg.Service, Team: c.msg.Team, Request: c.msg.Request, Body: c.msg.Body, Endpoint: e.instance.ID,
		})
		entry.answer = c.answer
	}
	close(c.done)
	e.recordEvent(Event{
		Kind: KindAnswer, Team: c.msg.Team, Request: c.msg.Request, Service: c.msg.Service, Call: n,
		Needs: modeler.Resources{Slots: 1}, OK: ok, Cause: cause,
	})
	e.sampleUsage()
}

// Void implements messenger.Endpoint. A request without a journal entry is
// refused from now on; otherwise the reply states whether it ran or is running.
func (e *Endpoint) Void(msg messenger.VoidRequest) (messenger.VoidReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkIdentity(msg.Endpoint); err != nil {
		return messenger.VoidReply{}, err
	}
	if err := e.checkTerm(msg.Term); err != nil {
		return messenger.VoidReply{}, err
	}
	key := requestKey{msg.Team, msg.Request}
	entry := e.journal[key]
	if entry == nil {
		entry = &journalEntry{voided: true}
		e.journal[key] = entry
		e.recordEvent(Event{Kind: KindVoid, Term: msg.Term, Team: msg.Team, Request: msg.Request})
	}
	if entry.voided {
		return messenger.VoidReply{}, nil
	}

	return messenger.VoidReply{Ran: entry.running == 0, Running: entry.running > 0, Answer: entry.answer}, nil
}
