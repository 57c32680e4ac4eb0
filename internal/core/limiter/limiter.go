// Package limiter divides a team's upper limit among the partitions. Every
// partition holds a number of parts of the limit, and its allotment is that
// fraction of the limit, rounded down. The parts of all partitions add up to
// the scale, so the allotments never add up to more than the limit, and a
// changed limit scales all allotments in the same direction at once.
package limiter

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// partsPerWeight is how many parts one unit of weight stands for. It is the
// least common multiple of 1 to 16, so that small integer limits divide
// without loss.
const partsPerWeight = 720720

// LayoutHash identifies the partitions and weights of a document; gifts made under
// another shape do not count.
func LayoutHash(doc modeler.Document) uint64 {
	digest := xxhash.New()
	for _, p := range doc.Partitions {
		_, _ = digest.WriteString(string(p.Name))
		_, _ = digest.Write([]byte{0, byte(p.Weight), byte(p.Weight >> 8), byte(p.Weight >> 16), byte(p.Weight >> 24)})
	}

	return digest.Sum64()
}

// TotalParts returns the number of parts of all partitions together.
func TotalParts(doc modeler.Document) int64 {
	var weights int64
	for _, p := range doc.Partitions {
		weights += p.Weight
	}

	return weights * partsPerWeight
}

// Allotment returns what a team may have running in a partition. Net is the
// sum of the parts received less the parts given under the present shape. It
// returns zero for an unknown partition or team.
func Allotment(doc modeler.Document, partition modeler.PartitionID, team modeler.TeamID, net modeler.Resources) modeler.Resources {
	limit, ok := limitOf(doc, team)
	if !ok {
		return modeler.Resources{}
	}
	held := partsOf(doc, partition).Add(net)
	scale := TotalParts(doc)

	return each(func(get func(modeler.Resources) int64) int64 {
		return portion(get(limit), get(held), scale)
	})
}

// Portion is how much of its idle parts a partition hands over at most.
type Portion int

// The portions of the idle parts.
const (
	PortionNone Portion = iota
	PortionHalf
	PortionAll
)

// TransferableParts returns the parts that a partition can hand over to satisfy wanted: it
// keeps what is in use and hands over at most the portion of the rest. It
// returns zero parts when there is nothing to give.
func TransferableParts(
	doc modeler.Document, partition modeler.PartitionID, team modeler.TeamID, net, inUse, wanted modeler.Resources, portion Portion,
) modeler.Resources {
	limit, ok := limitOf(doc, team)
	if !ok || portion == PortionNone {
		return modeler.Resources{}
	}
	held := partsOf(doc, partition).Add(net)
	scale := TotalParts(doc)

	return each(func(get func(modeler.Resources) int64) int64 {
		if get(limit) <= 0 || get(wanted) <= 0 {
			return 0
		}
		used := partsFor(get(inUse), get(limit), scale)
		idle := get(held) - used
		if idle <= 0 {
			return 0
		}

		if portion == PortionHalf {
			idle = (idle + 1) / 2
		}

		return min(partsFor(get(wanted), get(limit), scale), idle)
	})
}

// partsOf returns the parts that a partition holds before any gift.
func partsOf(doc modeler.Document, partition modeler.PartitionID) modeler.Resources {
	for _, p := range doc.Partitions {
		if p.Name == partition {
			parts := p.Weight * partsPerWeight

			return modeler.Resources{Millis: parts, Memory: parts, Accelerators: parts, Slots: parts}
		}
	}

	return modeler.Resources{}
}

// limitOf returns the team's upper limit.
func limitOf(doc modeler.Document, team modeler.TeamID) (modeler.Resources, bool) {
	for _, t := range doc.Teams {
		if t.Name == team {
			return t.Limit, true
		}
	}

	return modeler.Resources{}, false
}

// portion returns limit*parts/scale rounded down, without overflow.
func portion(limit, parts, scale int64) int64 {
	if limit <= 0 || parts <= 0 || scale <= 0 {
		return 0
	}
	parts = min(parts, scale)
	high, low := bits.Mul64(uint64(limit), uint64(parts))
	quotient, _ := bits.Div64(high, low, uint64(scale))

	return int64(quotient)
}

// partsFor returns the least number of parts whose portion of limit is at
// least amount.
func partsFor(amount, limit, scale int64) int64 {
	if amount <= 0 || limit <= 0 {
		return 0
	}
	if amount >= limit {
		return scale
	}
	high, low := bits.Mul64(uint64(amount), uint64(scale))
	quotient, rest := bits.Div64(high, low, uint64(limit))
	if rest > 0 {
		quotient++
	}

	return int64(quotient)
}

// each builds resources by applying f to each component.
func each(f func(get func(modeler.Resources) int64) int64) modeler.Resources {
	return modeler.Resources{
		Millis:       f(func(r modeler.Resources) int64 { return r.Millis }),
		Memory:       f(func(r modeler.Resources) int64 { return r.Memory }),
		Accelerators: f(func(r modeler.Resources) int64 { return r.Accelerators }),
		Slots:        f(func(r modeler.Resources) int64 { return r.Slots }),
	}
}
