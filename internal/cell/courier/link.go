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
	// orderBatchDelay is how long an order waits for others to be sent in the same batch. The owner sends a batch to
	// each courier in this time, so a shorter delay costs processor time at the owner of a large cell.
	orderBatchDelay = 10 * time.Millisecond
	// watchdogInterval is how often the watchdog checks a stream.
	watchdogInterval = 100 * time.Millisecond
	// probeAfter is how long a courier may be silent while orders are outstanding before it is probed.
	probeAfter = 200 * time.Millisecond
	// silenceTimeout is how long it may be silent before its stream counts as lost.
	silenceTimeout = 600 * time.Millisecond
)

// link is the owner's side of a stream of orders.
type link struct {
	address netip.AddrPort

	mu      sync.Mutex
	next    uint64
	queue   []*forwarder.Order
	pending map[uint64]chan forwarder.Result
	failed  bool
	// probeRequested makes the sender send an empty batch as a probe if there are no orders.
	probeRequested bool
	// silentSince is when the courier last replied, or when the first of the outstanding orders was queued.
	silentSince definer.Instant
	wake        chan struct{}
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

		return forwarder.Result{}, errStreamLost
	}
	l.next++
	number := l.next
	order.Number = number
	if len(l.pending) == 0 {
		l.silentSince = definer.Now()
	}
	l.pending[number] = reply
	l.queue = append(l.queue, order)
	l.mu.Unlock()
	l.wakeSender()
	select {
	case result, ok := <-reply:
		if !ok {
			return forwarder.Result{}, errStreamLost
		}

		return result, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, number)
		l.mu.Unlock()

		return forwarder.Result{}, errors.Wrap(ctx.Err(), "order relayed by "+l.address.String())
	}
}

// run opens the stream, sends orders and receives results until the stream is lost
// or ctx ends. It returns the cause.
func (l *link) run(parent context.Context, pool *forwarder.Pool) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(context.Canceled)
	watch := &watchdog{link: l, cancel: cancel, done: make(chan struct{})}
	go watch.loop(ctx)
	defer func() { <-watch.done }()
	defer cancel(context.Canceled)
	stream, err := forwarder.OpenCarryStream(ctx, pool, l.address)
	if err != nil {
		return err
	}
	orderSender := &sender{link: l, stream: stream, cancel: cancel, done: make(chan struct{})}
	go orderSender.loop(ctx)
	defer func() { <-orderSender.done }()
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

// deliver passes results to the goroutines that wait for them. Results of orders
// that have timed out are discarded.
func (l *link) deliver(batch *forwarder.Results) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentSince = definer.Now()
	for i := range batch.Results {
		result := batch.Results[i]
		if reply := l.pending[result.Number]; reply != nil {
			delete(l.pending, result.Number)
			reply <- result
		}
	}
}

// requestProbe makes the sender probe the courier.
func (l *link) requestProbe() {
	l.mu.Lock()
	l.probeRequested = true
	l.mu.Unlock()
	l.wakeSender()
}

// wakeSender wakes the sender.
func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default: // The sender is already awake.
	}
}

// takeBatch removes the queued orders and returns them as a batch, and whether a
// probe is requested. Each spec is included only once.
func (l *link) takeBatch() (*forwarder.Orders, bool) {
	l.mu.Lock()
	queue, probing := l.queue, l.probeRequested
	l.queue, l.probeRequested = nil, false
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

// fail marks the link as lost. It ends all outstanding orders without a result and
// returns their number.
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

// silentFor returns how long orders have been outstanding without a reply of the
// courier, or 0 if none are.
func (l *link) silentFor(now definer.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return 0
	}

	return now.Sub(l.silentSince)
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
		if !definer.Sleep(ctx, orderBatchDelay, nil) {
			return
		}
		batch, probing := s.link.takeBatch()
		if len(batch.Orders) == 0 && !probing {
			continue
		}
		if err := s.stream.Send(batch); err != nil {
			s.cancel(err)

			return
		}
	}
}
