package meter

import (
	"math"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// shareSlack is the distance below the ideal, as a part of the cluster, from
// which a team counts as not having its share.
const shareSlack = 0.02

// sampler collects packing and share errors at regular times.
type sampler struct {
	total       modeler.Resources
	largest     modeler.Resources
	used, bound float64
	distance    float64
	samples     int
	most        float64
	below       map[modeler.TeamID]time.Duration
	longest     time.Duration
	// first is the oldest item that may still be open, and arrived the number
	// of items that have arrived.
	first, arrived int
}

func newSampler(d generator.Deployment) sampler {
	s := sampler{total: d.Total(), below: make(map[modeler.TeamID]time.Duration)}
	for _, worker := range d.Workers {
		if s.largest.Millis < worker.Capacity.Millis {
			s.largest = worker.Capacity
		}
	}

	return s
}

// holding is what a team has running and what it could have.
type holding struct {
	running, wanted modeler.Resources
}

// take samples the present state.
func (s *sampler) take(r *run) {
	holdings := make([]holding, len(r.Teams))
	numbers := make(map[modeler.TeamID]int, len(r.Teams))
	for i, team := range r.Teams {
		numbers[team.ID] = i
	}
	for _, a := range r.running {
		job := &r.Items[a.item].Job
		h := &holdings[numbers[job.Team]]
		h.running = h.running.Add(job.Needs)
	}
	for s.arrived < len(r.Items) && r.Items[s.arrived].Arrival <= r.now {
		s.arrived++
	}
	for s.first < s.arrived && r.progress[s.first].open == 0 {
		s.first++
	}
	for i := s.first; i < s.arrived; i++ {
		item, p := &r.Items[i], &r.progress[i]
		if p.open == 0 || p.cancelled || item.AlwaysFails || item.Job.Needs.Millis > s.largest.Millis {
			continue
		}
		h := &holdings[numbers[item.Job.Team]]
		h.wanted = h.wanted.Add(item.Job.Needs.Scale(int64(p.open)))
	}
	var demand, running modeler.Resources
	demands := make([]sharer.Demand, len(r.Teams))
	for i, team := range r.Teams {
		h := &holdings[i]
		h.wanted = larger(h.wanted, h.running).Min(team.Allotment)
		demand, running = demand.Add(h.wanted), running.Add(h.running)
		demands[i] = sharer.Demand{Weight: float64(team.Share), Wanted: h.wanted}
	}
	s.pack(demand, running)
	if demand.DominantShare(s.total) >= 1 {
		s.compare(r, holdings, demands)
	} else {
		clear(s.below)
	}
}

// pack adds the use of the resource in greatest demand to the packing. No
// schedule can use more of it than there is, or than is asked for.
func (s *sampler) pack(demand, running modeler.Resources) {
	use, bound := float64(running.Millis)/float64(s.total.Millis), float64(demand.Millis)/float64(s.total.Millis)
	if memory := float64(demand.Memory) / float64(s.total.Memory); memory > bound {
		use, bound = float64(running.Memory)/float64(s.total.Memory), memory
	}
	s.used += use
	s.bound += min(bound, 1)
}

// compare adds the distances from the max-min ideal.
func (s *sampler) compare(r *run, holdings []holding, demands []sharer.Demand) {
	for i, ideal := range sharer.FairShares(demands, s.total) {
		id := r.Teams[i].ID
		distance := holdings[i].running.DominantShare(s.total) - ideal.DominantShare(s.total)
		s.distance += math.Abs(distance)
		s.samples++
		s.most = max(s.most, math.Abs(distance))
		if distance >= -shareSlack {
			delete(s.below, id)

			continue
		}
		s.below[id] += sampleEvery
		s.longest = max(s.longest, s.below[id])
	}
}

func larger(a, b modeler.Resources) modeler.Resources {
	return a.Add(b).Sub(a.Min(b))
}
