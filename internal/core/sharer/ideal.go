package sharer

import "gitlab.com/greengagewall/greengagewall/internal/domain/modeler"

// UpdateFairShares computes every team's Ideal by progressive filling: the dominant
// shares of all teams grow in proportion to their weights; a team stops when
// its demand or its allotment is met, or when a resource it needs runs out.
func (s *Sharer) UpdateFairShares() {
	demands := make([]Demand, len(s.order))
	for i, team := range s.order {
		demands[i] = Demand{Weight: float64(team.Share), Wanted: team.Running.Add(team.Queued).Min(team.Allotment)}
	}
	for i, ideal := range FairShares(demands, s.total) {
		s.order[i].FairShare = ideal
	}
}

// Demand is what a team could use at once.
type Demand struct {
	Weight float64
	Wanted modeler.Resources
}

// components is the number of kinds of resources.
const components = 4

type vector [components]float64

func vectorOf(r modeler.Resources) vector {
	return vector{float64(r.Millis), float64(r.Memory), float64(r.Accelerators), float64(r.Slots)}
}

// filling is the state of progressive filling.
type filling struct {
	demands []vector
	// pace is the level at which a team's demand is met in full.
	pace   []float64
	frozen []float64
	done   []bool
	total  vector
}

// FairShares returns the weighted dominant-resource max-min fair division of total.
// Resources of one team are kept in the proportions of its demand.
func FairShares(demands []Demand, total modeler.Resources) []modeler.Resources {
	f := filling{
		demands: make([]vector, len(demands)), pace: make([]float64, len(demands)),
		frozen: make([]float64, len(demands)), done: make([]bool, len(demands)), total: vectorOf(total),
	}
	for i, demand := range demands {
		f.demands[i] = vectorOf(demand.Wanted)
		f.pace[i] = demand.Wanted.DominantShare(total) / max(demand.Weight, 1e-9)
		f.done[i] = f.pace[i] == 0
	}
	for range components + 1 {
		if !f.fill() {
			break
		}
	}
	ideals := make([]modeler.Resources, len(demands))
	for i := range demands {
		part, d := f.frozen[i], f.demands[i]
		ideals[i] = modeler.Resources{
			Millis: int64(part * d[0]), Memory: int64(part * d[1]), Accelerators: int64(part * d[2]), Slots: int64(part * d[3]),
		}
	}

	return ideals
}

// fill raises the common level until a resource runs out, freezes the teams
// that need it, and reports whether any team can still grow.
func (f *filling) fill() bool {
	top := 0.0
	for i := range f.pace {
		if !f.done[i] {
			top = max(top, f.pace[i])
		}
	}
	if top == 0 {
		return false
	}
	low, high := 0.0, top
	if short := f.short(top); short < 0 {
		low = top
	} else {
		// Forty halvings leave an error far below one thousandth of a processor.
		for range 40 {
			middle := (low + high) / 2
			if f.short(middle) < 0 {
				low = middle
			} else {
				high = middle
			}
		}
	}
	scarce := f.short(high)
	for i := range f.done {
		if f.done[i] {
			continue
		}
		f.frozen[i] = min(1, low/f.pace[i])
		if scarce < 0 || f.frozen[i] >= 1 || f.demands[i][scarce] > 0 {
			f.done[i] = true
		}
	}

	return scarce >= 0
}

// short returns a resource that runs out at the given level, or -1.
func (f *filling) short(level float64) int {
	var sum vector
	for i, demand := range f.demands {
		part := f.frozen[i]
		if !f.done[i] {
			part = min(1, level/f.pace[i])
		}
		for c := range sum {
			sum[c] += part * demand[c]
		}
	}
	for c := range sum {
		if sum[c] > f.total[c]*(1+1e-12) {
			return c
		}
	}

	return -1
}
