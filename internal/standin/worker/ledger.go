package worker

import (
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Kind is the kind of an event of a ledger.
type Kind string

// The kinds of events.
const (
	// KindUp is the start of an endpoint with the capacity in Needs.
	KindUp Kind = "up"
	// KindDown is the crash of an endpoint, after the ends of its tasks and calls.
	KindDown Kind = "down"
	// KindLeave is the time from which an endpoint reports that it is leaving.
	KindLeave Kind = "leave"
	// KindHello is the grant of a session.
	KindHello Kind = "hello"
	// KindStart and KindEnd are the start and the end of a task.
	KindStart Kind = "start"
	KindEnd   Kind = "end"
	// KindCall and KindAnswer are the start and the end of a call.
	KindCall   Kind = "call"
	KindAnswer Kind = "answer"
	// KindVoid is the time from which the executor refuses a request.
	KindVoid Kind = "void"
)

// Event is an entry of a ledger. Only times of the same machine are comparable.
type Event struct {
	Seq      int                `json:"seq"`
	Time     time.Time          `json:"time"`
	Endpoint modeler.InstanceID `json:"endpoint"`
	Kind     Kind               `json:"kind"`
	Term     modeler.Term       `json:"term,omitempty"`
	Session  modeler.SessionID  `json:"session,omitempty"`
	Owner    modeler.InstanceID `json:"owner,omitempty"`
	Team     modeler.TeamID     `json:"team,omitempty"`
	Job      modeler.JobID      `json:"job,omitempty"`
	Task     modeler.TaskID     `json:"task,omitempty"`
	Attempt  int                `json:"attempt,omitempty"`
	Request  modeler.RequestID  `json:"request,omitempty"`
	Service  string             `json:"service,omitempty"`
	// Call is the number of the call on this endpoint.
	Call    int               `json:"call,omitempty"`
	Needs   modeler.Resources `json:"needs,omitzero"`
	Command []string          `json:"command,omitempty"`
	OK      bool              `json:"ok,omitempty"`
	Cause   string            `json:"cause,omitempty"`
}

// Ledger is an append-only list of events.
type Ledger struct {
	mu     sync.Mutex
	events []Event
}

// add appends an event; the caller sets its time.
func (l *Ledger) add(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.Seq = len(l.events) + 1
	l.events = append(l.events, event)
}

// Events returns the events from index from on, counted from 0.
func (l *Ledger) Events(from int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]Event{}, l.events[min(max(from, 0), len(l.events)):]...)
}
