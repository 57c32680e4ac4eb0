package forwarder

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Gossip serves the heartbeats and the configuration pulls of peers.
type Gossip interface {
	Beat(ctx context.Context, in *BeatRequest) (*BeatReply, error)
	PullConfig(ctx context.Context, in *PullConfigRequest) (*PullConfigReply, error)
}

// Server serves the calls of peers.
type Server struct {
	UnimplementedPeerServer
	commands modeler.Commands
	gossip   Gossip
	grpc     *grpc.Server
	done     chan struct{}
}

// NewServer returns a server that passes the commands of peers to commands and
// their heartbeats to gossip.
func NewServer(commands modeler.Commands, gossip Gossip) *Server {
	s := &Server{commands: commands, gossip: gossip, done: make(chan struct{})}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageSize),
		// The pings keep the peer from closing a connection without heartbeats as
		// silent while a long call is in progress.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: time.Second, Timeout: SilenceTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	RegisterPeerServer(s.grpc, s)

	return s
}

// Run serves listener until Stop is called.
func (s *Server) Run(listener net.Listener) error {
	defer close(s.done)

	return errors.Wrap(s.grpc.Serve(&timeoutListener{listener}), "serve peers")
}

// Stop waits for calls in progress until ctx is done and then closes all
// connections.
func (s *Server) Stop(ctx context.Context) {
	stopped := make(chan struct{})
	go s.stopGracefully(stopped)
	select {
	case <-stopped:
	case <-ctx.Done():
		s.grpc.Stop()
	}
}

// stopGracefully closes stopped when all calls have finished.
func (s *Server) stopGracefully(stopped chan<- struct{}) {
	defer close(stopped)
	s.grpc.GracefulStop()
}

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Beat implements PeerServer.
func (s *Server) Beat(ctx context.Context, in *BeatRequest) (*BeatReply, error) {
	return s.gossip.Beat(ctx, in)
}

// PullConfig implements PeerServer.
func (s *Server) PullConfig(ctx context.Context, in *PullConfigRequest) (*PullConfigReply, error) {
	return s.gossip.PullConfig(ctx, in)
}

// Submit implements PeerServer.
func (s *Server) Submit(ctx context.Context, in *Forward) (*Answer, error) {
	return handle(ctx, in, s.commands.Submit)
}

// Cancel implements PeerServer.
func (s *Server) Cancel(ctx context.Context, in *Forward) (*Answer, error) {
	return handle(ctx, in, withoutReply(s.commands.Cancel))
}

// Call implements PeerServer.
func (s *Server) Call(ctx context.Context, in *Forward) (*Answer, error) {
	return handle(ctx, in, s.commands.Call)
}

// Resolve implements PeerServer.
func (s *Server) Resolve(ctx context.Context, in *Forward) (*Answer, error) {
	return handle(ctx, in, s.commands.Resolve)
}

// RequestTokens implements PeerServer.
func (s *Server) RequestTokens(ctx context.Context, in *Forward) (*Answer, error) {
	return handle(ctx, in, withoutReply(s.commands.TransferTokens))
}

// HandOver implements PeerServer.
func (s *Server) HandOver(ctx context.Context, in *Forward) (*Answer, error) {
	return handle(ctx, in, withoutReply(s.commands.TakeOver))
}

// withoutReply adapts a command without a reply to one with an empty reply.
func withoutReply[M any](command func(context.Context, M) error) func(context.Context, M) (struct{}, error) {
	return func(ctx context.Context, msg M) (struct{}, error) { return struct{}{}, command(ctx, msg) }
}

// handle decodes a message, executes command, and encodes its result. Refusals are
// returned in the answer, so that a gRPC error always means that the answer was
// lost.
func handle[M, R any](ctx context.Context, in *Forward, command func(context.Context, M) (R, error)) (*Answer, error) {
	var msg M
	if err := encoder.Unmarshal(in.GetMessage(), &msg); err != nil {
		return refusalAnswer(modeler.NotRun(modeler.CodeBadRequest, 0, "%v", err))
	}
	reply, err := command(ctx, msg)
	if err != nil {
		return refusalAnswer(err)
	}
	data, err := encoder.Marshal(reply)

	return &Answer{Message: data}, err
}

// refusalAnswer returns the answer that carries err. An error that is not a refusal
// becomes one with an unknown outcome.
func refusalAnswer(err error) (*Answer, error) {
	refusal := new(modeler.Refusal)
	if !errors.As(err, &refusal) {
		refusal = modeler.Unknown(modeler.CodeInternal, 0, "%v", err)
	}
	data, err := encoder.Marshal(refusal)

	return &Answer{Refusal: data}, err
}

// timeoutListener accepts connections whose reads fail after SilenceTimeout
// without data.
type timeoutListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *timeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // gRPC compares network errors by identity.
	}

	return &timeoutConn{Conn: conn}, nil
}
