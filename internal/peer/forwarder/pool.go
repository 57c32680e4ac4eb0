package forwarder

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
)

const (
	// SilenceTimeout is how long a connection may receive nothing before it is
	// closed. Heartbeats arrive every 300 ms on a working connection.
	SilenceTimeout = 2 * time.Second
	// retryReadTimeout bounds the second read of a connection that was silent for
	// SilenceTimeout.
	retryReadTimeout = 10 * time.Millisecond
	// maxMessageSize bounds a message in bytes. A body has at most 1 MiB; a
	// configuration of the target size has a few MiB.
	maxMessageSize = 16 << 20
)

// Pool keeps one gRPC connection to every peer. A connection that has received
// nothing for SilenceTimeout fails and is dialled again when it is next used.
type Pool struct {
	mu     sync.Mutex
	conns  map[netip.AddrPort]*grpc.ClientConn
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[netip.AddrPort]*grpc.ClientConn{}} }

// Client returns the client of the peer at address.
func (p *Pool) Client(address netip.AddrPort) (PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("connection pool is closed")
	}
	if conn, ok := p.conns[address]; ok {
		return NewPeerClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		// With these delays, a restarted peer is reached within a second of its
		// start.
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
		// grpc-go raises Time to at least 10 s, so timeoutConn detects silent
		// connections instead.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: SilenceTimeout, PermitWithoutStream: true}),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	p.conns[address] = conn

	return NewPeerClient(conn), nil
}

// Disconnect closes the connection to address; the next use dials again.
func (p *Pool) Disconnect(address netip.AddrPort) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		_ = conn.Close()
	}
}

// Close closes every connection; the pool cannot be used afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = nil, true
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// dial opens a connection whose reads fail after SilenceTimeout without data.
func dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}

	return &timeoutConn{Conn: conn}, nil
}

// timeoutConn is a connection whose reads fail after SilenceTimeout without data.
type timeoutConn struct{ net.Conn }

// Read implements net.Conn. After the deadline it reads once more, because after
// a pause of this process the deadline may have passed although data has arrived.
func (c *timeoutConn) Read(data []byte) (int, error) {
	n, err := c.readWithTimeout(data, SilenceTimeout)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readWithTimeout(data, retryReadTimeout)
	}

	return n, err
}

// readWithTimeout reads with a deadline of timeout from now.
func (c *timeoutConn) readWithTimeout(data []byte, timeout time.Duration) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err //nolint:wrapcheck // gRPC compares network errors by identity.
	}

	return c.Conn.Read(data) //nolint:wrapcheck // gRPC compares network errors by identity.
}

// sentKey is the context key of the *atomic.Bool that sentHandler sets.
type sentKey struct{}

// sentHandler records that a command was passed to a connection. It is needed
// because gRPC reports the same status for a command that was never sent and for
// one whose answer was lost.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	switch event.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
			sent.Store(true)
		}
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
