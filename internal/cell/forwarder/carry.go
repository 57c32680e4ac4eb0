package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Order is an order of the owner that another instance sends to an endpoint.
// One of Start, Stop and Renew is set.
type Order struct {
	// Number identifies the order on its stream.
	Number uint64
	Target definer.Target
	// Timeout bounds the call to the endpoint.
	Timeout time.Duration
	// Start lacks its spec, which stands in the batch at index Spec.
	Start *definer.StartOrder
	Spec  int
	Stop  *definer.StopOrder
	Renew *definer.RenewOrder
}

// Orders is a batch of orders. An empty batch asks for a sign of life.
type Orders struct {
	// Specs holds each spec once; many tasks of a job start together.
	Specs  []string
	Orders []Order
}

// Result is what became of an order.
type Result struct {
	Number  uint64
	Verdict definer.Verdict
	// Error tells why the endpoint's answer is not known.
	Error  string
	Report definer.Report
}

// Results is a batch of results; an empty one is a sign of life.
type Results struct{ Results []Result }

// Carrier sends batches of orders to endpoints.
type Carrier interface {
	Carry(stream *CarryServer) error
}

// CarryServer is the carrier's side of a stream of orders.
type CarryServer struct{ grpc.ServerStream }

// Receive waits for the next batch of orders.
func (s *CarryServer) Receive() (*Orders, error) {
	orders := new(Orders)

	return orders, errors.Wrap(s.RecvMsg(orders), "receive orders")
}

// Send sends results back.
func (s *CarryServer) Send(results *Results) error {
	return errors.Wrap(s.SendMsg(results), "send results")
}

// CarryClient is the owner's side of a stream of orders.
type CarryClient struct{ grpc.ClientStream }

// Send sends a batch of orders.
func (s *CarryClient) Send(orders *Orders) error {
	return errors.Wrap(s.SendMsg(orders), "send orders")
}

// Receive waits for the next results.
func (s *CarryClient) Receive() (*Results, error) {
	results := new(Results)

	return results, errors.Wrap(s.RecvMsg(results), "receive results")
}

const carryStream = "Carry"

// carry describes the stream of orders to gRPC.
var carry = grpc.StreamDesc{
	StreamName: carryStream, ServerStreams: true, ClientStreams: true,
	Handler: func(server any, stream grpc.ServerStream) error {
		return server.(Server).Carry(&CarryServer{stream})
	},
}

// OpenCarryStream opens a stream of orders to a peer. It ends with ctx.
func OpenCarryStream(ctx context.Context, p *Pool, address netip.AddrPort) (*CarryClient, error) {
	c, err := p.get(address)
	if err != nil {
		return nil, err
	}
	stream, err := c.grpc.NewStream(ctx, &carry, "/"+serviceName+"/"+carryStream)
	p.judge(address, c, err)
	if err != nil {
		return nil, errors.Wrap(err, "open stream of orders")
	}

	return &CarryClient{stream}, nil
}
