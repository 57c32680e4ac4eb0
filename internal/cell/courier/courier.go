// Package courier carries the owner's orders to endpoints by way of the
// instances in the endpoints' zones. The owner sends batches over one stream to
// each of these instances, so that its processor time does not grow with the
// calls to endpoints, and a change of the owner opens no connections to them.
package courier

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

const (
	// gatherResults is how long a result waits for others to be sent with it.
	gatherResults = 5 * time.Millisecond
	// resultsQueue bounds the results that wait to be sent on a stream.
	resultsQueue = 4096
)

// Courier sends the orders of owners on other instances to endpoints.
type Courier struct{ endpoints definer.Endpoints }

// New returns a courier.
func New(endpoints definer.Endpoints) *Courier { return &Courier{endpoints: endpoints} }

// Carry implements forwarder.Carrier: it serves the stream of one owner until
// the owner closes it or the connection is lost.
func (c *Courier) Carry(stream *forwarder.CarryServer) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &session{endpoints: c.endpoints, stream: stream, results: make(chan forwarder.Result, resultsQueue), alive: make(chan struct{}, 1), done: make(chan struct{})}
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
			case s.alive <- struct{}{}:
			default: // An answer is already on its way.
			}
		}
		for i := range batch.Orders {
			order := &batch.Orders[i]
			if order.Start != nil && order.Spec < len(batch.Specs) {
				order.Start.Spec = batch.Specs[order.Spec]
			}
			go s.run(ctx, order)
		}
	}
}

// session is a stream of one owner.
type session struct {
	endpoints definer.Endpoints
	stream    *forwarder.CarryServer
	results   chan forwarder.Result
	// alive asks for an answer although there is no result.
	alive chan struct{}
	done  chan struct{}
}

// run carries out an order.
func (s *session) run(ctx context.Context, order *forwarder.Order) {
	callCtx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	result := forwarder.Result{Number: order.Number}
	var err error
	result.Report, result.Verdict, err = send(callCtx, s.endpoints, order)
	if err != nil {
		result.Error = err.Error()
	}
	select {
	case s.results <- result:
	case <-ctx.Done():
	}
}

// send sends an order to its endpoint.
func send(ctx context.Context, endpoints definer.Endpoints, order *forwarder.Order) (definer.Report, definer.Verdict, error) {
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

// loop sends results until ctx ends.
func (s *session) loop(ctx context.Context) {
	defer close(s.done)
	for {
		batch := &forwarder.Results{}
		select {
		case <-ctx.Done():
			return
		case <-s.alive:
		case result := <-s.results:
			batch.Results = append(batch.Results, result)
			if !definer.Sleep(ctx, gatherResults, nil) {
				return
			}
		}
		batch.Results = s.gather(batch.Results)
		if err := s.stream.Send(batch); err != nil {
			return // Receive fails, too, and ends the session.
		}
	}
}

// gather adds the results that wait.
func (s *session) gather(results []forwarder.Result) []forwarder.Result {
	for {
		select {
		case result := <-s.results:
			results = append(results, result)
		default:
			return results
		}
	}
}
