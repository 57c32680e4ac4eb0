package gossiper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/peer/forwarder"
)

// tickLoop detects pauses of this process.
func (g *Gossiper) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.adjustForPause(time.Now())
		}
	}
}

// adjustForPause moves the times of the last heartbeats forward by a pause of
// this process. Otherwise a process that was paused would suspect all peers when
// it continues, and claim their partitions before it reads their heartbeats.
func (g *Gossiper) adjustForPause(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pause := g.pauseDuration(now); pause > 0 {
		g.logger.Warn("this process was paused", "for", pause)
		for _, l := range g.links {
			if !l.peer.LastHeartbeat.IsZero() {
				l.peer.LastHeartbeat = l.peer.LastHeartbeat.Add(pause)
			}
		}
	}
	g.lastTick = now
}

// pauseDuration returns the time for which this process has been paused since its
// last tick, zero if it was not paused. The caller holds the lock.
func (g *Gossiper) pauseDuration(now time.Time) time.Duration {
	if elapsed := now.Sub(g.lastTick); !g.lastTick.IsZero() && elapsed > pauseThreshold {
		return elapsed - tickInterval
	}

	return 0
}

// listLoop polls the platform's list.
func (g *Gossiper) listLoop(ctx context.Context) {
	for {
		g.pollList(ctx)
		if !sleep(ctx, jitter(listInterval)) {
			return
		}
	}
}

// pollList reads the platform's list once.
func (g *Gossiper) pollList(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	instances, err := g.lister.Instances(listCtx)
	if err != nil {
		g.logger.Debug("instance list cannot be read", "error", err)

		return
	}
	g.applyList(ctx, instances)
}

// applyList replaces the listed instances and starts and stops links.
func (g *Gossiper) applyList(ctx context.Context, instances []modeler.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		l.listed = false
	}
	g.listRead = true
	g.endpoints = nil
	for _, instance := range instances {
		switch {
		case instance.Kind != modeler.KindEntry:
			g.endpoints = append(g.endpoints, instance)
		case instance.Peer.IsValid() && instance.Peer != g.self.Peer:
			g.updateLink(ctx, instance)
		}
	}
	for address, l := range g.links {
		if !l.listed && time.Since(l.peer.LastHeartbeat) > unlistedTimeout {
			l.stop()
			delete(g.links, address)
		}
	}
}

// updateLink adds a listed peer or updates its list entry. The id of a peer that
// has sent a heartbeat comes from its heartbeats, because the list contains
// machines and each process start has a new id.
func (g *Gossiper) updateLink(ctx context.Context, instance modeler.Instance) {
	l, ok := g.links[instance.Peer]
	if !ok {
		linkCtx, stop := context.WithCancel(ctx)
		l = &link{address: instance.Peer, stop: stop, connectedAt: time.Now()}
		g.links[instance.Peer] = l
		g.loops.Go(func() { l.run(linkCtx, g) })
	}
	if !l.peer.LastHeartbeat.IsZero() {
		instance.ID = l.peer.Instance.ID
	}
	l.peer.Instance, l.listed = instance, true
}

// checkOffset queues a pull if a peer has a newer configuration. An instance at
// the tail of the log waits for a second heartbeat, because it is about to read
// the patch from the log and a pull transfers the whole document.
func (g *Gossiper) checkOffset(address netip.AddrPort, offset modeler.Offset) {
	own := g.offset()
	age, confirmed := g.config.ConfigAge(time.Now())
	g.mu.Lock()
	l, ok := g.links[address]
	if !ok || offset <= own {
		if ok {
			l.newerOffset = 0
		}
		g.mu.Unlock()

		return
	}
	previous := l.newerOffset
	l.newerOffset = offset
	g.mu.Unlock()
	if own < 0 || !confirmed || age > maxTailAge || previous > own {
		g.pulls.Push(address)
	}
}

