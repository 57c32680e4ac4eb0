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
	// lostCooldown is how long an instance is not used after its stream was lost.
	lostCooldown = 3 * time.Second
	// minDirectTimeout is the minimum time left to repeat an order directly after its stream was lost.
	minDirectTimeout = 100 * time.Millisecond
)

// Router returns a usable instance that relays the orders for an endpoint. It
// returns false if there is none; the owner then sends the orders directly.
type Router func(target definer.Target, usable func(netip.AddrPort) bool) (netip.AddrPort, bool)

// Client sends the orders of an owner through couriers, or directly to the endpoint
// where there is no courier. A stop or renewal whose stream is lost is repeated
// directly. A start is not repeated: the courier may still send the first one, and
// an endpoint that restarts in between would run the task a second time.
type Client struct {
	direct  definer.Endpoints
	pool    *forwarder.Pool
	route   Router
	logger  hclog.Logger
	metrics *recorder.Metrics

	mu    sync.Mutex
	links map[netip.AddrPort]*link
	// excludedUntil is when an instance whose stream was lost may be used again.
	excludedUntil map[netip.AddrPort]definer.Instant
	// runCtx is the context of Run and of the streams.
	runCtx  context.Context //nolint:containedctx // A stream is opened by a call and outlives the call.
	streams sync.WaitGroup
	done    chan struct{}
}

// NewClient returns a client. Until Run is called, it sends all orders directly.
func NewClient(direct definer.Endpoints, pool *forwarder.Pool, route Router, logger hclog.Logger, metrics *recorder.Metrics) *Client {
	return &Client{
		direct: direct, pool: pool, route: route, logger: logger, metrics: metrics,
		links: map[netip.AddrPort]*link{}, excludedUntil: map[netip.AddrPort]definer.Instant{}, done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

// Run allows streams to be opened until ctx ends, and then waits for them to close.
func (c *Client) Run(ctx context.Context) {
	defer close(c.done)
	c.mu.Lock()
	c.runCtx = ctx
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.runCtx = nil
	c.mu.Unlock()
	c.streams.Wait()
}

// Start implements definer.Endpoints.
func (c *Client) Start(ctx context.Context, target definer.Target, order definer.StartOrder) (definer.Verdict, error) {
	_, verdict, err := c.send(ctx, &forwarder.Order{Target: target, Start: &order})

	return verdict, err
}

// Stop implements definer.Endpoints.
func (c *Client) Stop(ctx context.Context, target definer.Target, order definer.StopOrder) (definer.Verdict, error) {
	_, verdict, err := c.send(ctx, &forwarder.Order{Target: target, Stop: &order})

	return verdict, err
}

// Renew implements definer.Endpoints.
func (c *Client) Renew(ctx context.Context, target definer.Target, order definer.RenewOrder) (definer.Report, definer.Verdict, error) {
	return c.send(ctx, &forwarder.Order{Target: target, Renew: &order})
}

// errStreamLost means that the stream was lost before the result arrived.
var errStreamLost = errors.New("stream of orders lost")

// send sends an order through a courier, or directly if there is none or ctx has
// no deadline, and waits for the result.
func (c *Client) send(ctx context.Context, order *forwarder.Order) (definer.Report, definer.Verdict, error) {
	deadline, bounded := ctx.Deadline()
	l := c.linkFor(order.Target)
	if l == nil || !bounded {
		return sendDirect(ctx, c.direct, order)
	}
	order.Timeout = time.Until(deadline)
	result, err := l.exchange(ctx, order)
	if errors.Is(err, errStreamLost) && order.Start == nil && time.Until(deadline) > minDirectTimeout {
		return sendDirect(ctx, c.direct, order)
	}
	if err != nil {
		return definer.Report{}, definer.VerdictUnknown, err
	}
	if result.Error != "" {
		return result.Report, result.Verdict, errors.New(result.Error)
	}

	return result.Report, result.Verdict, nil
}

// linkFor returns the link for an endpoint, opening a stream if needed. It returns
// nil if the order has to be sent directly.
func (c *Client) linkFor(target definer.Target) *link {
	now := definer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runCtx == nil {
		return nil
	}
	address, ok := c.route(target, func(address netip.AddrPort) bool { return c.excludedUntil[address] <= now })
	if !ok {
		return nil
	}
	l := c.links[address]
	if l == nil {
		l = newLink(address)
		c.links[address] = l
		c.streams.Add(1)
		go c.run(c.runCtx, l)
	}

	return l
}

// run runs a link until its stream is lost, and then excludes the instance for
// lostCooldown.
func (c *Client) run(ctx context.Context, l *link) {
	defer c.streams.Done()
	err := l.run(ctx, c.pool)
	c.mu.Lock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
		c.excludedUntil[l.address] = definer.Now().Add(lostCooldown)
	}
	c.mu.Unlock()
	lost := l.fail()
	if ctx.Err() == nil {
		c.metrics.Count("streams of orders lost")
		c.logger.Warn("stream of orders lost", "address", l.address.String(), "orders", lost, "error", err)
	}
}
