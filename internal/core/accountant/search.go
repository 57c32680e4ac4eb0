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

// rackNumber returns the number of a rack, creating the rack if it is new. Racks of
// the same name in different availability zones are distinct.
func (l *Ledger) rackNumber(zone, name string) int {
	key := zone + "/" + name
	if number, known := l.rackNames[key]; known {
		return number
	}
	l.racks = append(l.racks, Rack{Name: key})
	l.rackNames[key] = len(l.racks) - 1

	return len(l.racks) - 1
}

// leaveRack removes an endpoint from its rack.
func (l *Ledger) leaveRack(at int) {
	number := l.nodes[at].Rack
	if number < 0 {
		return
	}
	l.setRackContribution(&l.nodes[at], modeler.Resources{})
	members := l.racks[number].Members
	for i, member := range members {
		if member == at {
			l.racks[number].Members = slices.Delete(members, i, i+1)

			break
		}
	}
	l.nodes[at].Rack = -1
}

// Racks returns the racks in the order in which they were first named.
func (l *Ledger) Racks() []Rack { return l.racks }

// MayFit reports whether needs may fit some endpoint. If it reports false, they fit
// none.
func (l *Ledger) MayFit(needs modeler.Resources) bool { return needs.Fits(l.free.largest()) }

// NextWithRoom returns the first position, starting at from, of a schedulable
// endpoint that has room for needs, or -1 if there is none.
func (l *Ledger) NextWithRoom(from int, needs modeler.Resources) int { return l.free.next(from, needs) }

// FitsEmpty reports whether needs would fit some endpoint if it were empty.
func (l *Ledger) FitsEmpty(needs modeler.Resources) bool { return l.capacities.next(0, needs) >= 0 }

// NextRackWithRoom returns the number of the first rack, starting at from, whose
// schedulable endpoints together have needs free, or -1 if there is none. No single
// endpoint need have room for needs.
func (l *Ledger) NextRackWithRoom(from int, needs modeler.Resources) int {
	return l.rackFree.next(from, needs)
}

// MaxCopies returns how many tasks with the given needs fit into free, at most 1<<30.
func MaxCopies(needs, free modeler.Resources) int {
	const unlimited = int64(1) << 30
	count := unlimited
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

// MaxCopiesAt returns how many tasks with the given needs have room on the endpoint at
// a position; zero if the endpoint is not schedulable.
func (l *Ledger) MaxCopiesAt(at int, needs modeler.Resources) int {
	node := &l.nodes[at]
	if !node.schedulable() {
		return 0
	}

	return MaxCopies(needs, node.Free())
}
