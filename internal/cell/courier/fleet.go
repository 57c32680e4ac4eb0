package courier

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

const (
	// barredFor is how long an instance carries no orders after its stream was lost.
	barredFor = 3 * time.Second
	// leastLeft is the time that an order needs to be sent directly after its stream was lost.
	leastLeft = 100 * time.Millisecond
)

// Router names the instance that carries the orders for an endpoint; false
// means that the owner sends them itself.
type Router func(target definer.Target, usable func(netip.AddrPort) bool) (netip.AddrPort, bool)

// Client sends the orders of an owner by way of couriers, and directly where
// there is none. A stop or renewal that was lost with its stream is repeated
// directly. A start is not: the courier may still send the first one, and an
// endpoint that has restarted in between would run it a second time.
type Client struct {
	direct  definer.Endpoints
	pool    *forwarder.Pool
	route   Router
	logger  hclog.Logger
	metrics *recorder.Metrics

	mu    sync.Mutex
	links map[netip.AddrPort]*link
	// barred is until when an instance is not used.
	barred map[netip.AddrPort]definer.Instant
	// base is the context of Run, in which the streams live.
	base context.Context //nolint:containedctx // A stream is opened by a call and outlives it.
	work sync.WaitGroup
	done chan struct{}
}

// NewClient returns a fleet; until Run is called it sends all orders directly.
func NewClient(direct definer.Endpoints, pool *forwarder.Pool, route Router, logger hclog.Logger, metrics *recorder.Metrics) *Client {
	return &Client{
		direct: direct, pool: pool, route: route, logger: logger, metrics: metrics,
		links: map[netip.AddrPort]*link{}, barred: map[netip.AddrPort]definer.Instant{}, done: make(chan struct{}),
	}
}

// Done is closed when Run has returned.
func (f *Client) Done() <-chan struct{} { return f.done }

// Run keeps the streams until ctx ends.
func (f *Client) Run(ctx context.Context) {
	defer close(f.done)
	f.mu.Lock()
	f.base = ctx
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	f.base = nil
	f.mu.Unlock()
	f.work.Wait()
}

// Start implements definer.Endpoints.
func (f *Client) Start(ctx context.Context, target definer.Target, order definer.StartOrder) (definer.Verdict, error) {
	_, verdict, err := f.carry(ctx, &forwarder.Order{Target: target, Start: &order})

	return verdict, err
}

// Stop implements definer.Endpoints.
func (f *Client) Stop(ctx context.Context, target definer.Target, order definer.StopOrder) (definer.Verdict, error) {
	_, verdict, err := f.carry(ctx, &forwarder.Order{Target: target, Stop: &order})

	return verdict, err
}

// Renew implements definer.Endpoints.
func (f *Client) Renew(ctx context.Context, target definer.Target, order definer.RenewOrder) (definer.Report, definer.Verdict, error) {
	return f.carry(ctx, &forwarder.Order{Target: target, Renew: &order})
}

// errLost means that the stream was lost before the result came.
var errLost = errors.New("stream of orders lost")

// carry sends an order and waits for its result.
func (f *Client) carry(ctx context.Context, order *forwarder.Order) (definer.Report, definer.Verdict, error) {
	deadline, bounded := ctx.Deadline()
	l := f.link(order.Target)
	if l == nil || !bounded {
		return send(ctx, f.direct, order)
	}
	order.Timeout = time.Until(deadline)
	result, err := l.exchange(ctx, order)
	if errors.Is(err, errLost) && order.Start == nil && time.Until(deadline) > leastLeft {
		return send(ctx, f.direct, order)
	}
	if err != nil {
		return definer.Report{}, definer.VerdictUnknown, err
	}
	if result.Error != "" {
		return result.Report, result.Verdict, errors.New(result.Error)
	}

	return result.Report, result.Verdict, nil
}

// link returns the stream for an endpoint, or nil.
func (f *Client) link(target definer.Target) *link {
	now := definer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.base == nil {
		return nil
	}
	address, ok := f.route(target, func(address netip.AddrPort) bool { return f.barred[address] <= now })
	if !ok {
		return nil
	}
	l := f.links[address]
	if l == nil {
		l = newLink(address)
		f.links[address] = l
		f.work.Add(1)
		go f.run(f.base, l)
	}

	return l
}

// run keeps a stream until it is lost.
func (f *Client) run(ctx context.Context, l *link) {
	defer f.work.Done()
	err := l.run(ctx, f.pool)
	f.mu.Lock()
	if f.links[l.address] == l {
		delete(f.links, l.address)
		f.barred[l.address] = definer.Now().Add(barredFor)
	}
	f.mu.Unlock()
	lost := l.fail()
	if ctx.Err() == nil {
		f.metrics.Count("streams of orders lost")
		f.logger.Warn("stream of orders lost", "address", l.address.String(), "orders", lost, "error", err)
	}
}
