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

// The pace and the bounds of package gossiper.
const (
	listEvery   = time.Second
	beatEvery   = 300 * time.Millisecond
	beatTimeout = 600 * time.Millisecond
	forgetAfter = 10 * time.Second
	pullTimeout = 2 * time.Second
	configEvery = 250 * time.Millisecond
	// heardFor is how old a heartbeat may be that shows an owner.
	heardFor = 1200 * time.Millisecond
	// drainFor is how long a draining process lives at most.
	drainFor = 12 * time.Second
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

// beat is what a heartbeat says.
type beat struct {
	peer  modeler.Peer
	fresh time.Duration
	known bool
}

func newProcess(c *cluster, name string, region int) *process {
	p := &process{host: &host{name: name, region: region}, cluster: c, peers: map[modeler.InstanceID]modeler.Peer{}, applied: -1}
	p.instance = modeler.Instance{ID: modeler.InstanceID(name), Kind: modeler.KindEntry, Region: regions[region], Zone: regions[region], State: modeler.StateLive}
	p.follower = follower.New(
		follower.WithLog(prompt{c.log, p.host}), follower.WithLogger(hclog.NewNullLogger()),
		follower.WithClock(func() time.Time { return c.world.now }), follower.WithJitter(func() float64 { return 0 }),
	)
	p.list()
	c.world.every(listEvery, p.host, p.list)
	c.world.every(beatEvery, p.host, p.beats)
	c.world.every(configEvery, p.host, p.config)
	p.config()
	for _, part := range c.document.Partitions {
		p.nodes = append(p.nodes, newNode(p, part))
	}

	return p
}

// list reads the platform's list.
func (p *process) list() {
	p.listed = p.cluster.listed
	for _, id := range sortedKeys(p.peers) {
		if heard := p.peers[id].LastHeartbeat; !p.lists(id) && p.cluster.world.now.Sub(heard) > forgetAfter {
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

func (p *process) lists(id modeler.InstanceID) bool {
	for _, instance := range p.listed {
		if instance.ID == id {
			return true
		}
	}

	return false
}

// config follows the stream of the configuration.
func (p *process) config() {
	_ = p.follower.Poll(context.Background()) // Outages are expected.
	p.checkOffset()
}

// checkOffset checks that the offset in force was accepted and never reverts.
func (p *process) checkOffset() {
	_, offset, ok := p.follower.InForce()
	if !ok {
		return
	}
	w := p.cluster.world
	w.checkf(checkConfig, offset >= p.applied, "%s went from offset %d to %d", p.name, p.applied, offset)
	w.checkf(checkConfig, p.cluster.accepted[offset], "%s has offset %d in force, which was not accepted", p.name, offset)
	p.applied = offset
}

// state returns what the process says of itself.
func (p *process) state() beat {
	_, offset, _ := p.follower.InForce()
	b := beat{peer: modeler.Peer{Instance: p.instance, Draining: p.draining, Config: offset}}
	b.fresh, b.known = p.follower.ConfigAge(p.cluster.world.now)
	for _, n := range p.nodes {
		if load, ok := n.Load(); ok {
			b.peer.Loads = append(b.peer.Loads, load)
		}
	}

	return b
}

// heard takes over what a peer says of itself.
func (p *process) heard(b beat, at time.Time) {
	if known, ok := p.peers[b.peer.Instance.ID]; ok && known.LastHeartbeat.After(at) {
		return
	}
	b.peer.LastHeartbeat = at
	p.peers[b.peer.Instance.ID] = b.peer
	_, offset, _ := p.follower.InForce()
	if b.peer.Config > offset {
		p.pull(b.peer.Instance.ID)
	}
}

// beats sends heartbeats to all peers.
func (p *process) beats() {
	w := p.cluster.world
	for _, id := range sortedKeys(p.peers) {
		to := p.cluster.process(id)
		sent, mine := w.now, p.state()
		w.call(p.host, to.host, beatTimeout, func(reply func(any, error)) {
			to.heard(mine, w.now)
			reply(to.state(), nil)
		}, func(value any, err error) {
			if b, ok := value.(beat); ok && err == nil {
				p.heard(b, sent)
				if b.known {
					p.follower.Confirm(b.peer.Config, b.fresh+w.now.Sub(sent))
				}
			}
		})
	}
}

// pull fetches the configuration of a peer.
func (p *process) pull(id modeler.InstanceID) {
	to := p.cluster.process(id)
	type pulled struct {
		doc    modeler.Document
		offset modeler.Offset
	}
	p.cluster.world.call(p.host, to.host, pullTimeout, func(reply func(any, error)) {
		doc, offset, _ := to.follower.InForce()
		reply(pulled{doc, offset}, nil)
	}, func(value any, err error) {
		if got, ok := value.(pulled); ok && err == nil {
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

// endpointsOf returns the endpoints of a partition.
func (p *process) endpointsOf(name modeler.PartitionID) []modeler.Instance {
	return slices.DeleteFunc(p.Endpoints(), func(i modeler.Instance) bool {
		return elector.PartitionOf(p.cluster.document, i) != name
	})
}

// node returns a partition at this process.
func (p *process) node(name modeler.PartitionID) *node {
	for _, n := range p.nodes {
		if n.name == name {
			return n
		}
	}

	return nil
}

// gifts returns the gifts of the other partitions to one.
func (p *process) gifts(to modeler.PartitionID) []encoder.Transfer {
	var gifts []encoder.Transfer
	for _, n := range p.nodes {
		if n.name != to {
			gifts = append(gifts, n.TransfersTo(to)...)
		}
	}

	return gifts
}

// owner returns the process that seems to own a partition.
func (p *process) owner(name modeler.PartitionID) *process {
	n := p.node(name)
	if n.Owning() {
		return p
	}
	found, term := n.Ownership().Owner, n.Ownership().Term
	for _, id := range sortedKeys(p.peers) {
		peer := p.peers[id]
		if p.cluster.world.now.Sub(peer.LastHeartbeat) > heardFor {
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
		p.cluster.world.call(p.host, to.host, timeout, func(reply func(any, error)) {
			to.node(name).request(timeout, build, func(value any, refusal *modeler.Refusal) {
				reply(answer{value, refusal}, nil)
			})
		}, func(value any, err error) {
			got, ok := value.(answer)
			switch {
			case ok && err == nil:
				done(got.reply, got.refusal)
			case err == errTimeout: //nolint:errorlint // The world returns this value itself.
				done(nil, modeler.Unknown(modeler.CodeLostAnswer, time.Second, "the owner did not answer"))
			default:
				done(nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "the owner was not reached"))
			}
		})
	}
}

// drain hands over the partitions and ends the process.
func (p *process) drain() {
	p.draining = true
	for _, n := range p.nodes {
		n.Drain()
	}
	w := p.cluster.world
	for at := 2 * time.Second; at < drainFor; at += 2 * time.Second {
		w.after(at, p.host, p.handOver)
	}
	w.after(drainFor, p.host, func() { p.dead = true })
}

// handOver asks successors to take over, or ends the process if it owns
// nothing.
func (p *process) handOver() {
	owning := false
	for _, n := range p.nodes {
		successors := n.Ownership().Successors
		if !n.Owning() {
			continue
		}
		owning = true
		if len(successors) == 0 {
			continue
		}
		to := p.cluster.process(successors[p.cluster.world.rng.IntN(len(successors))])
		p.cluster.world.call(p.host, to.host, time.Second, func(reply func(any, error)) {
			if !to.draining {
				to.node(n.name).TakeOver()
			}
			reply(nil, nil)
		}, func(any, error) {})
	}
	if !owning {
		p.dead = true
	}
}