// pullLoop pulls configurations from peers that have newer ones.
func (g *Gossiper) pullLoop(ctx context.Context) {
	for {
		address, ok := g.pulls.Pop(ctx)
		if !ok {
			return
		}
		g.pull(ctx, address)
	}
}

// pull replaces the configuration by that of a peer if it is newer.
func (g *Gossiper) pull(ctx context.Context, address netip.AddrPort) {
	g.mu.RLock()
	l, ok := g.links[address]
	upToDate := !ok || l.peer.Config <= g.offset()
	g.mu.RUnlock()
	if upToDate {
		return
	}
	client, err := g.dialer.Client(address)
	if err != nil {
		return
	}
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := client.PullConfig(pullCtx, &forwarder.PullConfigRequest{Above: int64(g.offset())})
	if err != nil || modeler.Offset(reply.GetOffset()) <= g.offset() {
		return
	}
	var document modeler.Document
	if err := encoder.Unmarshal(reply.GetDocument(), &document); err != nil {
		g.logger.Warn("configuration of a peer cannot be decoded", "peer", address, "error", err)

		return
	}
	g.config.Offer(modeler.Offset(reply.GetOffset()), document)
}

// Beat implements forwarder.Gossip.
func (g *Gossiper) Beat(_ context.Context, in *forwarder.BeatRequest) (*forwarder.BeatReply, error) {
	if address, ok := g.receiveHeartbeat(in); ok {
		g.checkOffset(address, modeler.Offset(in.GetConfig()))
	}

	return g.ownState(), nil
}

// receiveHeartbeat records the heartbeat of a peer whose address is known from an
// earlier answer. The heartbeat does not prove contact in the other direction. Its
// confirmation age is not used, because its transmission time is unknown.
func (g *Gossiper) receiveHeartbeat(in *forwarder.BeatRequest) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, l := range g.links {
		if l.peer.Instance.ID == modeler.InstanceID(in.GetId()) && !l.peer.LastHeartbeat.IsZero() {
			l.update(in)

			return address, true
		}
	}

	return netip.AddrPort{}, false
}

// PullConfig implements forwarder.Gossip.
func (g *Gossiper) PullConfig(_ context.Context, in *forwarder.PullConfigRequest) (*forwarder.PullConfigReply, error) {
	document, offset, ok := g.config.InForce()
	if !ok || int64(offset) <= in.GetAbove() {
		return &forwarder.PullConfigReply{Offset: -1}, nil
	}
	data, err := encoder.Marshal(document)

	return &forwarder.PullConfigReply{Offset: int64(offset), Document: data}, err
}

// ownState returns the state of this instance that heartbeats and answers carry.
func (g *Gossiper) ownState() *forwarder.BeatReply {
	ageMillis := int64(-1)
	if age, ok := g.ConfigAge(time.Now()); ok {
		// Rounded up, so that a confirmation never becomes newer on its way through
		// several peers.
		ageMillis = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	loads, err := encoder.Marshal(g.loads())
	if err != nil {
		g.logger.Error("loads cannot be encoded", "error", err)
	}

	return &forwarder.BeatReply{
		Id: string(g.self.ID), Config: int64(g.offset()), Fresh: ageMillis, Draining: g.draining.Load(), Loads: loads,
	}
}

// offset returns the offset of the configuration in force, -1 if there is none.
func (g *Gossiper) offset() modeler.Offset {
	if _, offset, ok := g.config.InForce(); ok {
		return offset
	}

	return -1
}

func sortPeers(peers []modeler.Peer) {
	slices.SortFunc(peers, func(a, b modeler.Peer) int {
		return cmp.Or(cmp.Compare(a.Instance.ID, b.Instance.ID), a.Instance.Peer.Compare(b.Instance.Peer))
	})
}

// jitter returns a random duration between 80% and 120% of mean, so that
// instances that start together do not send at the same times.
func jitter(mean time.Duration) time.Duration {
	return mean*4/5 + rand.N(mean*2/5)
}

// sleep waits for a duration. It reports false if ctx is done first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
