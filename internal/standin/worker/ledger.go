package worker

import (
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Kind tells what an event of a ledger is.
type Kind string

// The kinds of event.
const (
	// KindUp is an endpoint that came up with the capacity in Needs.
	KindUp Kind = "up"
	// KindDown is an endpoint that died; everything on it has ended before.
	KindDown Kind = "down"
	// KindLeave is an endpoint that begins to leave.
	KindLeave Kind = "leave"
	// KindHello is a session that was granted.
	KindHello Kind = "hello"
	// KindStart and KindEnd are the life of a task.
	KindStart Kind = "start"
	KindEnd   Kind = "end"
	// KindCall and KindAnswer are the life of a call.
	KindCall   Kind = "call"
	KindAnswer Kind = "answer"
	// KindVoid is a request that the executor refuses from now on.
	KindVoid Kind = "void"
)

// Event is an entry of a ledger. Times of one machine are comparable.
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
	// Call numbers the executions of calls on this endpoint.
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

// Events returns the events from number from on, counted from 0.
func (l *Ledger) Events(from int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]Event{}, l.events[min(max(from, 0), len(l.events)):]...)
}
