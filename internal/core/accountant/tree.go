package accountant

import "gitlab.com/greengagewall/greengagewall/internal/domain/modeler"

// closed marks an endpoint that takes no work; even an empty task does not fit.
var closed = modeler.Resources{Millis: -1, Memory: -1, Accelerators: -1, Slots: -1}

// tree is a segment tree over positions that keeps the componentwise maximum of
// what is free below each inner node. An update costs the logarithm of the
// number of endpoints, and so does a search while one component is scarce.
type tree struct {
	size  int
	nodes []modeler.Resources
}

// set changes the leaf at a position and grows the tree as needed.
func (t *tree) set(at int, free modeler.Resources) {
	if at >= t.size {
		t.grow(at + 1)
	}
	i := t.size + at
	t.nodes[i] = free
	for i >>= 1; i >= 1; i >>= 1 {
		merged := larger(t.nodes[2*i], t.nodes[2*i+1])
		if merged == t.nodes[i] {
			return
		}
		t.nodes[i] = merged
	}
}

// grow rebuilds the tree with room for at least n leaves.
func (t *tree) grow(n int) {
	size := max(t.size, 64)
	for size < n {
		size *= 2
	}
	nodes := make([]modeler.Resources, 2*size)
	for i := range nodes {
		nodes[i] = closed
	}
	copy(nodes[size:], t.nodes[t.size:])
	for i := size - 1; i >= 1; i-- {
		nodes[i] = larger(nodes[2*i], nodes[2*i+1])
	}
	t.size, t.nodes = size, nodes
}

// top returns the componentwise maximum of what is free.
func (t *tree) top() modeler.Resources {
	if t.size == 0 {
		return closed
	}

	return t.nodes[1]
}

// next returns the first position not below from whose leaf holds needs, or -1.
func (t *tree) next(from int, needs modeler.Resources) int {
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
		// Climb while i is a right child, then step to the sibling; a power of
		// two means that the last leaf was passed.
		for i&1 == 1 {
			i >>= 1
			if i == 0 {
				return -1
			}
		}
		i++
	}
}

// larger returns the componentwise maximum.
func larger(a, b modeler.Resources) modeler.Resources {
	return modeler.Resources{
		Millis: max(a.Millis, b.Millis), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators), Slots: max(a.Slots, b.Slots),
	}
}
