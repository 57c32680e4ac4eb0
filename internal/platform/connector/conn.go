package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn records when it last received something and whether a request uses it.
type conn struct {
	net.Conn
	pool  *pool
	host  string
	heard atomic.Int64
	// busy and closed are guarded by the pool's lock.
	busy   bool
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(c.pool.now().Nanoseconds())
	}

	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.forget(c)

	return c.Conn.Close()
}

// pool knows the open connections of a client by host.
type pool struct {
	connect func(ctx context.Context, network, host string) (net.Conn, error)
	start   time.Time
	mu      sync.Mutex
	open    map[string]map[*conn]struct{}
}

func newPool(dial time.Duration) *pool {
	dialer := &net.Dialer{Timeout: dial, KeepAlive: time.Second}

	return &pool{
		connect: dialer.DialContext,
		start:   time.Now(),
		open:    make(map[string]map[*conn]struct{}),
	}
}

// now returns the monotonic time since the pool was made.
func (p *pool) now() time.Duration { return time.Since(p.start) }

func (p *pool) dial(ctx context.Context, network, host string) (net.Conn, error) {
	inner, err := p.connect(ctx, network, host)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, pool: p, host: host}
	c.heard.Store(p.now().Nanoseconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[host] == nil {
		p.open[host] = make(map[*conn]struct{})
	}
	p.open[host][c] = struct{}{}

	return c, nil
}

func (p *pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.closed = true
	delete(p.open[c.host], c)
	if len(p.open[c.host]) == 0 {
		delete(p.open, c.host)
	}
}

// take marks c as used by a request and reports whether it is still open.
func (p *pool) take(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy = true

	return !c.closed
}

// release marks c as idle.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy = false
}

// dropIdle closes the unused connections to host that received nothing after
// since. When one connection went silent, its idle neighbours usually did too,
// and each would cost another request its deadline.
func (p *pool) dropIdle(host string, since time.Duration) {
	p.mu.Lock()
	var silent []*conn
	for c := range p.open[host] {
		if !c.busy && time.Duration(c.heard.Load()) < since {
			c.closed = true
			silent = append(silent, c)
		}
	}
	p.mu.Unlock()
	for _, c := range silent {
		_ = c.Close()
	}
}
