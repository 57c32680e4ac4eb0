package elector

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

// Carry implements forwarder.Carrier.
func (e *Elector) Carry(stream *forwarder.CarryServer) error { return e.courier.Carry(stream) }

// courierFor returns the instance that relays the orders for an endpoint. It
// ranks the live instances with enough power in the endpoint's zone by rendezvous
// hashing, so that every owner chooses the same one and its connection to the
// endpoint is reused. It returns false if there is none.
func (e *Elector) courierFor(target definer.Target, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best netip.AddrPort
	var bestRank uint64
	for _, peer := range e.live().couriers[target.Zone] {
		if !usable(peer.Address) {
			continue
		}
		if rank := xxhash.Sum64String(peer.Name + "/" + target.ID); !best.IsValid() || rank > bestRank {
			best, bestRank = peer.Address, rank
		}
	}

	return best, best.IsValid()
}
