// Package supervisor runs one runner per partition of the configuration in
// force, and answers the commands and queries of the other parts of an entry
// instance from them.
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

// lookEvery is the pace at which the partitions of the configuration are
// compared with the runners.
const lookEvery = 200 * time.Millisecond

// Peers transmits to other entry instances.
type Peers interface {
	// HandOver asks a peer to take over a partition.
	HandOver(ctx context.Context, peer modeler.InstanceID, partition modeler.PartitionID) error
	// RequestTokens asks the owner of msg.Partition for part of a team's limit.
	RequestTokens(ctx context.Context, msg modeler.TokensMsg) error
}

// Supervisor runs the partitions of an entry instance. It implements
// modeler.Commands and modeler.Queries.
type Supervisor struct {
	set      runner.Settings
	peers    Peers
	done     chan struct{}
	draining atomic.Bool
	layout   layout

	mu      sync.RWMutex
	runners map[modeler.PartitionID]*running
}

var (
	_ modeler.Commands = (*Supervisor)(nil)
	_ modeler.Queries  = (*Supervisor)(nil)
)

// running is a runner with the function that stops it.
type running struct {
	*runner.Runner
	stop context.CancelFunc
}

// Option configures a Supervisor.
type Option func(*Supervisor)

// WithSelf sets the entry instance itself.
func WithSelf(self modeler.Instance) Option { return func(s *Supervisor) { s.set.Self = self } }

// WithLog sets the platform's log.
func WithLog(log messenger.Log) Option { return func(s *Supervisor) { s.set.Log = log } }

// WithDialer sets the source of endpoint clients.
func WithDialer(dialer messenger.Dialer) Option { return func(s *Supervisor) { s.set.Dialer = dialer } }

// WithMembership sets the view of peers and endpoints.
func WithMembership(membership modeler.Membership) Option {
	return func(s *Supervisor) { s.set.Membership = membership }
}

// WithConfiguration sets the source of the configuration in force.
func WithConfiguration(configuration modeler.Configuration) Option {
	return func(s *Supervisor) { s.set.Configuration = configuration }
}

// WithLogger sets the logger; the default is silent.
func WithLogger(logger hclog.Logger) Option { return func(s *Supervisor) { s.set.Logger = logger } }

// WithClock sets the clock; the default is time.Now. Its times must carry a
// monotonic reading.
func WithClock(clock func() time.Time) Option { return func(s *Supervisor) { s.set.Clock = clock } }

// WithScheduler sets how the decision core of a new owner is made; the default
// is a new scheduler.
func WithScheduler(build func() owner.Scheduler) Option {
	return func(s *Supervisor) { s.set.NewScheduler = build }
}

// WithPeers sets the connection to other entry instances. Without it no
// partition is handed over and no tokens are requested.
func WithPeers(peers Peers) Option { return func(s *Supervisor) { s.peers = peers } }

// WithRetention sets how long the log keeps records; the default is 24 h.
func WithRetention(retention time.Duration) Option {
	return func(s *Supervisor) { s.set.Retention = retention }
}

// WithViolation sets the hook for violated invariants.
func WithViolation(hook owner.ViolationFunc) Option {
	return func(s *Supervisor) { s.set.Violation = hook }
}

// New returns a supervisor; Run starts it.
func New(opts ...Option) *Supervisor {
	s := &Supervisor{done: make(chan struct{}), runners: map[modeler.PartitionID]*running{}}
	s.set.Logger, s.set.Clock = hclog.NewNullLogger(), time.Now
	s.set.NewScheduler = newScheduler
	for _, opt := range opts {
		opt(s)
	}
	s.set.Transfers, s.set.Endpoints = s.gifts, s.endpointsOf
	if s.peers != nil {
		s.set.Tokens = s.peers
	}

	return s
}

// Done is closed when Run has returned.
func (s *Supervisor) Done() <-chan struct{} { return s.done }

// Run follows the configuration and runs a runner for each of its partitions
// until ctx ends and all runners have stopped.
func (s *Supervisor) Run(ctx context.Context) {
	defer close(s.done)
	s.loop(ctx)
	for _, r := range s.all() {
		<-r.Done()
	}
}

// loop compares the runners with the configuration until ctx ends.
func (s *Supervisor) loop(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		s.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look starts runners of new partitions and stops those of removed ones.
func (s *Supervisor) look(ctx context.Context) {
	doc, _, ok := s.set.Configuration.InForce()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[modeler.PartitionID]bool{}
	for _, p := range doc.Partitions {
		wanted[p.Name] = true
		if s.runners[p.Name] != nil {
			continue
		}
		set := s.set
		set.Partition = p
		own, stop := context.WithCancel(ctx)
		r := &running{Runner: runner.New(set), stop: stop}
		if s.draining.Load() {
			r.Drain()
		}
		s.runners[p.Name] = r
		go r.Run(own)
	}
	for name, r := range s.runners {
		if !wanted[name] {
			r.stop()
			delete(s.runners, name)
		}
	}
}

// all returns the runners in the order of their partitions.
func (s *Supervisor) all() []*running {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := make([]modeler.PartitionID, 0, len(s.runners))
	for name := range s.runners {
		names = append(names, name)
	}
	slices.Sort(names)
	runners := make([]*running, 0, len(names))
	for _, name := range names {
		runners = append(runners, s.runners[name])
	}

	return runners
}

// gifts returns the gifts that all other partitions have given to one.
func (s *Supervisor) gifts(to modeler.PartitionID) []encoder.Transfer {
	runners := s.all()
	given := make([][]encoder.Transfer, 0, len(runners))
	for _, r := range runners {
		given = append(given, r.TransfersTo(to))
	}

	return slices.Concat(given...)
}

// find returns the runner of a partition.
func (s *Supervisor) find(partition modeler.PartitionID) (*running, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.runners[partition]
	if !ok {
		return nil, modeler.NotRun(modeler.CodeNoOwner, lookEvery, "partition %s is not in the configuration", partition)
	}

	return r, nil
}
