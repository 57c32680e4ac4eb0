package soaker

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/elector"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
)

// Intervals and timeouts of package gossiper in a real process.
const (
	listInterval      = time.Second
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = 600 * time.Millisecond
	peerRetention     = 10 * time.Second
	pullTimeout       = 2 * time.Second
	configInterval    = 250 * time.Millisecond
	// maxHeartbeatAge is the maximum age of a heartbeat that is used to find an
	// owner.
	maxHeartbeatAge = 1200 * time.Millisecond
	// drainTimeout bounds the time until a draining process ends.
	drainTimeout = 12 * time.Second
)

// process is an entry instance.
type process struct {
	*host
	cluster  *cluster
	instance modeler.Instance
	follower *follower.Follower
	nodes    []*node
	peers    map[modeler.InstanceID]modeler.Peer
	listed   []modeler.Instance
	draining bool
	applied  modeler.Offset
}

// heartbeat is the content of a heartbeat message.
type heartbeat struct {
	peer           modeler.Peer
	configAge      time.Duration
	configAgeKnown bool
}

func newProcess(c *cluster, name string, region int) *process {
	p := &process{host: &host{name: name, region: region}, cluster: c, peers: map[modeler.InstanceID]modeler.Peer{}, applied: -1}
	p.instance = modeler.Instance{ID: modeler.InstanceID(name), Kind: modeler.KindEntry, Region: regions[region], Zone: regions[region], State: modeler.StateLive}
	p.follower = follower.New(
		follower.WithLog(immediateLog{c.log, p.host}), follower.WithLogger(hclog.NewNullLogger()),
		follower.WithClock(func() time.Time { return c.sim.now }), follower.WithJitter(func() float64 { return 0 }),
	)
	p.refreshInstances()
	c.sim.every(listInterval, p.host, p.refreshInstances)
	c.sim.every(heartbeatInterval, p.host, p.sendHeartbeats)
	c.sim.every(configInterval, p.host, p.pollConfig)
	p.pollConfig()
	for _, part := range c.document.Partitions {
		p.nodes = append(p.nodes, newNode(p, part))
	}

	return p
}

// refreshInstances reads the platform's list of instances and removes peers that
// are not listed and have sent no heartbeat within peerRetention.
func (p *process) refreshInstances() {
	p.listed = p.cluster.listed
	for _, id := range sortedKeys(p.peers) {
		if lastHeartbeat := p.peers[id].LastHeartbeat; !p.isListed(id) && p.cluster.sim.now.Sub(lastHeartbeat) > peerRetention {
			delete(p.peers, id)
		}
	}
	for _, instance := range p.listed {
		if instance.Kind == modeler.KindEntry && instance.ID != p.instance.ID {
			peer := p.peers[instance.ID]
			peer.Instance = instance
			p.peers[instance.ID] = peer
		}
	}
}

func (p *process) isListed(id modeler.InstanceID) bool {
	for _, instance := range p.listed {
		if instance.ID == id {
			return true
		}
	}

	return false
}

// pollConfig reads the stream of the configuration.
func (p *process) pollConfig() {
	_ = p.follower.Poll(context.Background()) // Outages are expected.
	p.checkOffset()
}

// checkOffset checks that the offset in force was accepted and never decreases.
func (p *process) checkOffset() {
	_, offset, ok := p.follower.InForce()
	if !ok {
		return
	}
	sim := p.cluster.sim
	sim.checkf(checkConfig, offset >= p.applied, "%s went from offset %d to %d", p.name, p.applied, offset)
	sim.checkf(checkConfig, p.cluster.accepted[offset], "%s has offset %d in force, which was not accepted", p.name, offset)
	p.applied = offset
}

// newHeartbeat returns a heartbeat with the current state of the process.
func (p *process) newHeartbeat() heartbeat {
	_, offset, _ := p.follower.InForce()
	h := heartbeat{peer: modeler.Peer{Instance: p.instance, Draining: p.draining, Config: offset}}
	h.configAge, h.configAgeKnown = p.follower.ConfigAge(p.cluster.sim.now)
	for _, n := range p.nodes {
		if load, ok := n.Load(); ok {
			h.peer.Loads = append(h.peer.Loads, load)
		}
	}

	return h
}

// receiveHeartbeat stores the state of a peer unless it has a newer one, and
// fetches the peer's configuration if that is newer.
func (p *process) receiveHeartbeat(h heartbeat, at time.Time) {
	if known, ok := p.peers[h.peer.Instance.ID]; ok && known.LastHeartbeat.After(at) {
		return
	}
	h.peer.LastHeartbeat = at
	p.peers[h.peer.Instance.ID] = h.peer
	_, offset, _ := p.follower.InForce()
	if h.peer.Config > offset {
		p.pull(h.peer.Instance.ID)
	}
}

// sendHeartbeats sends heartbeats to all peers.
func (p *process) sendHeartbeats() {
	sim := p.cluster.sim
	for _, id := range sortedKeys(p.peers) {
		to := p.cluster.process(id)
		sent, message := sim.now, p.newHeartbeat()
		sim.call(p.host, to.host, heartbeatTimeout, func(reply func(any, error)) {
			to.receiveHeartbeat(message, sim.now)
			reply(to.newHeartbeat(), nil)
		}, func(value any, err error) {
			if h, ok := value.(heartbeat); ok && err == nil {
				p.receiveHeartbeat(h, sent)
				if h.configAgeKnown {
					p.follower.Confirm(h.peer.Config, h.configAge+sim.now.Sub(sent))
				}
			}
		})
	}
}

