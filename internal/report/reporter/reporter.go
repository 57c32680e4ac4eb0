// Package reporter computes the four measures of a running system from what
// its instances report: waiting time, packing, control cost, and how close
// each team comes to its share. It is a pure core.
package reporter

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// State is the part of the answer to GET /v1/state that the measures use.
type State struct {
	Instance modeler.Instance `json:"instance"`
	Config   modeler.Offset   `json:"config"`
	Loads    []modeler.Load   `json:"loads"`
	Peers    []modeler.Peer   `json:"peers"`
}

// loads returns the load of every partition under its highest term, since a
// former owner may still be heard.
func (s State) loads() []modeler.Load {
	latest := map[modeler.PartitionID]modeler.Load{}
	take := func(loads []modeler.Load) {
		for _, load := range loads {
			if known, ok := latest[load.Partition]; !ok || load.Term > known.Term {
				latest[load.Partition] = load
			}
		}
	}
	take(s.Loads)
	for _, peer := range s.Peers {
		take(peer.Loads)
	}
	loads := make([]modeler.Load, 0, len(latest))
	for _, load := range latest {
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b modeler.Load) int { return strings.Compare(string(a.Partition), string(b.Partition)) })

	return loads
}

// Measures is the report of a running system.
type Measures struct {
	Time    time.Time      `json:"time"`
	Config  modeler.Offset `json:"config"`
	Waits   []Wait         `json:"waits"`
	Packing []Packing      `json:"packing"`
	Shares  []Share        `json:"shares"`
	// Distance is the largest distance of a team from its share.
	Distance float64 `json:"distance"`
	// Saturated reports whether some resource is in use by at least 95%; shares
	// only bind then.
	Saturated bool   `json:"full"`
	Costs     []Cost `json:"costs"`
}

// Packing is how much of a partition's capacity is in use, as fractions.
type Packing struct {
	// Partition is "all" for the sum.
	Partition    modeler.PartitionID `json:"partition"`
	Processors   float64             `json:"processors"`
	Memory       float64             `json:"memory"`
	Accelerators float64             `json:"accelerators"`
	Slots        float64             `json:"slots"`
	Queued       int                 `json:"queued"`
}

// Share is how close a team comes to its share.
type Share struct {
	Team modeler.TeamID `json:"team"`
	// Dominant is the largest fraction of a resource that the team uses.
	Dominant float64 `json:"dominant"`
	// Part is the team's part of the dominant shares of all teams with work;
	// Due is its part of their weights.
	Part     float64 `json:"part"`
	Due      float64 `json:"due"`
	Distance float64 `json:"distance"`
}

// fullAt is the fraction in use from which a resource counts as full.
const fullAt = 0.95

// Compute returns the measures at now.
func Compute(doc modeler.Document, state State, waits []Wait, costs []Cost, now time.Time) Measures {
	m := Measures{Time: now.UTC(), Config: state.Config, Waits: waits, Costs: costs, Packing: []Packing{}, Shares: []Share{}}
	var capacity, free modeler.Resources
	queued, usage := 0, map[modeler.TeamID]modeler.Resources{}
	for _, load := range state.loads() {
		capacity, free, queued = capacity.Add(load.Capacity), free.Add(load.Free), queued+load.Queued
		m.Packing = append(m.Packing, packing(load.Partition, load.Capacity, load.Free, load.Queued))
		for team, used := range load.Usage {
			usage[team] = usage[team].Add(used)
		}
	}
	all := packing("all", capacity, free, queued)
	m.Packing = append(m.Packing, all)
	m.Saturated = max(all.Processors, all.Memory, all.Accelerators, all.Slots) >= fullAt
	m.shares(doc, usage, capacity)

	return m
}

// packing computes the fractions in use.
func packing(partition modeler.PartitionID, capacity, free modeler.Resources, queued int) Packing {
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

// fraction returns part of whole, or zero of nothing.
func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}

	return float64(part) / float64(whole)
}

// shares compares the teams that have work running.
func (m *Measures) shares(doc modeler.Document, usage map[modeler.TeamID]modeler.Resources, capacity modeler.Resources) {
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
