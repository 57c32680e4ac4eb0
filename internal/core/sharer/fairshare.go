package sharer

import "gitlab.com/greengagewall/greengagewall/internal/domain/modeler"

// UpdateFairShares computes every team's FairShare by progressive filling: the dominant
// shares of all teams grow in proportion to their weights. The share of a team stops
// growing when its demand or allotment is met, or when a resource it needs runs out.
func (s *Sharer) UpdateFairShares() {
	demands := make([]Demand, len(s.ordered))
	for i, team := range s.ordered {
		demands[i] = Demand{Weight: float64(team.Share), Wanted: team.Running.Add(team.Queued).Min(team.Allotment)}
	}
	for i, share := range FairShares(demands, s.total) {
		s.ordered[i].FairShare = share
	}
}

// Demand is the amount that a team could use at once, and its weight.
type Demand struct {
	Weight float64
	Wanted modeler.Resources
}

// resourceKinds is the number of components of modeler.Resources.
const resourceKinds = 4

type vector [resourceKinds]float64

func vectorOf(r modeler.Resources) vector {
	return vector{float64(r.Millis), float64(r.Memory), float64(r.Accelerators), float64(r.Slots)}
}

// progressiveFilling is the state of the progressive filling algorithm.
type progressiveFilling struct {
	demands []vector
	// saturation is the level, a dominant share per weight, at which a team's demand
	// is met in full. A frozen team keeps its fraction of its demand.
	saturation []float64
	fraction   []float64
	frozen     []bool
	total      vector
}

// FairShares returns the weighted dominant-resource max-min fair division of total
// among demands. Each share has the proportions of its demand.
func FairShares(demands []Demand, total modeler.Resources) []modeler.Resources {
	f := progressiveFilling{
		demands: make([]vector, len(demands)), saturation: make([]float64, len(demands)),
		fraction: make([]float64, len(demands)), frozen: make([]bool, len(demands)), total: vectorOf(total),
	}
	for i, demand := range demands {
		f.demands[i] = vectorOf(demand.Wanted)
		f.saturation[i] = demand.Wanted.DominantShare(total) / max(demand.Weight, 1e-9)
		f.frozen[i] = f.saturation[i] == 0
	}
	for range resourceKinds + 1 {
		if !f.raiseLevel() {
			break
		}
	}
	shares := make([]modeler.Resources, len(demands))
	for i := range demands {
		fraction, d := f.fraction[i], f.demands[i]
		shares[i] = modeler.Resources{
			Millis: int64(fraction * d[0]), Memory: int64(fraction * d[1]), Accelerators: int64(fraction * d[2]), Slots: int64(fraction * d[3]),
		}
	}

	return shares
}

// raiseLevel raises the common level until a resource runs out, freezes the teams that
// need that resource, and reports whether the share of any team may still grow.
func (f *progressiveFilling) raiseLevel() bool {
	maxLevel := 0.0
	for i := range f.saturation {
		if !f.frozen[i] {
			maxLevel = max(maxLevel, f.saturation[i])
		}
	}
	if maxLevel == 0 {
		return false
	}
	low, high := 0.0, maxLevel
	if scarce := f.scarceResource(maxLevel); scarce < 0 {
		low = maxLevel
	} else {
		// 40 bisections leave an error far below one thousandth of a processor.
		for range 40 {
			mid := (low + high) / 2
			if f.scarceResource(mid) < 0 {
				low = mid
			} else {
				high = mid
			}
		}
	}
	scarce := f.scarceResource(high)
	for i := range f.frozen {
		if f.frozen[i] {
			continue
		}
		f.fraction[i] = min(1, low/f.saturation[i])
		if scarce < 0 || f.fraction[i] >= 1 || f.demands[i][scarce] > 0 {
			f.frozen[i] = true
		}
	}

	return scarce >= 0
}

// scarceResource returns the index of a resource that runs out at the given level, or
// -1 if there is none.
func (f *progressiveFilling) scarceResource(level float64) int {
	var sum vector
	for i, demand := range f.demands {
		fraction := f.fraction[i]
		if !f.frozen[i] {
			fraction = min(1, level/f.saturation[i])
		}
		for c := range sum {
			sum[c] += fraction * demand[c]
		}
	}
	for c := range sum {
		if sum[c] > f.total[c]*(1+1e-12) {
			return c
		}
	}

	return -1
}
