package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Order is an order of the owner that a courier on another instance sends to an
// endpoint. Exactly one of Start, Stop and Renew is set.
type Order struct {
	// Number identifies the order within its stream.
	Number uint64
	Target definer.Target
	// Timeout bounds the call to the endpoint.
	Timeout time.Duration
	// Start has no spec in a batch: it is at index Spec of the batch's Specs.
	Start *definer.StartOrder
	Spec  int
	Stop  *definer.StopOrder
	Renew *definer.RenewOrder
}

// Orders is a batch of orders. An empty batch is a probe, to which the courier replies.
type Orders struct {
	// Specs holds each spec once, since many tasks of a job start in the same batch.
	Specs  []string
	Orders []Order
}

// Result is the result of an order.
type Result struct {
	Number  uint64
	Verdict definer.Verdict
	// Error is the text of the error of the call to the endpoint, or empty.
	Error  string
	Report definer.Report
}

// Results is a batch of results. An empty batch is the reply to a probe.
type Results struct{ Results []Result }

// Carrier serves streams of orders by sending the orders to endpoints.
type Carrier interface {
	Carry(stream *CarryServer) error
}

// CarryServer is the courier's side of a stream of orders.
type CarryServer struct{ grpc.ServerStream }

// Receive waits for the next batch of orders.
func (s *CarryServer) Receive() (*Orders, error) {
	orders := new(Orders)

	return orders, errors.Wrap(s.RecvMsg(orders), "receive orders")
}

// Send sends a batch of results to the owner.
func (s *CarryServer) Send(results *Results) error {
	return errors.Wrap(s.SendMsg(results), "send results")
}

// CarryClient is the owner's side of a stream of orders.
type CarryClient struct{ grpc.ClientStream }

// Send sends a batch of orders.
func (s *CarryClient) Send(orders *Orders) error {
	return errors.Wrap(s.SendMsg(orders), "send orders")
}

// Receive waits for the next batch of results.
func (s *CarryClient) Receive() (*Results, error) {
	results := new(Results)

	return results, errors.Wrap(s.RecvMsg(results), "receive results")
}

const carryStreamName = "Carry"

// carryStreamDesc is the gRPC description of the stream of orders.
var carryStreamDesc = grpc.StreamDesc{
	StreamName: carryStreamName, ServerStreams: true, ClientStreams: true,
	Handler: func(server any, stream grpc.ServerStream) (err error) {
		defer recoverCall(carryStreamName, &err)

		return server.(Server).Carry(&CarryServer{stream})
	},
}

// OpenCarryStream opens a stream of orders to a peer. The stream ends with ctx.
func OpenCarryStream(ctx context.Context, p *Pool, address netip.AddrPort) (*CarryClient, error) {
	c, err := p.get(address)
	if err != nil {
		return nil, err
	}
	stream, err := c.client.NewStream(ctx, &carryStreamDesc, "/"+serviceName+"/"+carryStreamName)
	p.recordOutcome(address, c, err)
	if err != nil {
		return nil, errors.Wrap(err, "open stream of orders")
	}

	return &CarryClient{stream}, nil
}