// pull fetches the configuration in force at a peer.
func (p *process) pull(id modeler.InstanceID) {
	to := p.cluster.process(id)
	type pulledConfig struct {
		doc    modeler.Document
		offset modeler.Offset
	}
	p.cluster.sim.call(p.host, to.host, pullTimeout, func(reply func(any, error)) {
		doc, offset, _ := to.follower.InForce()
		reply(pulledConfig{doc, offset}, nil)
	}, func(value any, err error) {
		if got, ok := value.(pulledConfig); ok && err == nil {
			p.follower.Offer(got.offset, got.doc)
			p.checkOffset()
		}
	})
}

// Peers implements modeler.Membership.
func (p *process) Peers() []modeler.Peer {
	peers := make([]modeler.Peer, 0, len(p.peers))
	for _, id := range sortedKeys(p.peers) {
		peers = append(peers, p.peers[id])
	}

	return peers
}

// Endpoints implements modeler.Membership.
func (p *process) Endpoints() []modeler.Instance {
	var endpoints []modeler.Instance
	for _, instance := range p.listed {
		if instance.Kind != modeler.KindEntry {
			endpoints = append(endpoints, instance)
		}
	}

	return endpoints
}

// endpointsOf returns the listed endpoints of a partition.
func (p *process) endpointsOf(name modeler.PartitionID) []modeler.Instance {
	return slices.DeleteFunc(p.Endpoints(), func(i modeler.Instance) bool {
		return elector.PartitionOf(p.cluster.document, i) != name
	})
}

// node returns the node of a partition at this process.
func (p *process) node(name modeler.PartitionID) *node {
	for _, n := range p.nodes {
		if n.name == name {
			return n
		}
	}

	return nil
}

// transfersTo returns the transfers of limits from the other partitions to one.
func (p *process) transfersTo(to modeler.PartitionID) []encoder.Transfer {
	var transfers []encoder.Transfer
	for _, n := range p.nodes {
		if n.name != to {
			transfers = append(transfers, n.TransfersTo(to)...)
		}
	}

	return transfers
}

// owner returns the process that owns a partition as far as this process knows,
// or nil.
func (p *process) owner(name modeler.PartitionID) *process {
	n := p.node(name)
	if n.Owning() {
		return p
	}
	found, term := n.Ownership().Owner, n.Ownership().Term
	for _, id := range sortedKeys(p.peers) {
		peer := p.peers[id]
		if p.cluster.sim.now.Sub(peer.LastHeartbeat) > maxHeartbeatAge {
			continue
		}
		for _, load := range peer.Loads {
			if load.Partition == name && load.Term > term {
				found, term = id, load.Term
			}
		}
	}
	if found == "" || found == p.instance.ID {
		return nil
	}

	return p.cluster.process(found)
}

// forward sends a request to the owner of a partition.
func (p *process) forward(
	name modeler.PartitionID, timeout time.Duration, build func(owner.Waiter) owner.Msg, done func(any, *modeler.Refusal),
) {
	to := p.owner(name)
	switch to {
	case nil:
		done(nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "partition %s has no owner", name))
	case p:
		p.node(name).request(timeout, build, done)
	default:
		type answer struct {
			reply   any
			refusal *modeler.Refusal
		}
		p.cluster.sim.call(p.host, to.host, timeout, func(reply func(any, error)) {
			to.node(name).request(timeout, build, func(value any, refusal *modeler.Refusal) {
				reply(answer{value, refusal}, nil)
			})
		}, func(value any, err error) {
			got, ok := value.(answer)
			switch {
			case ok && err == nil:
				done(got.reply, got.refusal)
			case err == errTimeout: //nolint:errorlint // The simulation returns this value itself.
				done(nil, modeler.Unknown(modeler.CodeLostAnswer, time.Second, "the owner did not answer"))
			default:
				done(nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "the owner was not reached"))
			}
		})
	}
}

// drain hands over the partitions and ends the process, after drainTimeout at the
// latest.
func (p *process) drain() {
	p.draining = true
	for _, n := range p.nodes {
		n.Drain()
	}
	sim := p.cluster.sim
	for at := 2 * time.Second; at < drainTimeout; at += 2 * time.Second {
		sim.after(at, p.host, p.handOver)
	}
	sim.after(drainTimeout, p.host, func() { p.dead = true })
}

// handOver asks a random successor of each owned partition to take over. It ends
// the process if it owns none.
func (p *process) handOver() {
	owning := false
	for _, n := range p.nodes {
		ownership := n.Ownership()
		successors := ownership.Successors
		if !n.Owning() {
			continue
		}
		owning = true
		if len(successors) == 0 {
			continue
		}
		to := p.cluster.process(successors[p.cluster.sim.rng.IntN(len(successors))])
		p.cluster.sim.call(p.host, to.host, time.Second, func(reply func(any, error)) {
			if !to.draining {
				to.node(n.name).TakeOver(ownership.Term)
			}
			reply(nil, nil)
		}, func(any, error) {})
	}
	if !owning {
		p.dead = true
	}
}
