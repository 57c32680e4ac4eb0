package connector

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Dialer creates endpoint clients that share one pool of connections.
type Dialer struct {
	client *client
}

// NewDialer returns a dialer.
func NewDialer(opts ...Option) *Dialer { return &Dialer{client: newClient(opts)} }

// Endpoint implements messenger.Dialer. It does not open a connection.
func (d *Dialer) Endpoint(instance modeler.Instance) messenger.Endpoint {
	return &Endpoint{client: d.client, id: instance.ID, address: instance.Address}
}

// Endpoint is the client of a worker or an executor.
type Endpoint struct {
	client  *client
	id      modeler.InstanceID
	address netip.AddrPort
}

// Hello implements messenger.Endpoint.
func (e *Endpoint) Hello(ctx context.Context, msg messenger.HelloRequest) (messenger.HelloReply, error) {
	msg.Endpoint = e.id
	var reply messenger.HelloReply
	err := e.post(ctx, "/v1/hello", msg, &reply)

	return reply, err
}

// Renew implements messenger.Endpoint.
func (e *Endpoint) Renew(ctx context.Context, msg messenger.RenewRequest) (messenger.RenewReply, error) {
	var reply messenger.RenewReply
	err := e.post(ctx, "/v1/renew", msg, &reply)

	return reply, err
}

// Start implements messenger.Endpoint.
func (e *Endpoint) Start(ctx context.Context, msg messenger.StartRequest) error {
	return e.post(ctx, "/v1/start", msg, nil)
}

// Stop implements messenger.Endpoint.
func (e *Endpoint) Stop(ctx context.Context, msg messenger.TaskRequest) error {
	return e.post(ctx, "/v1/stop", msg, nil)
}

// Checkpoint implements messenger.Endpoint.
func (e *Endpoint) Checkpoint(ctx context.Context, msg messenger.TaskRequest) error {
	return e.post(ctx, "/v1/checkpoint", msg, nil)
}

// Throttle implements messenger.Endpoint.
func (e *Endpoint) Throttle(ctx context.Context, msg messenger.TaskRequest) error {
	return e.post(ctx, "/v1/throttle", msg, nil)
}

// Call implements messenger.Endpoint. It returns an error if the answer belongs to
// another request.
func (e *Endpoint) Call(ctx context.Context, msg messenger.CallRequest) (messenger.CallReply, error) {
	var reply messenger.CallReply
	if err := e.post(ctx, "/v1/call", msg, &reply); err != nil {
		return messenger.CallReply{}, err
	}
	if reply.Request != msg.Request {
		return messenger.CallReply{}, errors.Errorf("answer is for request %q instead of %q", reply.Request, msg.Request)
	}

	return reply, nil
}

// Void implements messenger.Endpoint.
func (e *Endpoint) Void(ctx context.Context, msg messenger.VoidRequest) (messenger.VoidReply, error) {
	msg.Endpoint = e.id
	var reply messenger.VoidReply
	err := e.post(ctx, "/v1/void", msg, &reply)

	return reply, err
}

// post sends a command and maps the status of the response to the errors of
// package messenger.
func (e *Endpoint) post(ctx context.Context, path string, in, out any) error {
	err := e.client.do(ctx, http.MethodPost, e.address, path, in, out)
	var status *statusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.status {
	case http.StatusConflict:
		return errors.Wrap(messenger.ErrStaleTerm, status.body)
	case http.StatusGone:
		return errors.Wrap(messenger.ErrSessionExpired, status.body)
	case http.StatusTooManyRequests:
		return errors.Wrap(messenger.ErrNoCapacity, status.body)
	case http.StatusMisdirectedRequest:
		return errors.Wrap(messenger.ErrOtherEndpoint, status.body)
	case http.StatusPreconditionFailed:
		return errors.Wrap(messenger.ErrVoided, status.body)
	}

	return err
}
