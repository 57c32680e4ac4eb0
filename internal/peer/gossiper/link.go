package gossiper

import (
	"context"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
)

// link is the connection state of one peer address. The gossiper's lock guards
// all fields except address and stop.
type link struct {
	address netip.AddrPort
	stop    context.CancelFunc

	peer   modeler.Peer
	listed bool
	// lastAnswered is when the last answered heartbeat was sent.
	lastAnswered time.Time
	// connectedAt is when the current connection was last known to work or was
	// dialled.
	connectedAt time.Time
	// newerOffset is the configuration offset of the last heartbeat if it was
	// above the offset of this instance, otherwise zero.
	newerOffset modeler.Offset
}

// run sends heartbeats until ctx is done.
func (l *link) run(ctx context.Context, g *Gossiper) {
	for sleep(ctx, jitter(heartbeatInterval)) {
		l.sendHeartbeat(ctx, g)
	}
	g.dialer.Disconnect(l.address)
}

// sendHeartbeat sends one heartbeat. It closes a connection without an answer for
// 2 s, so that it is dialled again, because the connection may be broken without
// an error.
func (l *link) sendHeartbeat(ctx context.Context, g *Gossiper) {
	sent := time.Now()
	reply, err := l.exchange(ctx, g)
	g.mu.Lock()
	if err != nil {
		silent := sent.Sub(l.connectedAt) >= contactTimeout
		if silent {
			l.connectedAt = sent
		}
		g.mu.Unlock()
		if silent {
			g.logger.Debug("peer does not answer", "peer", l.address, "error", err)
			g.dialer.Disconnect(l.address)
		}

		return
	}
	l.lastAnswered, l.connectedAt = sent, time.Now()
	l.peer.Instance.ID = modeler.InstanceID(reply.GetId())
	l.update(reply)
	g.mu.Unlock()
	if reply.GetFresh() >= 0 {
		// The age is counted from the sending of the heartbeat. Otherwise the
		// latency of the answer would make a confirmation look newer than it is.
		age := time.Duration(reply.GetFresh())*time.Millisecond + time.Since(sent)
		g.config.Confirm(modeler.Offset(reply.GetConfig()), age)
	}
	g.checkOffset(l.address, modeler.Offset(reply.GetConfig()))
}

// exchange sends a heartbeat and returns the answer.
func (l *link) exchange(ctx context.Context, g *Gossiper) (*forwarder.BeatReply, error) {
	client, err := g.dialer.Client(l.address)
	if err != nil {
		return nil, err //nolint:wrapcheck // The error names the address.
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	state := g.ownState()

	return client.Beat(ctx, &forwarder.BeatRequest{
		Id: state.GetId(), Region: g.self.Region, Zone: g.self.Zone,
		Config: state.GetConfig(), Fresh: state.GetFresh(), Draining: state.GetDraining(), Loads: state.GetLoads(),
	})
}

// heartbeat holds the fields that heartbeats and their answers have in common.
type heartbeat interface {
	GetConfig() int64
	GetDraining() bool
	GetLoads() []byte
}

// update records the state that a peer reports. The caller holds the lock.
func (l *link) update(from heartbeat) {
	l.peer.LastHeartbeat = time.Now()
	l.peer.Draining = from.GetDraining()
	l.peer.Config = modeler.Offset(from.GetConfig())
	var loads []modeler.Load
	if err := encoder.Unmarshal(from.GetLoads(), &loads); err == nil {
		l.peer.Loads = loads
	}
}
