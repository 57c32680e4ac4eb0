// Package accountant keeps the ledger of processors, memory, accelerators and
// slots by endpoint and rack.
package accountant

import (
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// ErrInsufficientCapacity is returned when taking resources would give an endpoint more than
// it has.
var ErrInsufficientCapacity = errors.New("endpoint would be given more than it has")

// Node is the account of one endpoint.
type Node struct {
	ID       modeler.InstanceID
	Zone     string
	Rack     int
	Capacity modeler.Resources
	// Allocated is the sum of what the tasks on the endpoint were charged.
	Allocated modeler.Resources
	// Excess is what the endpoint was last seen to use above Taken.
	Excess modeler.Resources
	// Usable is unset while nothing may be started on the endpoint.
	Usable bool
	// Quarantined is set while the endpoint is quarantined.
	Quarantined bool
	// Removed marks an account whose position may be used again.
	Removed bool
	// offered is what the endpoint adds to the free sum of its rack.
	offered modeler.Resources
}

// Free returns what may still be given away; a component can be negative when
// adopted tasks or observed use exceed the capacity.
func (n *Node) Free() modeler.Resources { return n.Capacity.Sub(n.Allocated).Sub(n.Excess) }

// open reports whether work may be started on the endpoint.
func (n *Node) open() bool { return n.Usable && !n.Quarantined && !n.Removed }

// Ledger is the account of every endpoint of a partition. Endpoints are
// addressed by position; positions are assigned in order of arrival, so that
// equal input sequences give equal positions.
type Ledger struct {
	positions map[modeler.InstanceID]int
	nodes     []Node
	vacant    []int
	racks     []Rack
	rackNames map[string]int
	index     tree
	// capacities and rackFree index what endpoints hold when empty, and what
	// the open endpoints of a rack have free together.
	capacities tree
	rackFree   tree
	total      modeler.Resources
	taken      modeler.Resources
	count      int
	// releases counts the changes that can make a task fit that did not fit
	// before.
	releases uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{positions: make(map[modeler.InstanceID]int), rackNames: make(map[string]int)}
}

// Set adds an endpoint or changes its capacity, rack and usability. It returns
// the endpoint's position.
func (l *Ledger) Set(id modeler.InstanceID, zone, rack string, capacity modeler.Resources, usable bool) int {
	at, known := l.positions[id]
	if !known {
		at = l.position()
		l.nodes[at] = Node{ID: id, Rack: -1}
		l.positions[id] = at
		l.count++
	}
	node := &l.nodes[at]
	l.total = l.total.Sub(node.Capacity).Add(capacity)
	node.Zone, node.Capacity, node.Usable = zone, capacity, usable
	l.capacities.set(at, capacity)
	if number := l.rack(zone, rack); number != node.Rack {
		l.leaveRack(at)
		node.Rack = number
		l.racks[number].Members = append(l.racks[number].Members, at)
	}
	l.refresh(at)
	l.releases++

	return at
}

// position returns an unused position.
func (l *Ledger) position() int {
	if n := len(l.vacant); n > 0 {
		at := l.vacant[n-1]
		l.vacant = l.vacant[:n-1]

		return at
	}
	l.nodes = append(l.nodes, Node{})

	return len(l.nodes) - 1
}

// Remove drops an endpoint and what is charged to it.
func (l *Ledger) Remove(id modeler.InstanceID) {
	at, known := l.positions[id]
	if !known {
		return
	}
	node := &l.nodes[at]
	l.total = l.total.Sub(node.Capacity)
	l.taken = l.taken.Sub(node.Allocated)
	l.leaveRack(at)
	*node = Node{ID: id, Rack: -1, Removed: true}
	l.index.set(at, closed)
	l.capacities.set(at, closed)
	delete(l.positions, id)
	l.vacant = append(l.vacant, at)
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

// Positions returns the number of positions, removed endpoints included.
func (l *Ledger) Positions() int { return len(l.nodes) }

// Count returns the number of endpoints.
func (l *Ledger) Count() int { return l.count }

// Total returns the sum of all capacities.
func (l *Ledger) Total() modeler.Resources { return l.total }

// Allocated returns the sum of all charges.
func (l *Ledger) Allocated() modeler.Resources { return l.taken }

// Releases grows whenever a task may fit that did not fit before.
func (l *Ledger) Releases() uint64 { return l.releases }

// Allocate charges amount to an endpoint. It refuses with ErrOver, and changes
// nothing, when the endpoint lacks room or takes no work.
func (l *Ledger) Allocate(at int, amount modeler.Resources) error {
	node := &l.nodes[at]
	if !node.open() || !amount.Fits(node.Free()) {
		violations.Add(1)

		return errors.Wrapf(ErrInsufficientCapacity, "%s: %v of %v free", node.ID, amount, node.Free())
	}
	l.charge(at, amount)

	return nil
}

// Adopt charges a task that already runs on the endpoint, whether or not there
// is room for it.
func (l *Ledger) Adopt(at int, amount modeler.Resources) { l.charge(at, amount) }

func (l *Ledger) charge(at int, amount modeler.Resources) {
	l.nodes[at].Allocated = l.nodes[at].Allocated.Add(amount)
	l.taken = l.taken.Add(amount)
	l.refresh(at)
}

// Release gives back what Take or Adopt charged.
func (l *Ledger) Release(at int, amount modeler.Resources) {
	if l.nodes[at].Removed {
		return
	}
	l.charge(at, amount.Scale(-1))
	l.releases++
}

// Observe records what the endpoint was seen to use. Use above the charges
// reduces what is free; use below them does not increase it, because an
// endpoint refuses tasks by their declared sizes.
func (l *Ledger) Observe(at int, usage modeler.Resources) {
	node := &l.nodes[at]
	excess := usage.Sub(node.Allocated)
	excess = excess.Sub(excess.Min(modeler.Resources{}))
	if excess == node.Excess {
		return
	}
	node.Excess = excess
	l.refresh(at)
	l.releases++
}

// SetQuarantined closes an endpoint for new work or opens it again, apart from Usable.
func (l *Ledger) SetQuarantined(at int, held bool) {
	l.nodes[at].Quarantined = held
	l.refresh(at)
	l.releases++
}

// refresh brings the index up to date with a changed account.
func (l *Ledger) refresh(at int) {
	node := &l.nodes[at]
	free, offered := closed, modeler.Resources{}
	if node.open() {
		free = node.Free()
		offered = free.Sub(free.Min(modeler.Resources{}))
	}
	l.index.set(at, free)
	l.offer(node, offered)
}

// offer changes what an endpoint adds to the free sum of its rack.
func (l *Ledger) offer(node *Node, offered modeler.Resources) {
	if offered == node.offered {
		return
	}
	rack := &l.racks[node.Rack]
	rack.free = rack.free.Sub(node.offered).Add(offered)
	node.offered = offered
	l.rackFree.set(node.Rack, rack.free)
}
