// Package forwarder carries calls between the instances of a cell over gRPC,
// with MessagePack bodies.
package forwarder

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/status"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// Outcome is an owner's answer to a submission, query or cancellation.
type Outcome int

// The outcomes of a call to the owner.
const (
	// OutcomeUnknown means that the request may or may not take effect.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the request took effect.
	OutcomeDone
	// OutcomeRefused means that the request did not and will not take effect.
	OutcomeRefused
	// OutcomeMissing means that there is no such job.
	OutcomeMissing
	// OutcomeNotOwner means that the instance is not the owner and did nothing.
	OutcomeNotOwner
)

// Submission asks the owner to accept a job.
type Submission struct {
	Job definer.Job
	// Timeout is how long the caller waits.
	Timeout time.Duration
}

// Lookup names a job of a queue, or a queue.
type Lookup struct {
	Job   string
	Queue string
	// Timeout is how long the caller waits.
	Timeout time.Duration
}

// Reply is the owner's answer.
type Reply struct {
	Outcome Outcome
	State   definer.JobState
	// Count is the number of waiting jobs of a queue.
	Count int
	// RetryAfter is when a refused request may come again.
	RetryAfter time.Duration
}

// Question asks an instance to ask a placement policy.
type Question struct {
	Job              string
	Occurrence, Step int
	Endpoints        []string
	Priority         int
	Timeout          time.Duration
}

// Advice answers a question.
type Advice struct {
	Answered bool
	Tickets  []definer.Ticket
}

// Heartbeat is exchanged between instances.
type Heartbeat struct {
	Name    string
	Address netip.AddrPort
	// Term and Owner tell who the sender takes for the owner; Announced claims it for the sender.
	Term      int64
	Owner     netip.AddrPort
	Announced bool
	// IsOwner means that the sender is the owner.
	IsOwner bool
	// StoreAge is how long ago the sender last heard of the store.
	StoreAge time.Duration
	// ReachesOwner means that the sender has lately reached the owner of Term.
	ReachesOwner bool
}

// Handover asks an instance to claim the cell, whose state table ends at End.
type Handover struct{ End int64 }

// UnstoredProgress is progress that an earlier owner could not store.
type UnstoredProgress struct {
	// Term is that of the earlier owner.
	Term      int64
	Snapshots []planner.Snapshot
}

// Server answers the calls of other instances.
type Server interface {
	Submit(ctx context.Context, submission *Submission) (*Reply, error)
	Query(ctx context.Context, lookup *Lookup) (*Reply, error)
	Cancel(ctx context.Context, lookup *Lookup) (*Reply, error)
	Count(ctx context.Context, lookup *Lookup) (*Reply, error)
	Advise(ctx context.Context, question *Question) (*Advice, error)
	Exchange(ctx context.Context, beat *Heartbeat) (*Heartbeat, error)
	TakeOver(ctx context.Context, handover *Handover) (*Reply, error)
	Inherit(ctx context.Context, legacy *UnstoredProgress) (*Reply, error)
	Carrier
}

const (
	serviceName = "cell"
	codecName   = "msgpack"
	// dialTimeout bounds the connection to a peer.
	dialTimeout = 500 * time.Millisecond
	// redialAfter is how long a connection may fail to answer before it is replaced.
	redialAfter = 2
	// messageMost bounds a message in bytes.
	messageMost = 64 << 20
)

// codec encodes messages as MessagePack. Structures are arrays of their fields,
// so that new fields have to be added at the end.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&data)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}

	return data.Bytes(), nil
}

func (codec) Unmarshal(data []byte, v any) error {
	return errors.Wrap(msgpack.Unmarshal(data, v), "decode message")
}
func (codec) Name() string { return codecName }

// unary adapts a method of Server to gRPC.
func unary[Q, R any](name string, call func(Server, context.Context, *Q) (*R, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			request := new(Q)
			if err := decode(request); err != nil {
				return nil, err
			}

			return call(server.(Server), ctx, request)
		},
	}
}

var description = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Server)(nil),
	Methods: []grpc.MethodDesc{
		unary("Submit", Server.Submit),
		unary("Query", Server.Query),
		unary("Cancel", Server.Cancel),
		unary("Count", Server.Count),
		unary("Advise", Server.Advise),
		unary("Exchange", Server.Exchange),
		unary("TakeOver", Server.TakeOver),
		unary("Inherit", Server.Inherit),
	},
	Streams: []grpc.StreamDesc{carry},
}

// NewServer returns a gRPC server that answers with server.
func NewServer(server Server) *grpc.Server {
	s := grpc.NewServer(grpc.ForceServerCodec(codec{}), grpc.MaxRecvMsgSize(messageMost))
	s.RegisterService(&description, server)

	return s
}

// Pool holds a connection to each peer.
type Pool struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*conn
}

type conn struct {
	grpc   *grpc.ClientConn
	missed int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[netip.AddrPort]*conn{}} }

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		// The process ends; a connection that fails to close needs no handling.
		_ = c.grpc.Close()
		delete(p.conns, address)
	}
}

func (p *Pool) get(address netip.AddrPort) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	client, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(messageMost)),
		grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", target)
		}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy())
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	c := &conn{grpc: client}
	p.conns[address] = c

	return c, nil
}

// judge replaces a connection that has stopped answering: a silent connection
// shows no error of its own.
func (p *Pool) judge(address netip.AddrPort, c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != c {
		return
	}
	if code := status.Code(err); code == codes.DeadlineExceeded {
		if c.missed++; c.missed < redialAfter {
			return
		}
	} else if code != codes.Unavailable || c.grpc.GetState() == connectivity.Ready {
		c.missed = 0

		return
	}
	// gRPC waits longer and longer between its attempts; a new connection tries at once.
	delete(p.conns, address)
	go c.run()
}

// run closes a connection that has been replaced.
func (c *conn) run() { _ = c.grpc.Close() }

// Unsent reports whether a call that failed with err never left this instance.
func Unsent(err error) bool {
	return status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), "while dialing")
}

// Call calls a method of a peer, such as "Submit".
func Call[Q, R any](ctx context.Context, p *Pool, address netip.AddrPort, method string, request *Q) (*R, error) {
	c, err := p.get(address)
	if err != nil {
		return nil, err
	}
	reply := new(R)
	err = c.grpc.Invoke(ctx, "/"+serviceName+"/"+method, request, reply)
	p.judge(address, c, err)

	return reply, err
}

func init() { encoding.RegisterCodec(codec{}) }
