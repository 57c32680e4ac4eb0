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

// tickLoop notices pauses of this process.
func (g *Gossiper) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.resume(time.Now())
		}
	}
}

// resume moves the times at which peers were heard forward by a pause of this
// process. Without it a process that was paused suspects every other one when
// it continues, and claims their partitions before their heartbeats are read.
func (g *Gossiper) resume(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gap := g.gap(now); gap > 0 {
		g.logger.Warn("this process was paused", "for", gap)
		for _, l := range g.links {
			if !l.peer.LastHeartbeat.IsZero() {
				l.peer.LastHeartbeat = l.peer.LastHeartbeat.Add(gap)
			}
		}
	}
	g.ticked = now
}

// gap returns how long this process has been paused since its last tick; zero
// if it has not. The caller holds the lock.
func (g *Gossiper) gap(now time.Time) time.Duration {
	if late := now.Sub(g.ticked); !g.ticked.IsZero() && late > paused {
		return late - tick
	}

	return 0
}

// listLoop polls the platform's list.
func (g *Gossiper) listLoop(ctx context.Context) {
	for {
		g.poll(ctx)
		if !sleep(ctx, jitter(listInterval)) {
			return
		}
	}
}

func (g *Gossiper) poll(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	instances, err := g.lister.Instances(bounded)
	if err != nil {
		g.logger.Debug("instance list cannot be read", "error", err)

		return
	}
	g.apply(ctx, instances)
}

// apply replaces the listed instances and starts and stops links.
func (g *Gossiper) apply(ctx context.Context, instances []modeler.Instance) {
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
			g.link(ctx, instance)
		}
	}
	for address, l := range g.links {
		if !l.listed && time.Since(l.peer.LastHeartbeat) > forget {
			l.stop()
			delete(g.links, address)
		}
	}
}

// link adds a listed peer or refreshes what the list says of it. The id of a
// peer that has been heard comes from its heartbeats, because the list names
// machines and every process start has a new id.
func (g *Gossiper) link(ctx context.Context, instance modeler.Instance) {
	l, ok := g.links[instance.Peer]
	if !ok {
		bounded, stop := context.WithCancel(ctx)
		l = &link{address: instance.Peer, stop: stop, opened: time.Now()}
		g.links[instance.Peer] = l
		g.loops.Go(func() { l.run(bounded, g) })
	}
	if !l.peer.LastHeartbeat.IsZero() {
		instance.ID = l.peer.Instance.ID
	}
	l.peer.Instance, l.listed = instance, true
}

// compare asks for a pull when a peer has a newer configuration. An instance
// that has just reached the tail of the log waits for a second heartbeat: it is
// about to read the patch, and a pull carries the whole document.
func (g *Gossiper) compare(address netip.AddrPort, offset modeler.Offset) {
	own := g.offset()
	age, fresh := g.config.ConfigAge(time.Now())
	g.mu.Lock()
	l, ok := g.links[address]
	if !ok || offset <= own {
		if ok {
			l.ahead = 0
		}
		g.mu.Unlock()

		return
	}
	before := l.ahead
	l.ahead = offset
	g.mu.Unlock()
	if own < 0 || !fresh || age > tailing || before > own {
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

func (g *Gossiper) pull(ctx context.Context, address netip.AddrPort) {
	g.mu.RLock()
	l, ok := g.links[address]
	stale := !ok || l.peer.Config <= g.offset()
	g.mu.RUnlock()
	if stale {
		return
	}
	client, err := g.dialer.Client(address)
	if err != nil {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := client.PullConfig(bounded, &forwarder.PullConfigRequest{Above: int64(g.offset())})
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
	if address, ok := g.receive(in); ok {
		g.compare(address, modeler.Offset(in.GetConfig()))
	}

	return g.state(), nil
}

// receive notes the heartbeat of a peer whose address is known from an earlier
// answer. It proves no contact in the other direction, and its freshness is
// not used, because the time it took to arrive is not known.
func (g *Gossiper) receive(in *forwarder.BeatRequest) (netip.AddrPort, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, l := range g.links {
		if l.peer.Instance.ID == modeler.InstanceID(in.GetId()) && !l.peer.LastHeartbeat.IsZero() {
			l.heard(in)

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

// state describes this instance.
func (g *Gossiper) state() *forwarder.BeatReply {
	fresh := int64(-1)
	if age, ok := g.ConfigAge(time.Now()); ok {
		// Rounded up, so that a chain of peers never gains freshness.
		fresh = int64((age + time.Millisecond - 1) / time.Millisecond)
	}
	loads, err := encoder.Marshal(g.loads())
	if err != nil {
		g.logger.Error("loads cannot be encoded", "error", err)
	}

	return &forwarder.BeatReply{
		Id: string(g.self.ID), Config: int64(g.offset()), Fresh: fresh, Draining: g.draining.Load(), Loads: loads,
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

// jitter returns a time between 80% and 120% of mean, so that instances started
// together do not send in step.
func jitter(mean time.Duration) time.Duration {
	return mean*4/5 + rand.N(mean*2/5)
}

// sleep reports false when ctx ended first.
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
