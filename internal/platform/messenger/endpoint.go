package messenger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Errors of the commands of an endpoint. Any other error leaves it open whether
// the command took effect.
var (
	// ErrStaleTerm means that the endpoint has seen a higher term (HTTP 409).
	ErrStaleTerm = errors.New("endpoint has seen a higher term")
	// ErrSessionExpired means that the session has expired or was replaced (HTTP 410).
	ErrSessionExpired = errors.New("session has lapsed")
	// ErrNoCapacity means that the endpoint has no free capacity (HTTP 429).
	ErrNoCapacity = errors.New("endpoint has no capacity left")
	// ErrVoided means that the request was voided before it arrived (HTTP 412).
	ErrVoided = errors.New("request was voided")
	// ErrOtherEndpoint means that another endpoint answers at the address (HTTP 421).
	ErrOtherEndpoint = errors.New("another endpoint has the address")
	// ErrUnsent means that the command did not reach the endpoint.
	ErrUnsent = errors.New("command was not sent")
)

// Task describes a task to an endpoint.
type Task struct {
	ID      modeler.TaskID    `json:"id"`
	Job     modeler.JobID     `json:"job"`
	Team    modeler.TeamID    `json:"team"`
	Attempt int               `json:"attempt"`
	Needs   modeler.Resources `json:"needs"`
	Command []string          `json:"command,omitempty"`
	// Note is the decision record of the start and is opaque to the endpoint. It is
	// returned in the inventory, so that the stream can be completed after a failure
	// of the owner.
	Note    []byte    `json:"note,omitempty"`
	Started time.Time `json:"started,omitzero"`
	// Request is set for a call in progress on an executor.
	Request modeler.RequestID `json:"request,omitempty"`
	// Throttled is set while the task is throttled.
	Throttled bool `json:"throttled,omitempty"`
}

// TaskResult reports how a task ended. The endpoint repeats it in every renewal
// until the owner has acknowledged it.
type TaskResult struct {
	Task    modeler.TaskID    `json:"task"`
	Job     modeler.JobID     `json:"job"`
	Team    modeler.TeamID    `json:"team"`
	Attempt int               `json:"attempt"`
	OK      bool              `json:"ok"`
	Cause   string            `json:"cause,omitempty"`
	Started time.Time         `json:"started"`
	Ended   time.Time         `json:"ended"`
	Used    modeler.Resources `json:"used,omitzero"`
	// Checkpointed is set if the task was stopped with a checkpoint that it can be
	// resumed from.
	Checkpointed bool   `json:"checkpointed,omitempty"`
	Note         []byte `json:"note,omitempty"`
}

// HelloRequest opens a session. The client of an endpoint sets Endpoint; another
// endpoint that has the address refuses the request.
type HelloRequest struct {
	Endpoint modeler.InstanceID `json:"endpoint"`
	Term     modeler.Term       `json:"term"`
	Owner    modeler.InstanceID `json:"owner"`
}

// HelloReply grants a session and lists what the endpoint runs.
type HelloReply struct {
	Session  modeler.SessionID `json:"session"`
	Term     modeler.Term      `json:"term"`
	Capacity modeler.Resources `json:"capacity"`
	Tasks    []Task            `json:"tasks,omitempty"`
	Finished []TaskResult      `json:"finished,omitempty"`
	Leaving  bool              `json:"leaving,omitempty"`
}

// RenewRequest renews a session.
type RenewRequest struct {
	Term    modeler.Term      `json:"term"`
	Session modeler.SessionID `json:"session"`
	// Acknowledged lists the tasks whose results the owner has recorded.
	Acknowledged []modeler.TaskID `json:"acknowledged,omitempty"`
}

// RenewReply reports the tasks and the usage of the endpoint. The usage lags
// behind.
type RenewReply struct {
	Usage    modeler.Resources `json:"usage"`
	Tasks    []modeler.TaskID  `json:"tasks,omitempty"`
	Finished []TaskResult      `json:"finished,omitempty"`
	Leaving  bool              `json:"leaving,omitempty"`
}

// StartRequest starts a task.
type StartRequest struct {
	Term    modeler.Term      `json:"term"`
	Session modeler.SessionID `json:"session"`
	Task    Task              `json:"task"`
}

// TaskRequest stops, checkpoints or throttles a task.
type TaskRequest struct {
	Term    modeler.Term      `json:"term"`
	Session modeler.SessionID `json:"session"`
	Task    modeler.TaskID    `json:"task"`
}

// CallRequest requests that an executor execute a call in one of its slots.
type CallRequest struct {
	Term    modeler.Term      `json:"term"`
	Session modeler.SessionID `json:"session"`
	Request modeler.RequestID `json:"request"`
	Team    modeler.TeamID    `json:"team"`
	Service string            `json:"service"`
	Body    []byte            `json:"body"`
}

// CallReply is an executor's answer.
type CallReply struct {
	Request modeler.RequestID `json:"request"`
	Answer  []byte            `json:"answer"`
}

// VoidRequest prevents the execution of a request that has not been executed yet.
// The client of an endpoint sets Endpoint, as in a HelloRequest.
type VoidRequest struct {
	Endpoint modeler.InstanceID `json:"endpoint"`
	Term     modeler.Term       `json:"term"`
	Team     modeler.TeamID     `json:"team"`
	Request  modeler.RequestID  `json:"request"`
}

// VoidReply reports whether the request has run and, if so, its answer.
type VoidReply struct {
	Ran bool `json:"ran"`
	// Running is set while the request is being executed.
	Running bool   `json:"running,omitempty"`
	Answer  []byte `json:"answer,omitempty"`
}

// Endpoint is a worker or an executor. Start returns once the task is running, and
// Call once the call has ended. The number of a session is never given twice, not
// even after a restart, which forgets the highest term seen; it is what keeps a
// restarted endpoint from a command of an earlier session. A hello renews no task
// lease.
type Endpoint interface {
	Hello(ctx context.Context, msg HelloRequest) (HelloReply, error)
	Renew(ctx context.Context, msg RenewRequest) (RenewReply, error)
	Start(ctx context.Context, msg StartRequest) error
	Stop(ctx context.Context, msg TaskRequest) error
	Checkpoint(ctx context.Context, msg TaskRequest) error
	Throttle(ctx context.Context, msg TaskRequest) error
	Call(ctx context.Context, msg CallRequest) (CallReply, error)
	Void(ctx context.Context, msg VoidRequest) (VoidReply, error)
}

// Dialer creates the clients of endpoints.
type Dialer interface {
	Endpoint(instance modeler.Instance) Endpoint
}
