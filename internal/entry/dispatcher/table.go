package dispatcher

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// route describes the owner of a partition.
type route struct {
	owner modeler.InstanceID
	term  modeler.Term
	zone  string
	// live is set if the owner is this instance or has sent a heartbeat recently.
	live bool
	// load is zero unless the owner itself reported it.
	load modeler.Load
}

// routeTable caches the routes of all partitions.
type routeTable struct {
	built  time.Time
	routes map[modeler.PartitionID]route
}

// routes returns, for every partition, the owner with the highest term. It uses
// both streams and heartbeats: a successor that took over during a log outage is
// in no stream, and an owner in another region may be in no heartbeat yet.
func (d *Dispatcher) routes() map[modeler.PartitionID]route {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil || time.Since(d.table.built) > maxRoutesAge {
		d.table = &routeTable{built: time.Now(), routes: d.buildRoutes()}
	}

	return d.table.routes
}

// invalidateRoutes makes the next use of the routes rebuild them.
func (d *Dispatcher) invalidateRoutes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = nil
}

func (d *Dispatcher) buildRoutes() map[modeler.PartitionID]route {
	now := time.Now()
	routes := map[modeler.PartitionID]route{}
	peers := map[modeler.InstanceID]modeler.Peer{}
	add := func(id modeler.PartitionID, r route) {
		if known, ok := routes[id]; !ok || r.term > known.term || r.term == known.term && r.load.Partition != "" {
			routes[id] = r
		}
	}
	for _, peer := range d.membership.Peers() {
		peers[peer.Instance.ID] = peer
		for _, load := range peer.Loads {
			add(load.Partition, route{
				owner: peer.Instance.ID, term: load.Term, zone: peer.Instance.Zone,
				live: recentlyHeard(peer, now), load: load,
			})
		}
	}
	for _, load := range d.queries.Loads() {
		add(load.Partition, route{owner: d.self.ID, term: load.Term, zone: d.self.Zone, live: true, load: load})
	}
	for _, o := range d.queries.Ownership() {
		if o.Owner == "" {
			continue
		}
		peer, known := peers[o.Owner]
		add(o.Partition, route{
			owner: o.Owner, term: o.Term, zone: peer.Instance.Zone,
			live: o.Owner == d.self.ID || known && recentlyHeard(peer, now),
		})
	}

	return routes
}

// recentlyHeard reports whether the last heartbeat of peer is newer than
// maxHeartbeatAge.
func recentlyHeard(peer modeler.Peer, now time.Time) bool {
	return !peer.LastHeartbeat.IsZero() && now.Sub(peer.LastHeartbeat) < maxHeartbeatAge
}

// OwnersKnown reports whether every partition of the configuration has a known
// owner. The owner need not be reachable: while a partition changes owners, no
// instance can reach one, so that does not make this instance less ready.
func (d *Dispatcher) OwnersKnown() bool {
	doc, _, ok := d.config.InForce()
	if !ok {
		return false
	}
	routes := d.routes()
	for _, p := range doc.Partitions {
		if _, ok := routes[p.Name]; !ok {
			return false
		}
	}

	return true
}

// RequestTokens asks the current owner of msg.Partition for part of a team's
// tokens. It does not wait for an owner, because the caller can ask other
// partitions.
func (d *Dispatcher) RequestTokens(ctx context.Context, msg modeler.TokensMsg) error {
	if route, ok := d.routes()[msg.Partition]; ok && route.live {
		if owner, ok := d.owners.CommandsOf(route.owner); ok {
			return owner.TransferTokens(ctx, msg)
		}
	}

	return modeler.NotRun(modeler.CodeNoOwner, time.Second, "partition %s has no reachable owner", msg.Partition)
}
