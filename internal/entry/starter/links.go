package starter

import (
	"context"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/dispatcher"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
)

// peerLinks implements supervisor.Peers. Its fields are set after construction but
// before the instance runs, because the supervisor and the dispatcher depend on
// each other.
type peerLinks struct {
	owners     *forwarder.Forwarder
	dispatcher *dispatcher.Dispatcher
}

// HandOver implements supervisor.Peers.
func (l *peerLinks) HandOver(ctx context.Context, peer modeler.InstanceID, msg modeler.TakeOverMsg) error {
	commands, ok := l.owners.CommandsOf(peer)
	if !ok {
		return modeler.NotRun(modeler.CodeNoOwner, time.Second, "instance %s is not known", peer)
	}

	return commands.TakeOver(ctx, msg)
}

// RequestTokens implements supervisor.Peers.
func (l *peerLinks) RequestTokens(ctx context.Context, msg modeler.TokensMsg) error {
	return l.dispatcher.RequestTokens(ctx, msg)
}

// shares provides the shares of teams in the configuration in force.
type shares struct {
	config modeler.Configuration

	mu sync.Mutex
	// offset is that of the configuration that values were read from.
	offset modeler.Offset
	values map[modeler.TeamID]int64
}

// share returns the share of team; it is zero if the team is unknown.
func (s *shares) share(team modeler.TeamID) int64 {
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
