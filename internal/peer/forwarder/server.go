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

// Gossip answers the heartbeats of peers.
type Gossip interface {
	Beat(ctx context.Context, in *BeatRequest) (*BeatReply, error)
	PullConfig(ctx context.Context, in *PullConfigRequest) (*PullConfigReply, error)
}

// Server answers the calls of peers.
type Server struct {
	UnimplementedPeerServer
	commands modeler.Commands
	gossip   Gossip
	grpc     *grpc.Server
	done     chan struct{}
}

// NewServer returns a server that passes commands on to commands and
// heartbeats to gossip.
func NewServer(commands modeler.Commands, gossip Gossip) *Server {
	s := &Server{commands: commands, gossip: gossip, done: make(chan struct{})}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		// The pings keep a connection without heartbeats from looking silent
		// while a long call is open on it.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: time.Second, Timeout: SilenceTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	RegisterPeerServer(s.grpc, s)

	return s
}

// Run serves listener until Stop is called.
func (s *Server) Run(listener net.Listener) error {
	defer close(s.done)

	return errors.Wrap(s.grpc.Serve(&watchedListener{listener}), "serve peers")
}

// Stop lets open calls finish until ctx ends and then closes everything.
func (s *Server) Stop(ctx context.Context) {
	stopped := make(chan struct{})
	go s.stopGracefully(stopped)
	select {
	case <-stopped:
	case <-ctx.Done():
		s.grpc.Stop()
	}
}

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
	return answer(ctx, in, s.commands.Submit)
}

// Cancel implements PeerServer.
func (s *Server) Cancel(ctx context.Context, in *Forward) (*Answer, error) {
	return answer(ctx, in, silent(s.commands.Cancel))
}

// Call implements PeerServer.
func (s *Server) Call(ctx context.Context, in *Forward) (*Answer, error) {
	return answer(ctx, in, s.commands.Call)
}

// Resolve implements PeerServer.
func (s *Server) Resolve(ctx context.Context, in *Forward) (*Answer, error) {
	return answer(ctx, in, s.commands.Resolve)
}

// RequestTokens implements PeerServer.
func (s *Server) RequestTokens(ctx context.Context, in *Forward) (*Answer, error) {
	return answer(ctx, in, silent(s.commands.GiveTokens))
}

// HandOver implements PeerServer.
func (s *Server) HandOver(ctx context.Context, in *Forward) (*Answer, error) {
	return answer(ctx, in, silent(s.commands.TakeOver))
}

// silent gives a command without a reply an empty one.
func silent[M any](command func(context.Context, M) error) func(context.Context, M) (struct{}, error) {
	return func(ctx context.Context, msg M) (struct{}, error) { return struct{}{}, command(ctx, msg) }
}

// answer decodes a message, has command executed, and encodes its result.
// Refusals travel in the answer, so that a gRPC error always means that the
// answer was lost.
func answer[M, R any](ctx context.Context, in *Forward, command func(context.Context, M) (R, error)) (*Answer, error) {
	var msg M
	if err := encoder.Unmarshal(in.GetMessage(), &msg); err != nil {
		return refuse(modeler.NotRun(modeler.CodeBadRequest, 0, "%v", err))
	}
	reply, err := command(ctx, msg)
	if err != nil {
		return refuse(err)
	}
	data, err := encoder.Marshal(reply)

	return &Answer{Message: data}, err
}

func refuse(err error) (*Answer, error) {
	refusal := new(modeler.Refusal)
	if !errors.As(err, &refusal) {
		refusal = modeler.Unknown(modeler.CodeInternal, 0, "%v", err)
	}
	data, err := encoder.Marshal(refusal)

	return &Answer{Refusal: data}, err
}

// watchedListener closes connections of peers that have gone silent.
type watchedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // gRPC compares network errors by identity.
	}

	return &watched{Conn: conn}, nil
}
