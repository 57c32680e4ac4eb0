package accountant

import (
	"slices"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Rack is a group of endpoints behind one switch.
type Rack struct {
	Name    string
	Members []int
	free    modeler.Resources
}

// rack returns the number of a rack, creating it if it is new. Equal rack
// names in different availability zones are different racks.
func (l *Ledger) rack(zone, name string) int {
	key := zone + "/" + name
	if number, known := l.rackNames[key]; known {
		return number
	}
	l.racks = append(l.racks, Rack{Name: key})
	l.rackNames[key] = len(l.racks) - 1

	return len(l.racks) - 1
}

// leaveRack takes an endpoint out of its rack.
func (l *Ledger) leaveRack(at int) {
	number := l.nodes[at].Rack
	if number < 0 {
		return
	}
	l.offer(&l.nodes[at], modeler.Resources{})
	members := l.racks[number].Members
	for i, member := range members {
		if member == at {
			l.racks[number].Members = slices.Delete(members, i, i+1)

			break
		}
	}
	l.nodes[at].Rack = -1
}

// Racks returns the racks in order of their first endpoint.
func (l *Ledger) Racks() []Rack { return l.racks }

// MayFit reports whether an endpoint could hold needs; false is certain.
func (l *Ledger) MayFit(needs modeler.Resources) bool { return needs.Fits(l.index.top()) }

// NextWithRoom returns the first position not below from that has room for needs, or
// -1 if there is none.
func (l *Ledger) NextWithRoom(from int, needs modeler.Resources) int { return l.index.next(from, needs) }

// FitsEmpty reports whether needs would fit some endpoint if it were empty.
func (l *Ledger) FitsEmpty(needs modeler.Resources) bool { return l.capacities.next(0, needs) >= 0 }

// NextRackWithRoom returns the first rack not below from whose open endpoints have
// needs free together, or -1 if there is none. A single endpoint need not have
// it.
func (l *Ledger) NextRackWithRoom(from int, needs modeler.Resources) int { return l.rackFree.next(from, needs) }

// MaxCopies returns how many times needs fits into free.
func MaxCopies(needs, free modeler.Resources) int {
	const many = int64(1) << 30
	count := many
	for _, c := range [...][2]int64{
		{needs.Millis, free.Millis}, {needs.Memory, free.Memory},
		{needs.Accelerators, free.Accelerators}, {needs.Slots, free.Slots},
	} {
		if c[1] < 0 {
			return 0
		}
		if c[0] > 0 {
			count = min(count, c[1]/c[0])
		}
	}

	return int(count)
}

// MaxCopiesAt returns how many copies of needs the open endpoint at a position holds.
func (l *Ledger) MaxCopiesAt(at int, needs modeler.Resources) int {
	node := &l.nodes[at]
	if !node.open() {
		return 0
	}

	return MaxCopies(needs, node.Free())
}
