package courier

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

const (
	// gatherOrders is how long an order waits for others to be sent with it.
	gatherOrders = 4 * time.Millisecond
	// checkEvery is how often a stream is checked for silence.
	checkEvery = 100 * time.Millisecond
	// probeAfter is how long a courier with outstanding orders may be silent until it is probed.
	probeAfter = 200 * time.Millisecond
	// silentAfter is how long it may be silent until its stream counts as lost.
	silentAfter = 600 * time.Millisecond
)

// link is the owner's side of a stream of orders.
type link struct {
	address netip.AddrPort

	mu      sync.Mutex
	next    uint64
	queue   []*forwarder.Order
	pending map[uint64]chan forwarder.Result
	failed  bool
	// probing asks for a sign of life although there is no order to send.
	probing bool
	// waiting is since when orders have been outstanding without a sign of life.
	waiting definer.Instant
	wake    chan struct{}
}

func newLink(address netip.AddrPort) *link {
	return &link{address: address, pending: map[uint64]chan forwarder.Result{}, wake: make(chan struct{}, 1)}
}

// exchange queues an order and waits for its result.
func (l *link) exchange(ctx context.Context, order *forwarder.Order) (forwarder.Result, error) {
	reply := make(chan forwarder.Result, 1)
	l.mu.Lock()
	if l.failed {
		l.mu.Unlock()

		return forwarder.Result{}, errLost
	}
	l.next++
	number := l.next
	order.Number = number
	if len(l.pending) == 0 {
		l.waiting = definer.Now()
	}
	l.pending[number] = reply
	l.queue = append(l.queue, order)
	l.mu.Unlock()
	l.rouse()
	select {
	case result, ok := <-reply:
		if !ok {
			return forwarder.Result{}, errLost
		}

		return result, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, number)
		l.mu.Unlock()

		return forwarder.Result{}, errors.Wrap(ctx.Err(), "order by way of "+l.address.String())
	}
}

// run sends orders and takes results until the stream is lost or ctx ends.
func (l *link) run(parent context.Context, pool *forwarder.Pool) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(context.Canceled)
	watch := &silence{link: l, cancel: cancel, done: make(chan struct{})}
	go watch.loop(ctx)
	defer func() { <-watch.done }()
	defer cancel(context.Canceled)
	stream, err := forwarder.OpenCarryStream(ctx, pool, l.address)
	if err != nil {
		return err
	}
	sender := &sender{link: l, stream: stream, cancel: cancel, done: make(chan struct{})}
	go sender.loop(ctx)
	defer func() { <-sender.done }()
	defer cancel(context.Canceled)
	for {
		batch, err := stream.Receive()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}

			return err
		}
		l.deliver(batch)
	}
}

// deliver hands results to those who wait for them.
func (l *link) deliver(batch *forwarder.Results) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = definer.Now()
	for i := range batch.Results {
		result := batch.Results[i]
		if reply := l.pending[result.Number]; reply != nil {
			delete(l.pending, result.Number)
			reply <- result
		}
	}
}

// probe makes the sender ask for a sign of life.
func (l *link) probe() {
	l.mu.Lock()
	l.probing = true
	l.mu.Unlock()
	l.rouse()
}

// rouse wakes the sender.
func (l *link) rouse() {
	select {
	case l.wake <- struct{}{}:
	default: // The sender is already awake.
	}
}

// take returns the queued orders as a batch, and whether a sign of life is asked for.
func (l *link) take() (*forwarder.Orders, bool) {
	l.mu.Lock()
	queue, probing := l.queue, l.probing
	l.queue, l.probing = nil, false
	l.mu.Unlock()
	batch := &forwarder.Orders{Orders: make([]forwarder.Order, 0, len(queue))}
	specs := map[string]int{}
	for _, order := range queue {
		sent := *order
		if sent.Start != nil {
			start := *sent.Start
			at, ok := specs[start.Spec]
			if !ok {
				at = len(batch.Specs)
				specs[start.Spec] = at
				batch.Specs = append(batch.Specs, start.Spec)
			}
			start.Spec = ""
			sent.Start, sent.Spec = &start, at
		}
		batch.Orders = append(batch.Orders, sent)
	}

	return batch, probing
}

// fail ends all outstanding orders without a result and returns their number.
func (l *link) fail() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = true
	lost := len(l.pending)
	for number, reply := range l.pending {
		delete(l.pending, number)
		close(reply)
	}
	l.queue = nil

	return lost
}

// silentFor returns how long orders have been outstanding without a sign of life.
func (l *link) silentFor(now definer.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return 0
	}

	return now.Sub(l.waiting)
}

// sender sends the queued orders of a link.
type sender struct {
	link   *link
	stream *forwarder.CarryClient
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func (s *sender) loop(ctx context.Context) {
	defer close(s.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.link.wake:
		}
		if !definer.Sleep(ctx, gatherOrders, nil) {
			return
		}
		batch, probing := s.link.take()
		if len(batch.Orders) == 0 && !probing {
			continue
		}
		if err := s.stream.Send(batch); err != nil {
			s.cancel(err)

			return
		}
	}
}
