// Package courier relays the owner's orders to endpoints through instances in the
// endpoints' zones. The owner sends batches of orders over one stream to each of
// these instances, so that its processor time does not grow with the number of
// calls to endpoints, and a new owner needs no new connections to endpoints.
package courier

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

const (
	// resultBatchDelay is how long a result waits for others to be sent in the same batch.
	resultBatchDelay = 12 * time.Millisecond
	// resultQueueSize bounds the results that are queued for a stream.
	resultQueueSize = 4096
)

// Courier executes the orders that owners on other instances send to it.
type Courier struct{ endpoints definer.Endpoints }

// New returns a courier.
func New(endpoints definer.Endpoints) *Courier { return &Courier{endpoints: endpoints} }

// Carry implements forwarder.Carrier. It serves the stream of one owner until the
// owner closes it or the connection is lost, and returns the cause.
func (c *Courier) Carry(stream *forwarder.CarryServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &session{endpoints: c.endpoints, stream: stream, results: make(chan forwarder.Result, resultQueueSize), probes: make(chan struct{}, 1), done: make(chan struct{})}
	go s.loop(ctx)
	defer func() { <-s.done }()
	defer cancel()
	for {
		batch, err := stream.Receive()
		if err != nil {
			return err
		}
		if len(batch.Orders) == 0 {
			select {
			case s.probes <- struct{}{}:
			default: // A reply to an earlier probe is pending.
			}
		}
		for i := range batch.Orders {
			order := &batch.Orders[i]
			if order.Start != nil && order.Spec >= 0 && order.Spec < len(batch.Specs) {
				order.Start.Spec = batch.Specs[order.Spec]
			}
			go s.run(ctx, order)
		}
	}
}

// session is the courier's side of a stream of orders.
type session struct {
	endpoints definer.Endpoints
	stream    *forwarder.CarryServer
	results   chan forwarder.Result
	// probes holds a request for a reply even if there are no results.
	probes chan struct{}
	done   chan struct{}
}

// run sends an order to its endpoint and queues the result.
func (s *session) run(ctx context.Context, order *forwarder.Order) {
	callCtx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	result := forwarder.Result{Number: order.Number}
	var err error
	result.Report, result.Verdict, err = sendDirect(callCtx, s.endpoints, order)
	if err != nil {
		result.Error = err.Error()
	}
	select {
	case s.results <- result:
	case <-ctx.Done():
	}
}

// sendDirect calls the endpoint of an order.
func sendDirect(ctx context.Context, endpoints definer.Endpoints, order *forwarder.Order) (definer.Report, definer.Verdict, error) {
	switch {
	case order.Start != nil:
		verdict, err := endpoints.Start(ctx, order.Target, *order.Start)

		return definer.Report{}, verdict, err
	case order.Stop != nil:
		verdict, err := endpoints.Stop(ctx, order.Target, *order.Stop)

		return definer.Report{}, verdict, err
	case order.Renew != nil:
		return endpoints.Renew(ctx, order.Target, *order.Renew)
	default:
		return definer.Report{}, definer.VerdictRefused, errors.New("order without content")
	}
}

// loop sends batches of results until ctx ends or the stream fails.
func (s *session) loop(ctx context.Context) {
	defer close(s.done)
	for {
		batch := &forwarder.Results{}
		select {
		case <-ctx.Done():
			return
		case <-s.probes:
		case result := <-s.results:
			batch.Results = append(batch.Results, result)
			if !definer.Sleep(ctx, resultBatchDelay, nil) {
				return
			}
		}
		batch.Results = s.drainResults(batch.Results)
		if err := s.stream.Send(batch); err != nil {
			return // Receive fails as well, which ends the session.
		}
	}
}

// drainResults appends the queued results to results.
func (s *session) drainResults(results []forwarder.Result) []forwarder.Result {
	for {
		select {
		case result := <-s.results:
			results = append(results, result)
		default:
			return results
		}
	}
}
