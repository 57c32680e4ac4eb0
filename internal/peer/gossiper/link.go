package gossiper

import (
	"context"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
)

// link is the relation to one peer address. Its fields but address and stop
// are guarded by the gossiper's lock.
type link struct {
	address netip.AddrPort
	stop    context.CancelFunc

	peer   modeler.Peer
	listed bool
	// answered is when the last answered heartbeat was sent.
	answered time.Time
	// opened is when the present connection was last known to work or was
	// dialled.
	opened time.Time
	// ahead is the configuration offset that the last heartbeat showed to be
	// above the own one; zero if it was not.
	ahead modeler.Offset
}

// run sends heartbeats until ctx ends.
func (l *link) run(ctx context.Context, g *Gossiper) {
	for sleep(ctx, jitter(beatInterval)) {
		l.beat(ctx, g)
	}
	g.dialer.Disconnect(l.address)
}

// beat sends one heartbeat. A connection without an answer for 2 s is closed
// and dialled again, because it may have gone silent.
func (l *link) beat(ctx context.Context, g *Gossiper) {
	sent := time.Now()
	reply, err := l.exchange(ctx, g)
	g.mu.Lock()
	if err != nil {
		silent := sent.Sub(l.opened) >= contact
		if silent {
			l.opened = sent
		}
		g.mu.Unlock()
		if silent {
			g.logger.Debug("peer does not answer", "peer", l.address, "error", err)
			g.dialer.Disconnect(l.address)
		}

		return
	}
	l.answered, l.opened = sent, time.Now()
	l.peer.Instance.ID = modeler.InstanceID(reply.GetId())
	l.heard(reply)
	g.mu.Unlock()
	if reply.GetFresh() >= 0 {
		// The age is counted from the sending of the heartbeat, so that the
		// time the answer took never makes a confirmation look newer than it is.
		age := time.Duration(reply.GetFresh())*time.Millisecond + time.Since(sent)
		g.config.Confirm(modeler.Offset(reply.GetConfig()), age)
	}
	g.compare(l.address, modeler.Offset(reply.GetConfig()))
}

func (l *link) exchange(ctx context.Context, g *Gossiper) (*forwarder.BeatReply, error) {
	client, err := g.dialer.Client(l.address)
	if err != nil {
		return nil, err //nolint:wrapcheck // The error names the address.
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	state := g.state()

	return client.Beat(ctx, &forwarder.BeatRequest{
		Id: state.GetId(), Region: g.self.Region, Zone: g.self.Zone,
		Config: state.GetConfig(), Fresh: state.GetFresh(), Draining: state.GetDraining(), Loads: state.GetLoads(),
	})
}

// condition is what heartbeats and their answers have in common.
type condition interface {
	GetConfig() int64
	GetDraining() bool
	GetLoads() []byte
}

// heard takes over what the peer says of itself; the caller holds the lock.
func (l *link) heard(from condition) {
	l.peer.LastHeartbeat = time.Now()
	l.peer.Draining = from.GetDraining()
	l.peer.Config = modeler.Offset(from.GetConfig())
	var loads []modeler.Load
	if err := encoder.Unmarshal(from.GetLoads(), &loads); err == nil {
		l.peer.Loads = loads
	}
}
