package elector

import (
	"net/netip"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// liveWithin is the age of the last heartbeat, beyond the period of the heartbeats, up to which an instance counts
	// as live.
	liveWithin = 900 * time.Millisecond
	// liveRefresh is how long a list of live instances is used.
	liveRefresh = 50 * time.Millisecond
	// minCourierPowerShare is the minimum power of a courier, as a share of the power of the strongest instance in its
	// zone.
	minCourierPowerShare = 0.5
	// fullRateInstances is the number of instances up to which all send heartbeats to the owner at the full rate.
	// Beyond it, instances of less than half of the strongest one's power send fewer, so that the owner's load grows
	// little. maxPeriodFactor bounds their period.
	fullRateInstances = 50
	maxPeriodFactor   = 3.0
)

// liveSet holds the instances that had sent a heartbeat recently.
type liveSet struct {
	madeAt definer.Instant
	// addresses holds the addresses of the live instances, including this one, in ascending order.
	addresses []netip.AddrPort
	// long and short hold those to which long questions and all others are assigned first. The owner, which
	// reaches itself without a call, is one of those for the others. They are the same if it is alone.
	long, short []netip.AddrPort
	// byClass holds the instances to which the questions of each class are assigned first: long, and the division
	// of short by the demand of quick questions and short ones.
	byClass [classCount][]netip.AddrPort
	// couriers holds the live peers in each zone with enough power to relay orders.
	couriers map[string][]Instance
}

// live returns the live instances. The caller holds mu.
func (e *Elector) live() *liveSet {
	now := definer.Now()
	if e.liveNow != nil && now.Sub(e.liveNow.madeAt) < liveRefresh {
		return e.liveNow
	}
	strongest := map[string]float64{e.settings.Zone: e.settings.Power}
	for _, peer := range e.peers {
		strongest[peer.Zone] = max(strongest[peer.Zone], peer.Power)
	}
	limit := liveWithin + slowPeriod(len(e.peers)+1)
	set := &liveSet{madeAt: now, addresses: []netip.AddrPort{e.settings.Address}, couriers: map[string][]Instance{}}
	for _, peer := range e.peers {
		if now.Sub(e.lastHeartbeat[peer.Address]) > limit {
			continue
		}
		set.addresses = append(set.addresses, peer.Address)
		if peer.Power >= strongest[peer.Zone]*minCourierPowerShare {
			set.couriers[peer.Zone] = append(set.couriers[peer.Zone], peer)
		}
	}
	slices.SortFunc(set.addresses, netip.AddrPort.Compare)
	set.long, set.short = e.splitByKind(set.addresses)
	set.byClass[classLong] = set.long
	e.demand.decay(now)
	set.byClass[classQuick], set.byClass[classShort] = e.demand.splitShort(set.short)
	e.liveNow = set

	return set
}

// splitByKind returns the addresses of the instances for long questions and of those for
// short ones.
func (e *Elector) splitByKind(addresses []netip.AddrPort) (long, short []netip.AddrPort) {
	if len(addresses) == 1 {
		return addresses, addresses
	}
	others := slices.DeleteFunc(slices.Clone(addresses), func(a netip.AddrPort) bool { return a == e.settings.Address })
	first := longInstances(len(addresses))

	return others[:first], append(others[first:], e.settings.Address)
}

// slowPeriod returns the period of the heartbeats of instances with little power.
func slowPeriod(instances int) time.Duration {
	factor := min(max(float64(instances)/fullRateInstances, 1), maxPeriodFactor)

	return time.Duration(factor * float64(heartbeatInterval))
}

// heartbeatPeriod returns the period of this instance's heartbeats to the owner.
func (e *Elector) heartbeatPeriod() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	strongest := e.settings.Power
	for _, peer := range e.peers {
		strongest = max(strongest, peer.Power)
	}
	if e.settings.Power >= strongest*minCourierPowerShare {
		return heartbeatInterval
	}

	return slowPeriod(len(e.peers) + 1)
}

// countLive counts the live instances, including this one.
func (e *Elector) countLive() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.live().addresses)
}
