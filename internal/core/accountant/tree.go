package accountant

import "gitlab.com/greengagewall/greengagewall/internal/domain/modeler"

// unavailable is the free capacity of an endpoint that accepts no work. Even zero
// needs do not fit.
var unavailable = modeler.Resources{Millis: -1, Memory: -1, Accelerators: -1, Slots: -1}

// maxTree is a segment tree over positions whose inner nodes hold the componentwise
// maximum of their leaves. An update takes time logarithmic in the number of
// positions, and so does a search while only one component is scarce.
type maxTree struct {
	size  int
	nodes []modeler.Resources
}

// set sets the leaf at a position and grows the tree as needed.
func (t *maxTree) set(at int, free modeler.Resources) {
	if at >= t.size {
		t.grow(at + 1)
	}
	i := t.size + at
	t.nodes[i] = free
	for i >>= 1; i >= 1; i >>= 1 {
		merged := maxOf(t.nodes[2*i], t.nodes[2*i+1])
		if merged == t.nodes[i] {
			return
		}
		t.nodes[i] = merged
	}
}

// grow rebuilds the tree with room for at least n leaves.
func (t *maxTree) grow(n int) {
	size := max(t.size, 64)
	for size < n {
		size *= 2
	}
	nodes := make([]modeler.Resources, 2*size)
	for i := range nodes {
		nodes[i] = unavailable
	}
	copy(nodes[size:], t.nodes[t.size:])
	for i := size - 1; i >= 1; i-- {
		nodes[i] = maxOf(nodes[2*i], nodes[2*i+1])
	}
	t.size, t.nodes = size, nodes
}

// largest returns the componentwise maximum of all leaves.
func (t *maxTree) largest() modeler.Resources {
	if t.size == 0 {
		return unavailable
	}

	return t.nodes[1]
}

// next returns the first position, starting at from, whose leaf has room for needs, or
// -1 if there is none.
func (t *maxTree) next(from int, needs modeler.Resources) int {
	if from >= t.size {
		return -1
	}
	i := t.size + from
	for {
		if needs.Fits(t.nodes[i]) {
			if i >= t.size {
				return i - t.size
			}
			i *= 2

			continue
		}
		// Climb while i is a right child, then move to the sibling. Reaching the
		// root means that no leaves are left.
		for i&1 == 1 {
			i >>= 1
			if i == 0 {
				return -1
			}
		}
		i++
	}
}

// maxOf returns the componentwise maximum of a and b.
func maxOf(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(a.Millis, b.Millis), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}
