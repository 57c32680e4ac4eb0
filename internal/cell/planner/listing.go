package planner

import (
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Other writers share the endpoint list. An entry of a service for which the cell has
// no work names no endpoint to use: the owner sends no orders there, because the
// address may belong to another system. An entry of a service with work becomes part
// of the state table only once an endpoint has answered at its address, so that
// entries without an endpoint do not count against the majority.

// unusedListing is an entry of a service that the cell does not use, and when it was read.
type unusedListing struct {
	definer.Listing
	readAt definer.Instant
}

// usesService reports whether a route of the configuration or a job that is not final
// needs endpoints of the service. A job may outlive its route.
func (p *Planner) usesService(service string) bool {
	return p.routedServices[service] || p.jobsOfService[service] > 0
}

// configureServices records the services that routes use, and processes the entries
// of services that are used from now on.
func (p *Planner) configureServices(routes []definer.Route) {
	p.routedServices = make(map[string]bool, len(routes))
	for i := range routes {
		p.routedServices[routes[i].Queue.Service] = true
	}
	p.useListings()
}

// addJobOfService counts a job that needs endpoints of a service until
// removeJobOfService is called.
func (p *Planner) addJobOfService(service string) {
	used := p.usesService(service)
	p.jobsOfService[service]++
	if !used {
		p.useListings()
	}
}

func (p *Planner) removeJobOfService(service string) {
	if p.jobsOfService[service]--; p.jobsOfService[service] <= 0 {
		delete(p.jobsOfService, service)
	}
}

// useListings processes the unused entries whose services are used now.
func (p *Planner) useListings() {
	for id, unused := range p.unusedListings {
		if !p.usesService(unused.Service) {
			continue
		}
		delete(p.unusedListings, id)
		listing := unused.Listing
		listing.Remaining = max(listing.Remaining-p.now.Sub(unused.readAt), time.Duration(0))
		p.updateEndpoint(listing, p.now)
	}
}

// UpdateListing processes an entry of the endpoint list, which may be new.
func (p *Planner) UpdateListing(listing definer.Listing, now definer.Instant) {
	p.now = now
	if p.listReadAt == 0 {
		p.listReadAt = now
	}
	e := p.endpoints[listing.ID]
	if !p.usesService(listing.Service) && (e == nil || e.Service != listing.Service) {
		p.ignoreListing(listing, now)

		return
	}
	delete(p.unusedListings, listing.ID)
	p.updateEndpoint(listing, now)
}

// ignoreListing keeps an entry of a service that the cell does not use. An endpoint
// that had an entry under the id has none any more.
func (p *Planner) ignoreListing(listing definer.Listing, now definer.Instant) {
	p.RemoveListing(listing.ID)
	if _, known := p.unusedListings[listing.ID]; !known {
		p.note("endpoint of unused service", "", "endpoint", listing.ID, "service", listing.Service)
	}
	p.unusedListings[listing.ID] = unusedListing{Listing: listing, readAt: now}
}

// updateEndpoint processes an entry of a service that the cell uses.
func (p *Planner) updateEndpoint(listing definer.Listing, now definer.Instant) {
	e := p.endpoints[listing.ID]
	if e == nil {
		e = p.addEndpoint(&endpoint{Listing: listing, runs: map[runKey]*run{}, speed: p.EndpointSpeed(listing.ID)})
	}
	p.keepEndpoint(e)
	if e.life != 0 && listing.Born > e.life {
		p.endpointRestarted(e, listing.Born, now)
		p.emit(InventoryCmd{Endpoint: e.ID})
	}
	if e.Address != listing.Address {
		e.addressStored = false
	}
	changed := e.Address != listing.Address || e.Capacity != listing.Capacity
	if listing.Draining && !e.Draining {
		p.note("endpoint leaving", "", "endpoint", e.ID, "remaining", listing.Remaining)
	}
	p.noteAddressChange(e, &listing)
	e.Listing = listing
	e.listed = true
	e.cordoned = p.isEvacuated(e.Zone)
	e.updateDeparture(&listing, now)
	if changed {
		p.storeEndpoint(e)
	}
}

// RemoveListing processes the removal of an entry from the endpoint list. The
// endpoint is kept until it has stopped answering and its runs have ended.
func (p *Planner) RemoveListing(id string) {
	delete(p.unusedListings, id)
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if e.neverUsed() {
		p.removeEndpoint(e)

		return
	}
	e.listed, e.unlistedAt = false, p.now
}

// neverUsed reports whether nothing can run at e on an order of this or an earlier owner:
// the table does not name it, and it has never answered.
func (e *endpoint) neverUsed() bool { return e.entry == entryAbsent && e.life == 0 }
