package elector

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

// minCourierPowerShare is the minimum power of a courier, as a share of the power
// of the strongest instance in its zone.
const minCourierPowerShare = 0.5

// Carry implements forwarder.Carrier.
func (e *Elector) Carry(stream *forwarder.CarryServer) error { return e.courier.Carry(stream) }

// courierFor returns the instance that relays the orders for an endpoint. It
// ranks the live instances with enough power in the endpoint's zone by rendezvous
// hashing, so that every owner chooses the same one and its connection to the
// endpoint is reused. It returns false if there is none.
func (e *Elector) courierFor(target definer.Target, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	strongest := 0.0
	for _, peer := range e.peers {
		if peer.Zone == target.Zone {
			strongest = max(strongest, peer.Power)
		}
	}
	if e.settings.Zone == target.Zone {
		strongest = max(strongest, e.settings.Power)
	}
	var best netip.AddrPort
	var bestRank uint64
	for name, peer := range e.peers {
		if peer.Zone != target.Zone || peer.Power < strongest*minCourierPowerShare ||
			definer.Since(e.lastHeartbeat[peer.Address]) > liveWithin || !usable(peer.Address) {
			continue
		}
		if rank := xxhash.Sum64String(name + "/" + target.ID); !best.IsValid() || rank > bestRank {
			best, bestRank = peer.Address, rank
		}
	}

	return best, best.IsValid()
}
