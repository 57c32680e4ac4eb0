// Package accountant keeps a ledger of the processors, memory, accelerators and
// slots of endpoints and racks, and searches it for free capacity.
package accountant

import (
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// ErrInsufficientCapacity is returned by Allocate when an endpoint lacks free
// capacity or accepts no work.
var ErrInsufficientCapacity = errors.New("endpoint has insufficient free capacity")

// Node is the account of one endpoint.
type Node struct {
	ID       modeler.InstanceID
	Zone     string
	Rack     int
	Capacity modeler.Resources
	// Allocated is the sum of the amounts charged for tasks on the endpoint.
	Allocated modeler.Resources
	// Excess is the last observed usage above Allocated.
	Excess modeler.Resources
	// Usable is false while nothing may be started on the endpoint.
	Usable bool
	// Quarantined is set while the endpoint is quarantined.
	Quarantined bool
	// Removed marks an account whose position may be reused.
	Removed bool
	// rackContribution is the part of the rack's free capacity on this endpoint.
	rackContribution modeler.Resources
}

// Free returns the unallocated capacity. A component is negative if adopted tasks or
// observed usage exceed the capacity.
func (n *Node) Free() modeler.Resources { return n.Capacity.Sub(n.Allocated).Sub(n.Excess) }

// schedulable reports whether tasks may be started on the endpoint.
func (n *Node) schedulable() bool { return n.Usable && !n.Quarantined && !n.Removed }

// Ledger holds the accounts of all endpoints of a partition. Endpoints are addressed
// by position. Positions are assigned in order of arrival, so that equal sequences of
// calls give equal positions.
type Ledger struct {
	positions     map[modeler.InstanceID]int
	nodes         []Node
	freePositions []int
	racks         []Rack
	rackNames     map[string]int
	free          maxTree
	// capacities indexes the capacities of the endpoints, rackFree the total free
	// capacity of the schedulable endpoints of each rack.
	capacities maxTree
	rackFree   maxTree
	total      modeler.Resources
	allocated  modeler.Resources
	count      int
	// releases counts the changes after which a task may fit that did not fit
	// before.
	releases uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{positions: make(map[modeler.InstanceID]int), rackNames: make(map[string]int)}
}

// Set adds an endpoint or updates its capacity, rack and usability. It returns the
// endpoint's position.
func (l *Ledger) Set(id modeler.InstanceID, zone, rack string, capacity modeler.Resources, usable bool) int {
	at, known := l.positions[id]
	if !known {
		at = l.unusedPosition()
		l.nodes[at] = Node{ID: id, Rack: -1}
		l.positions[id] = at
		l.count++
	}
	node := &l.nodes[at]
	l.total = l.total.Sub(node.Capacity).Add(capacity)
	node.Zone, node.Capacity, node.Usable = zone, capacity, usable
	l.capacities.set(at, capacity)
	if number := l.rackNumber(zone, rack); number != node.Rack {
		l.leaveRack(at)
		node.Rack = number
		l.racks[number].Members = append(l.racks[number].Members, at)
	}
	l.updateIndexes(at)
	l.releases++

	return at
}

// unusedPosition returns an unused position.
func (l *Ledger) unusedPosition() int {
	if n := len(l.freePositions); n > 0 {
		at := l.freePositions[n-1]
		l.freePositions = l.freePositions[:n-1]

		return at
	}
	l.nodes = append(l.nodes, Node{})

	return len(l.nodes) - 1
}

// Remove removes an endpoint and the amounts charged to it.
func (l *Ledger) Remove(id modeler.InstanceID) {
	at, known := l.positions[id]
	if !known {
		return
	}
	node := &l.nodes[at]
	l.total = l.total.Sub(node.Capacity)
	l.allocated = l.allocated.Sub(node.Allocated)
	l.leaveRack(at)
	*node = Node{ID: id, Rack: -1, Removed: true}
	l.free.set(at, unavailable)
	l.capacities.set(at, unavailable)
	delete(l.positions, id)
	l.freePositions = append(l.freePositions, at)
	l.count--
}

// Position returns the position of an endpoint.
func (l *Ledger) Position(id modeler.InstanceID) (int, bool) {
	at, known := l.positions[id]

	return at, known
}

// Node returns the account at a position. It must not be changed and is valid
// until the next call of Set.
func (l *Ledger) Node(at int) *Node { return &l.nodes[at] }

// Positions returns the number of positions, including those of removed endpoints.
func (l *Ledger) Positions() int { return len(l.nodes) }

// Count returns the number of endpoints.
func (l *Ledger) Count() int { return l.count }

// Total returns the sum of all capacities.
func (l *Ledger) Total() modeler.Resources { return l.total }

// Allocated returns the sum of the amounts charged to all endpoints.
func (l *Ledger) Allocated() modeler.Resources { return l.allocated }

// Releases returns a counter that grows whenever a task may fit that did not fit
// before.
func (l *Ledger) Releases() uint64 { return l.releases }

// Allocate charges amount to an endpoint. If the endpoint lacks free capacity or
// accepts no work, it changes nothing, counts a violation and returns
// ErrInsufficientCapacity.
func (l *Ledger) Allocate(at int, amount modeler.Resources) error {
	node := &l.nodes[at]
	if !node.schedulable() || !amount.Fits(node.Free()) {
		violations.Add(1)

		return errors.Wrapf(ErrInsufficientCapacity, "%s: requested %v, free %v", node.ID, amount, node.Free())
	}
	l.addAllocated(at, amount)

	return nil
}

// Adopt charges a task that already runs on the endpoint, even beyond its capacity.
func (l *Ledger) Adopt(at int, amount modeler.Resources) { l.addAllocated(at, amount) }

func (l *Ledger) addAllocated(at int, amount modeler.Resources) {
	l.nodes[at].Allocated = l.nodes[at].Allocated.Add(amount)
	l.allocated = l.allocated.Add(amount)
	l.updateIndexes(at)
}

// Release reverts a charge of Allocate or Adopt.
func (l *Ledger) Release(at int, amount modeler.Resources) {
	if l.nodes[at].Removed {
		return
	}
	l.addAllocated(at, amount.Scale(-1))
	l.releases++
}

// Observe records the observed usage of an endpoint. Usage above the charges reduces
// the free capacity. Usage below them does not increase it, because endpoints refuse
// tasks by their declared needs.
func (l *Ledger) Observe(at int, usage modeler.Resources) {
	node := &l.nodes[at]
	excess := usage.Sub(node.Allocated)
	excess = excess.Sub(excess.Min(modeler.Resources{}))
	if excess == node.Excess {
		return
	}
	node.Excess = excess
	l.updateIndexes(at)
	l.releases++
}

// SetQuarantined excludes an endpoint from new work or admits it again, independently
// of Usable.
func (l *Ledger) SetQuarantined(at int, quarantined bool) {
	l.nodes[at].Quarantined = quarantined
	l.updateIndexes(at)
	l.releases++
}

// updateIndexes updates the search indexes after a change of an account.
func (l *Ledger) updateIndexes(at int) {
	node := &l.nodes[at]
	free, contribution := unavailable, modeler.Resources{}
	if node.schedulable() {
		free = node.Free()
		contribution = free.Sub(free.Min(modeler.Resources{}))
	}
	l.free.set(at, free)
	l.setRackContribution(node, contribution)
}

// setRackContribution updates the free capacity that an endpoint contributes to its
// rack.
func (l *Ledger) setRackContribution(node *Node, contribution modeler.Resources) {
	if contribution == node.rackContribution {
		return
	}
	rack := &l.racks[node.Rack]
	rack.free = rack.free.Sub(node.rackContribution).Add(contribution)
	node.rackContribution = contribution
	l.rackFree.set(node.Rack, rack.free)
}
