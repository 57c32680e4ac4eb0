package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// defaultTimeout bounds a command whose context has no deadline.
	defaultTimeout = 10 * time.Second
	// retryAfter is the retry delay advised if an owner cannot be reached. A
	// takeover takes up to 5 s; callers that retry once a second notice its end
	// early.
	retryAfter = time.Second
)

// remote implements modeler.Commands for another entry instance.
type remote struct {
	owner  modeler.InstanceID
	client PeerClient
	config modeler.Configuration
}

// method is a method of PeerClient that forwards a command.
type method func(ctx context.Context, in *Forward, opts ...grpc.CallOption) (*Answer, error)

// Submit implements modeler.Commands.
func (r *remote) Submit(ctx context.Context, msg modeler.SubmitMsg) (modeler.SubmitReply, error) {
	var reply modeler.SubmitReply
	err := r.forward(ctx, r.client.Submit, msg.Partition, msg, &reply)

	return reply, err
}

// Cancel implements modeler.Commands.
func (r *remote) Cancel(ctx context.Context, msg modeler.CancelMsg) error {
	return r.forward(ctx, r.client.Cancel, msg.Partition, msg, nil)
}

// Call implements modeler.Commands.
func (r *remote) Call(ctx context.Context, msg modeler.CallMsg) (modeler.CallReply, error) {
	var reply modeler.CallReply
	err := r.forward(ctx, r.client.Call, msg.Partition, msg, &reply)

	return reply, err
}

// Resolve implements modeler.Commands.
func (r *remote) Resolve(ctx context.Context, msg modeler.ResolveMsg) (modeler.ResolveReply, error) {
	var reply modeler.ResolveReply
	err := r.forward(ctx, r.client.Resolve, msg.Partition, msg, &reply)

	return reply, err
}

// TransferTokens implements modeler.Commands.
func (r *remote) TransferTokens(ctx context.Context, msg modeler.TokensMsg) error {
	return r.forward(ctx, r.client.RequestTokens, msg.Partition, msg, nil)
}

// TakeOver implements modeler.Commands.
func (r *remote) TakeOver(ctx context.Context, msg modeler.TakeOverMsg) error {
	return r.forward(ctx, r.client.HandOver, msg.Partition, msg, nil)
}

// forward sends msg and decodes the answer into reply unless reply is nil. Errors
// are of type *modeler.Refusal.
func (r *remote) forward(ctx context.Context, call method, partition modeler.PartitionID, msg, reply any) error {
	payload, err := encoder.Marshal(msg)
	if err != nil {
		return modeler.NotRun(modeler.CodeInternal, 0, "%v", err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	sent := new(atomic.Bool)
	answer, err := call(context.WithValue(ctx, sentKey{}, sent), &Forward{
		Partition: string(partition), Message: payload, Config: r.offset(),
	})
	if err != nil {
		return r.refusal(err, partition, sent.Load())
	}
	if len(answer.GetRefusal()) > 0 {
		return decodeRefusal(answer.GetRefusal())
	}
	if reply == nil {
		return nil
	}
	if err := encoder.Unmarshal(answer.GetMessage(), reply); err != nil {
		return modeler.Unknown(modeler.CodeLostAnswer, retryAfter, "answer of %s: %v", r.owner, err)
	}

	return nil
}

// offset returns the offset of the configuration in force, -1 if there is none.
func (r *remote) offset() int64 {
	if r.config == nil {
		return -1
	}
	if _, offset, ok := r.config.InForce(); ok {
		return int64(offset)
	}

	return -1
}

// refusal returns the refusal for a gRPC error. Only a command of which no part
// was passed to a connection certainly did not reach the owner.
func (r *remote) refusal(err error, partition modeler.PartitionID, sent bool) *modeler.Refusal {
	if !sent {
		return modeler.NotRun(modeler.CodeNoOwner, retryAfter, "owner %s of partition %s cannot be reached: %s",
			r.owner, partition, status.Convert(err).Message())
	}
	code := modeler.CodeLostAnswer
	if status.Code(err) == codes.DeadlineExceeded {
		code = modeler.CodeTimeout
	}

	return modeler.Unknown(code, retryAfter, "answer of owner %s of partition %s was lost: %s",
		r.owner, partition, status.Convert(err).Message())
}

// decodeRefusal returns the refusal in data, or a refusal with an unknown outcome
// if data cannot be decoded.
func decodeRefusal(data []byte) *modeler.Refusal {
	refusal := new(modeler.Refusal)
	if err := encoder.Unmarshal(data, refusal); err != nil {
		return modeler.Unknown(modeler.CodeLostAnswer, retryAfter, "refusal cannot be decoded: %v", err)
	}

	return refusal
}
