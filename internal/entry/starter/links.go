package starter

import (
	"context"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/dispatcher"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
)

// links implements supervisor.Peers. Its fields are set before anything runs,
// because the supervisor and the dispatcher need each other.
type links struct {
	owners     *forwarder.Forwarder
	dispatcher *dispatcher.Dispatcher
}

// HandOver implements supervisor.Peers.
func (l *links) HandOver(ctx context.Context, peer modeler.InstanceID, partition modeler.PartitionID) error {
	commands, ok := l.owners.CommandsOf(peer)
	if !ok {
		return modeler.NotRun(modeler.CodeNoOwner, time.Second, "instance %s is not known", peer)
	}

	return commands.TakeOver(ctx, partition)
}

// RequestTokens implements supervisor.Peers.
func (l *links) RequestTokens(ctx context.Context, msg modeler.TokensMsg) error {
	return l.dispatcher.RequestTokens(ctx, msg)
}

// shares looks up the shares of teams in the configuration in force.
type shares struct {
	config modeler.Configuration

	mu     sync.Mutex
	offset modeler.Offset
	values map[modeler.TeamID]int64
}

// of returns the share of team, zero if it is unknown.
func (s *shares) of(team modeler.TeamID) int64 {
	doc, offset, ok := s.config.InForce()
	if !ok {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil || s.offset != offset {
		s.offset, s.values = offset, make(map[modeler.TeamID]int64, len(doc.Teams))
		for _, t := range doc.Teams {
			s.values[t.Name] = t.Share
		}
	}

	return s.values[team]
}
