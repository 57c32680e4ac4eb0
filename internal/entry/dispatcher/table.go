package dispatcher

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// route is what is known of a partition's owner.
type route struct {
	owner modeler.InstanceID
	term  modeler.Term
	zone  string
	// alive is set when the owner is this instance or was heard recently.
	alive bool
	// load is zero unless the owner itself reported it.
	load modeler.Load
}

// table is the view of all partitions at one time.
type table struct {
	made   time.Time
	routes map[modeler.PartitionID]route
}

// routes returns the owner with the highest term of every partition. Streams
// and heartbeats are both consulted: a successor that took over during a log
// outage is in no stream, and an owner in another region may be in no
// heartbeat yet.
func (d *Dispatcher) routes() map[modeler.PartitionID]route {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table == nil || time.Since(d.table.made) > tableAge {
		d.table = &table{made: time.Now(), routes: d.build()}
	}

	return d.table.routes
}

func (d *Dispatcher) forgetTable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = nil
}

func (d *Dispatcher) build() map[modeler.PartitionID]route {
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
				alive: heard(peer, now), load: load,
			})
		}
	}
	for _, load := range d.queries.Loads() {
		add(load.Partition, route{owner: d.self.ID, term: load.Term, zone: d.self.Zone, alive: true, load: load})
	}
	for _, o := range d.queries.Ownership() {
		if o.Owner == "" {
			continue
		}
		peer, known := peers[o.Owner]
		add(o.Partition, route{
			owner: o.Owner, term: o.Term, zone: peer.Instance.Zone,
			alive: o.Owner == d.self.ID || known && heard(peer, now),
		})
	}

	return routes
}

func heard(peer modeler.Peer, now time.Time) bool {
	return !peer.LastHeartbeat.IsZero() && now.Sub(peer.LastHeartbeat) < suspected
}

// OwnersKnown reports whether the owner of every partition of the configuration is
// known. It need not be reachable: an instance is as ready as any other while
// a partition is between owners.
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

// RequestTokens asks the present owner of msg.Partition for part of a team's
// allotment. It does not wait for an owner: the asker has others to ask.
func (d *Dispatcher) RequestTokens(ctx context.Context, msg modeler.TokensMsg) error {
	if route, ok := d.routes()[msg.Partition]; ok && route.alive {
		if owner, ok := d.owners.To(route.owner); ok {
			return owner.GiveTokens(ctx, msg)
		}
	}

	return modeler.NotRun(modeler.CodeNoOwner, time.Second, "partition %s has no reachable owner", msg.Partition)
}
