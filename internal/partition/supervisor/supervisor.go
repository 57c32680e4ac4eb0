// Package supervisor runs one runner for each partition of the configuration in
// force and routes the commands and queries of an entry instance to them.
package supervisor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/partition/runner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// reconcileInterval is the interval at which the runners are reconciled with the
// partitions of the configuration.
const reconcileInterval = 200 * time.Millisecond

// Peers sends requests to other entry instances.
type Peers interface {
	// HandOver asks a peer to take over a partition.
	HandOver(ctx context.Context, peer modeler.InstanceID, msg modeler.TakeOverMsg) error
	// RequestTokens asks the owner of msg.Partition for part of a team's limit.
	RequestTokens(ctx context.Context, msg modeler.TokensMsg) error
}

// Supervisor runs the partitions of an entry instance. It implements
// modeler.Commands and modeler.Queries.
type Supervisor struct {
	settings   runner.Settings
	peers      Peers
	done       chan struct{}
	draining   atomic.Bool
	assignment assignment

	mu      sync.RWMutex
	runners map[modeler.PartitionID]*managedRunner
}

var (
	_ modeler.Commands = (*Supervisor)(nil)
	_ modeler.Queries  = (*Supervisor)(nil)
)

// managedRunner is a runner with the function that stops it.
type managedRunner struct {
	*runner.Runner
	stop context.CancelFunc
}

// Option configures a Supervisor.
type Option func(*Supervisor)

// WithSelf sets the description of this entry instance.
func WithSelf(self modeler.Instance) Option { return func(s *Supervisor) { s.settings.Self = self } }

// WithLog sets the platform's log.
func WithLog(log messenger.Log) Option { return func(s *Supervisor) { s.settings.Log = log } }

// WithDialer sets the source of endpoint clients.
func WithDialer(dialer messenger.Dialer) Option {
	return func(s *Supervisor) { s.settings.Dialer = dialer }
}

// WithMembership sets the view of peers and endpoints.
func WithMembership(membership modeler.Membership) Option {
	return func(s *Supervisor) { s.settings.Membership = membership }
}

// WithConfiguration sets the source of the configuration in force.
func WithConfiguration(configuration modeler.Configuration) Option {
	return func(s *Supervisor) { s.settings.Configuration = configuration }
}

// WithLogger sets the logger; the default is silent.
func WithLogger(logger hclog.Logger) Option {
	return func(s *Supervisor) { s.settings.Logger = logger }
}

// WithClock sets the clock; the default is time.Now. Its times must carry a
// monotonic reading.
func WithClock(clock func() time.Time) Option {
	return func(s *Supervisor) { s.settings.Clock = clock }
}

// WithScheduler sets the constructor of a new owner's scheduler; the default is
// scheduler.New.
func WithScheduler(build func() owner.Scheduler) Option {
	return func(s *Supervisor) { s.settings.NewScheduler = build }
}

// WithPeers sets the connection to other entry instances. Without it no
// partition is handed over and no tokens are requested.
func WithPeers(peers Peers) Option { return func(s *Supervisor) { s.peers = peers } }

// WithRetention sets the time for which the log keeps records; the default is
// 24 h.
func WithRetention(retention time.Duration) Option {
	return func(s *Supervisor) { s.settings.Retention = retention }
}

// WithViolation sets the hook for violated invariants.
func WithViolation(hook owner.ViolationFunc) Option {
	return func(s *Supervisor) { s.settings.Violation = hook }
}

// New returns a supervisor that Run starts.
func New(opts ...Option) *Supervisor {
	s := &Supervisor{done: make(chan struct{}), runners: map[modeler.PartitionID]*managedRunner{}}
	s.settings.Logger, s.settings.Clock = hclog.NewNullLogger(), time.Now
	s.settings.NewScheduler = newScheduler
	for _, opt := range opts {
		opt(s)
	}
	s.settings.Transfers, s.settings.Endpoints = s.transfersTo, s.endpointsOf
	if s.peers != nil {
		s.settings.Tokens = s.peers
	}

	return s
}

// Done is closed when Run has returned.
func (s *Supervisor) Done() <-chan struct{} { return s.done }

// Run follows the configuration and runs a runner for each of its partitions. It
// returns when ctx is done and all runners have stopped.
func (s *Supervisor) Run(ctx context.Context) {
	defer close(s.done)
	s.loop(ctx)
	for _, r := range s.sortedRunners() {
		<-r.Done()
	}
}

// loop reconciles the runners with the configuration until ctx is done.
func (s *Supervisor) loop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts runners for new partitions and stops those of removed ones.
func (s *Supervisor) reconcile(ctx context.Context) {
	doc, _, ok := s.settings.Configuration.InForce()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	configured := map[modeler.PartitionID]bool{}
	for _, p := range doc.Partitions {
		configured[p.Name] = true
		if s.runners[p.Name] != nil {
			continue
		}
		settings := s.settings
		settings.Partition = p
		runCtx, stop := context.WithCancel(ctx)
		r := &managedRunner{Runner: runner.New(settings), stop: stop}
		if s.draining.Load() {
			r.Drain()
		}
		s.runners[p.Name] = r
		go r.Run(runCtx)
	}
	for name, r := range s.runners {
		if !configured[name] {
			r.stop()
			delete(s.runners, name)
		}
	}
}

// sortedRunners returns the runners sorted by the name of their partition.
func (s *Supervisor) sortedRunners() []*managedRunner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := make([]modeler.PartitionID, 0, len(s.runners))
	for name := range s.runners {
		names = append(names, name)
	}
	slices.Sort(names)
	runners := make([]*managedRunner, 0, len(names))
	for _, name := range names {
		runners = append(runners, s.runners[name])
	}

	return runners
}

// transfersTo returns the token transfers of all other partitions to one.
func (s *Supervisor) transfersTo(to modeler.PartitionID) []encoder.Transfer {
	runners := s.sortedRunners()
	transfers := make([][]encoder.Transfer, 0, len(runners))
	for _, r := range runners {
		transfers = append(transfers, r.TransfersTo(to))
	}

	return slices.Concat(transfers...)
}

// runnerOf returns the runner of a partition, or a refusal if the partition is
// not in the configuration.
func (s *Supervisor) runnerOf(partition modeler.PartitionID) (*managedRunner, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.runners[partition]
	if !ok {
		return nil, modeler.NotRun(modeler.CodeNoOwner, reconcileInterval, "partition %s is not in the configuration", partition)
	}

	return r, nil
}
