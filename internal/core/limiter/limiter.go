// Package limiter divides a team's limit among the partitions. The limit consists of
// a fixed number of equal parts. Every partition holds some of them, initially by its
// weight, and can transfer idle ones to other partitions. Its allotment is that
// fraction of the limit, rounded down, so the allotments never add up to more than the
// limit, and a changed limit scales all allotments in the same direction at once.
package limiter

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// partsPerWeight is the number of parts per unit of weight. It is the least common
// multiple of 1 to 16, so that small integer limits divide without loss.
const partsPerWeight = 720720

// LayoutHash returns a hash of the names and weights of a document's partitions.
// Transfers of parts made under a different layout do not count.
func LayoutHash(doc modeler.Document) uint64 {
	hash := xxhash.New()
	for _, p := range doc.Partitions {
		_, _ = hash.WriteString(string(p.Name))
		_, _ = hash.Write([]byte{0, byte(p.Weight), byte(p.Weight >> 8), byte(p.Weight >> 16), byte(p.Weight >> 24)})
	}

	return hash.Sum64()
}

// TotalParts returns the number of parts that every limit consists of.
func TotalParts(doc modeler.Document) int64 {
	var weights int64
	for _, p := range doc.Partitions {
		weights += p.Weight
	}

	return weights * partsPerWeight
}

// Allotment returns the resources that a team may use in a partition. The argument
// transferred is the number of parts received less those given away under the current
// layout. Allotment returns zero for an unknown team, and for an unknown partition that
// has received no parts.
func Allotment(doc modeler.Document, partition modeler.PartitionID, team modeler.TeamID, transferred modeler.Resources) modeler.Resources {
	limit, ok := limitOf(doc, team)
	if !ok {
		return modeler.Resources{}
	}
	parts := initialParts(doc, partition).Add(transferred)
	totalParts := TotalParts(doc)

	return mapComponents(func(get func(modeler.Resources) int64) int64 {
		return allotted(get(limit), get(parts), totalParts)
	})
}

// Portion bounds the fraction of its idle parts that a partition transfers.
type Portion int

// The portions of the idle parts that a partition may transfer.
const (
	PortionNone Portion = iota
	PortionHalf
	PortionAll
)

// TransferableParts returns the number of parts that a partition can transfer to
// satisfy wanted. It keeps what is in use and transfers at most the given portion of
// the rest. It returns zero if nothing can be transferred.
func TransferableParts(
	doc modeler.Document, partition modeler.PartitionID, team modeler.TeamID, transferred, inUse, wanted modeler.Resources, portion Portion,
) modeler.Resources {
	limit, ok := limitOf(doc, team)
	if !ok || portion == PortionNone {
		return modeler.Resources{}
	}
	parts := initialParts(doc, partition).Add(transferred)
	totalParts := TotalParts(doc)

	return mapComponents(func(get func(modeler.Resources) int64) int64 {
		if get(limit) <= 0 || get(wanted) <= 0 {
			return 0
		}
		used := partsNeeded(get(inUse), get(limit), totalParts)
		idle := get(parts) - used
		if idle <= 0 {
			return 0
		}

		if portion == PortionHalf {
			idle = (idle + 1) / 2
		}

		return min(partsNeeded(get(wanted), get(limit), totalParts), idle)
	})
}

// initialParts returns the parts that a partition holds before any transfer.
func initialParts(doc modeler.Document, partition modeler.PartitionID) modeler.Resources {
	for _, p := range doc.Partitions {
		if p.Name == partition {
			parts := p.Weight * partsPerWeight

			return modeler.Resources{Millis: parts, Memory: parts, Accelerators: parts, Slots: parts}
		}
	}

	return modeler.Resources{}
}

// limitOf returns the limit of a team and whether the team is known.
func limitOf(doc modeler.Document, team modeler.TeamID) (modeler.Resources, bool) {
	for _, t := range doc.Teams {
		if t.Name == team {
			return t.Limit, true
		}
	}

	return modeler.Resources{}, false
}

// allotted returns limit*parts/totalParts, rounded down, without overflow.
func allotted(limit, parts, totalParts int64) int64 {
	if limit <= 0 || parts <= 0 || totalParts <= 0 {
		return 0
	}
	parts = min(parts, totalParts)
	high, low := bits.Mul64(uint64(limit), uint64(parts))
	quotient, _ := bits.Div64(high, low, uint64(totalParts))

	return int64(quotient)
}

// partsNeeded returns the smallest number of parts whose fraction of limit is at least
// amount.
func partsNeeded(amount, limit, totalParts int64) int64 {
	if amount <= 0 || limit <= 0 {
		return 0
	}
	if amount >= limit {
		return totalParts
	}
	high, low := bits.Mul64(uint64(amount), uint64(totalParts))
	quotient, rest := bits.Div64(high, low, uint64(limit))
	if rest > 0 {
		quotient++
	}

	return int64(quotient)
}

// mapComponents returns the result of f for each component. The argument of f extracts
// the component from a resource vector.
func mapComponents(f func(get func(modeler.Resources) int64) int64) modeler.Resources {
	return modeler.Resources{
		Millis:       f(func(r modeler.Resources) int64 { return r.Millis }),
		Memory:       f(func(r modeler.Resources) int64 { return r.Memory }),
		Accelerators: f(func(r modeler.Resources) int64 { return r.Accelerators }),
		Slots:        f(func(r modeler.Resources) int64 { return r.Slots }),
	}
}
