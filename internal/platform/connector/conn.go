package connector

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection that records when it last received data and whether a
// request is using it.
type conn struct {
	net.Conn
	pool    *pool
	address string
	// lastRead is on the clock of the pool, in nanoseconds.
	lastRead atomic.Int64
	// busy and closed are guarded by the pool's lock.
	busy   bool
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(c.pool.now().Nanoseconds())
	}

	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.remove(c)

	return c.Conn.Close()
}

// pool tracks the open connections of a client by address.
type pool struct {
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	createdAt   time.Time
	mu          sync.Mutex
	conns       map[string]map[*conn]struct{}
}

func newPool(dialTimeout time.Duration) *pool {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}

	return &pool{
		dialContext: dialer.DialContext,
		createdAt:   time.Now(),
		conns:       make(map[string]map[*conn]struct{}),
	}
}

// now returns the monotonic time since the pool was created.
func (p *pool) now() time.Duration { return time.Since(p.createdAt) }

// dial opens a connection and adds it to the pool.
func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := p.dialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, pool: p, address: address}
	c.lastRead.Store(p.now().Nanoseconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil {
		p.conns[address] = make(map[*conn]struct{})
	}
	p.conns[address][c] = struct{}{}

	return c, nil
}

// remove marks c as closed and removes it from the pool.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.closed = true
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

// markBusy marks c as in use by a request and reports whether it is still open.
func (p *pool) markBusy(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy = true

	return !c.closed
}

// markIdle marks c as idle.
func (p *pool) markIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy = false
}

// closeIdle closes the idle connections to address that have received nothing
// after since. When one connection goes silent, the idle ones to the same address
// usually have, too, and each would make another request miss its deadline.
func (p *pool) closeIdle(address string, since time.Duration) {
	p.mu.Lock()
	var silent []*conn
	for c := range p.conns[address] {
		if !c.busy && time.Duration(c.lastRead.Load()) < since {
			c.closed = true
			silent = append(silent, c)
		}
	}
	p.mu.Unlock()
	for _, c := range silent {
		_ = c.Close()
	}
}
