// Package reporter computes four measures of a running system from the reports of
// its instances: waiting time, packing, control cost, and how close the use of each
// team is to its share. The computation does no I/O and reads no clock;
// MeasureProcess and Publish report the usage of this process.
package reporter

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// State is the part of the response to GET /v1/state that the measures use.
type State struct {
	Instance modeler.Instance `json:"instance"`
	Config   modeler.Offset   `json:"config"`
	Loads    []modeler.Load   `json:"loads"`
	Peers    []modeler.Peer   `json:"peers"`
}

// loads returns the load of each partition under its highest term, because peers may
// still report the load of a former owner.
func (s State) loads() []modeler.Load {
	latest := map[modeler.PartitionID]modeler.Load{}
	addLatest := func(loads []modeler.Load) {
		for _, load := range loads {
			if known, ok := latest[load.Partition]; !ok || load.Term > known.Term {
				latest[load.Partition] = load
			}
		}
	}
	addLatest(s.Loads)
	for _, peer := range s.Peers {
		addLatest(peer.Loads)
	}
	loads := make([]modeler.Load, 0, len(latest))
	for _, load := range latest {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b modeler.Load) int { return strings.Compare(string(a.Partition), string(b.Partition)) })

	return loads
}

// Measures is the report on a running system.
type Measures struct {
	Time    time.Time      `json:"time"`
	Config  modeler.Offset `json:"config"`
	Waits   []Wait         `json:"waits"`
	Packing []Packing      `json:"packing"`
	Shares  []Share        `json:"shares"`
	// Distance is the largest difference between a team's Part and Due.
	Distance float64 `json:"distance"`
	// Saturated reports whether at least 95% of some resource is in use. Shares take
	// effect only then.
	Saturated bool   `json:"full"`
	Costs     []Cost `json:"costs"`
}

// Packing is the use of a partition's capacity, as fractions of it.
type Packing struct {
	// Partition is "all" for the sum of all partitions.
	Partition    modeler.PartitionID `json:"partition"`
	Processors   float64             `json:"processors"`
	Memory       float64             `json:"memory"`
	Accelerators float64             `json:"accelerators"`
	Slots        float64             `json:"slots"`
	Queued       int                 `json:"queued"`
}

// Share compares the resource use of a team with its share.
type Share struct {
	Team modeler.TeamID `json:"team"`
	// Dominant is the dominant share: the largest fraction of a resource that the team
	// uses.
	Dominant float64 `json:"dominant"`
	// Part is the team's fraction of the sum of the dominant shares of all teams with
	// running work. Due is its fraction of the sum of their weights.
	Part     float64 `json:"part"`
	Due      float64 `json:"due"`
	Distance float64 `json:"distance"`
}

// saturatedFraction is the fraction in use at which a resource counts as saturated.
const saturatedFraction = 0.95

// Compute returns the measures at now.
func Compute(doc modeler.Document, state State, waits []Wait, costs []Cost, now time.Time) Measures {
	m := Measures{Time: now.UTC(), Config: state.Config, Waits: waits, Costs: costs, Packing: []Packing{}, Shares: []Share{}}
	var capacity, free modeler.Resources
	queued, usage := 0, map[modeler.TeamID]modeler.Resources{}
	for _, load := range state.loads() {
		capacity, free, queued = capacity.Add(load.Capacity), free.Add(load.Free), queued+load.Queued
		m.Packing = append(m.Packing, newPacking(load.Partition, load.Capacity, load.Free, load.Queued))
		for team, used := range load.Usage {
			usage[team] = usage[team].Add(used)
		}
	}
	all := newPacking("all", capacity, free, queued)
	m.Packing = append(m.Packing, all)
	m.Saturated = max(all.Processors, all.Memory, all.Accelerators, all.Slots) >= saturatedFraction
	m.computeShares(doc, usage, capacity)

	return m
}

// newPacking computes the fractions in use.
func newPacking(partition modeler.PartitionID, capacity, free modeler.Resources, queued int) Packing {
	used := capacity.Sub(free)

	return Packing{
		Partition:    partition,
		Processors:   fraction(used.Millis, capacity.Millis),
		Memory:       fraction(used.Memory, capacity.Memory),
		Accelerators: fraction(used.Accelerators, capacity.Accelerators),
		Slots:        fraction(used.Slots, capacity.Slots),
		Queued:       queued,
	}
}

// fraction returns part divided by whole, or 0 if whole is not positive.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}

	return float64(part) / float64(whole)
}

// computeShares computes the shares of the teams with running work.
func (m *Measures) computeShares(doc modeler.Document, usage map[modeler.TeamID]modeler.Resources, capacity modeler.Resources) {
	var dominants, weights float64
	for _, team := range doc.Teams {
		dominant := usage[team.Name].DominantShare(capacity)
		if dominant <= 0 {
			continue
		}
		m.Shares = append(m.Shares, Share{Team: team.Name, Dominant: dominant, Due: float64(team.Share)})
		dominants, weights = dominants+dominant, weights+float64(team.Share)
	}
	for i := range m.Shares {
		share := &m.Shares[i]
		share.Part, share.Due = share.Dominant/dominants, share.Due/weights
		share.Distance = math.Abs(share.Part - share.Due)
		m.Distance = max(m.Distance, share.Distance)
	}
	slices.SortFunc(m.Shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Distance, a.Distance), strings.Compare(string(a.Team), string(b.Team)))
	})
}
