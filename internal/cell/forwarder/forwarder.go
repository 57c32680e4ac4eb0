// Package forwarder implements calls between the instances of a cell over gRPC
// with messages in MessagePack.
package forwarder

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"runtime/debug"
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
	"gitlab.com/greengagewall/greengagewall/internal/codec/inspector"
)

// Outcome is the outcome of a call to the owner.
type Outcome int

// The outcomes of a call to the owner.
const (
	// OutcomeUnknown means that the request may or may not take effect.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the request took effect.
	OutcomeDone
	// OutcomeRefused means that the request did not take effect and will not.
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

// Lookup identifies a job of a queue, or a queue.
type Lookup struct {
	Job   string
	Place definer.Place
	// Timeout is how long the caller waits.
	Timeout time.Duration
}

// Reply is the owner's answer.
type Reply struct {
	Outcome Outcome
	State   definer.JobState
	// Count is the number of pending jobs of a queue.
	Count int
	// RetryAfter is the delay after which a refused request may be retried.
	RetryAfter time.Duration
}

// Question asks an instance to query a placement policy.
type Question struct {
	Job              string
	Occurrence, Step int
	Endpoints        []string
	Priority         int
	Timeout          time.Duration
	// Queue is the queue of the job; only the sender uses it.
	Queue string `msgpack:"-"`
}

// Advice is the answer to a question.
type Advice struct {
	Answered bool
	Tickets  []definer.Ticket
}

// Heartbeat is sent by an instance to another, which replies with its own.
type Heartbeat struct {
	Name    string
	Address netip.AddrPort
	// Term and Owner identify the owner known to the sender. Announced marks the announcement of a new owner.
	Term      int64
	Owner     netip.AddrPort
	Announced bool
	// IsOwner means that the sender is the owner.
	IsOwner bool
	// StoreAge is the time since the store last answered the sender.
	StoreAge time.Duration
	// ReachesOwner means that the sender has recently had an answer from the owner of Term.
	ReachesOwner bool
	// Life identifies the sender's process, and OwnerLife the process of Owner; 0 means unknown.
	Life, OwnerLife int64
}

// Handover asks an instance to claim the cell. End is the end of the state table.
type Handover struct{ End int64 }

// UnstoredProgress is what a previous owner has learned and could not store, and passes to its successor.
type UnstoredProgress struct {
	// Term is the term of the previous owner.
	Term         int64
	Observations []planner.Observation
	// Timeout is how long the sender waits until the successor has stored the progress.
	Timeout time.Duration
}

// Server answers the calls of other instances.
type Server interface {
	Submit(ctx context.Context, submission *Submission) (*Reply, error)
	Query(ctx context.Context, lookup *Lookup) (*Reply, error)
	Cancel(ctx context.Context, lookup *Lookup) (*Reply, error)
	Count(ctx context.Context, lookup *Lookup) (*Reply, error)
	Advise(ctx context.Context, question *Question) (*Advice, error)
	Exchange(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error)
	TakeOver(ctx context.Context, handover *Handover) (*Reply, error)
	Inherit(ctx context.Context, progress *UnstoredProgress) (*Reply, error)
	Carrier
}

const (
	serviceName = "cell"
	codecName   = "msgpack"
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = 500 * time.Millisecond
	// maxTimeouts is the number of consecutive calls that time out before a connection is replaced.
	maxTimeouts = 2
	// maxMessageSize is the maximum size of a message in bytes.
	maxMessageSize = 64 << 20
)

// codec encodes messages as MessagePack. Structs are encoded as arrays of their
// fields, and one with another number of fields is not decoded: a new field keeps
// instances of both versions from calling each other.
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
	if err := inspector.Check(data); err != nil {
		return err
	}

	return errors.Wrap(msgpack.Unmarshal(data, v), "decode message")
}

func (codec) Name() string { return codecName }

// unary adapts a method of Server to gRPC.
func unary[Q, R any](name string, call func(Server, context.Context, *Q) (*R, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: name,
		Handler: func(server any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (reply any, err error) {
			defer recoverCall(name, &err)
			request := new(Q)
			if err := decode(request); err != nil {
				return nil, err
			}

			return call(server.(Server), ctx, request)
		},
	}
}

// recoverCall turns a panic of a call into an error, so that a malformed message of a
// peer does not end the process.
func recoverCall(name string, err *error) {
	if cause := recover(); cause != nil {
		*err = status.Errorf(codes.Internal, "%s: panic: %v\n%s", name, cause, debug.Stack())
	}
}

var serviceDesc = grpc.ServiceDesc{
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
	Streams: []grpc.StreamDesc{carryStreamDesc},
}

// NewServer returns a gRPC server that passes calls to server.
func NewServer(server Server) *grpc.Server {
	s := grpc.NewServer(grpc.ForceServerCodec(codec{}), grpc.MaxRecvMsgSize(maxMessageSize))
	s.RegisterService(&serviceDesc, server)

	return s
}

// Pool holds one connection per peer. Connections are opened on first use.
type Pool struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*conn
}

// conn is a connection to a peer.
type conn struct {
	client *grpc.ClientConn
	// timeouts counts the consecutive calls that timed out.
	timeouts int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[netip.AddrPort]*conn{}} }

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		// The process is ending, so a failure to close needs no handling.
		_ = c.client.Close()
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
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithContextDialer(func(ctx context.Context, target string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", target)
		}),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry(), grpc.WithNoProxy())
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	c := &conn{client: client}
	p.conns[address] = c

	return c, nil
}

// recordOutcome updates a connection after a call and drops it from the pool if it
// has failed or stopped answering. Timeouts are counted because a connection whose
// peer does not answer reports no error.
func (p *Pool) recordOutcome(address netip.AddrPort, c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != c {
		return
	}
	if code := status.Code(err); code == codes.DeadlineExceeded {
		if c.timeouts++; c.timeouts < maxTimeouts {
			return
		}
	} else if code != codes.Unavailable || c.client.GetState() == connectivity.Ready {
		c.timeouts = 0

		return
	}
	// gRPC reconnects with exponential backoff; a new connection is tried at once.
	delete(p.conns, address)
	go c.run()
}

// run closes a connection that has been dropped from the pool.
func (c *conn) run() { _ = c.client.Close() }

// Unsent reports whether a call that failed with err was never sent, because the
// connection could not be established.
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
	err = c.client.Invoke(ctx, "/"+serviceName+"/"+method, request, reply)
	p.recordOutcome(address, c, err)

	return reply, err
}

func init() { encoding.RegisterCodec(codec{}) }
