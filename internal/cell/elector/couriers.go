package elector

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

// courierPower is the share of the strongest instance's power in a zone that an
// instance needs to carry orders.
const courierPower = 0.5

// Carry implements forwarder.Carrier.
func (e *Elector) Carry(stream *forwarder.CarryServer) error { return e.courier.Carry(stream) }

// courierFor chooses the instance that carries the orders for an endpoint: one
// of the strong live instances in its zone, always the same while they live,
// whoever is the owner, so that its connection to the endpoint is used again.
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
		if peer.Zone != target.Zone || peer.Power < strongest*courierPower ||
			definer.Since(e.seen[peer.Address]) > seenWithin || !usable(peer.Address) {
			continue
		}
		if rank := xxhash.Sum64String(name + "/" + target.ID); !best.IsValid() || rank > bestRank {
			best, bestRank = peer.Address, rank
		}
	}

	return best, best.IsValid()
}
