package meter

import (
	"math"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/sharer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// shareTolerance is how far a team may be below its fair share, as a part of the
// cluster, without counting as below it.
const shareTolerance = 0.02

// sampler collects packing and share errors at regular intervals.
type sampler struct {
	total             modeler.Resources
	largest           modeler.Resources
	usedSum, boundSum float64
	distanceSum       float64
	distanceCount     int
	maxDistance       float64
	below             map[modeler.TeamID]time.Duration
	longestBelow      time.Duration
	// firstOpen is the index of the oldest item that may have open tasks, and
	// arrived the number of items that have arrived.
	firstOpen, arrived int
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

// teamLoad holds the resources of a team's running tasks and of all its open
// tasks.
type teamLoad struct {
	running, wanted modeler.Resources
}

// sample takes a sample of the current state.
func (s *sampler) sample(r *run) {
	loads := make([]teamLoad, len(r.Teams))
	teamIndex := make(map[modeler.TeamID]int, len(r.Teams))
	for i, team := range r.Teams {
		teamIndex[team.ID] = i
	}
	for _, t := range r.running {
		job := &r.Items[t.item].Job
		load := &loads[teamIndex[job.Team]]
		load.running = load.running.Add(job.Needs)
	}
	for s.arrived < len(r.Items) && r.Items[s.arrived].Arrival <= r.now {
		s.arrived++
	}
	for s.firstOpen < s.arrived && r.progress[s.firstOpen].openTasks == 0 {
		s.firstOpen++
	}
	for i := s.firstOpen; i < s.arrived; i++ {
		item, p := &r.Items[i], &r.progress[i]
		if p.openTasks == 0 || p.cancelled || item.AlwaysFails || item.Job.Needs.Millis > s.largest.Millis {
			continue
		}
		load := &loads[teamIndex[item.Job.Team]]
		load.wanted = load.wanted.Add(item.Job.Needs.Scale(int64(p.openTasks)))
	}
	var demand, running modeler.Resources
	demands := make([]sharer.Demand, len(r.Teams))
	for i, team := range r.Teams {
		load := &loads[i]
		load.wanted = componentMax(load.wanted, load.running).Min(team.Allotment)
		demand, running = demand.Add(load.wanted), running.Add(load.running)
		demands[i] = sharer.Demand{Weight: float64(team.Share), Wanted: load.wanted}
	}
	s.addPacking(demand, running)
	if demand.DominantShare(s.total) >= 1 {
		s.addShareErrors(r, loads, demands)
	} else {
		clear(s.below)
	}
}

// addPacking adds the use of the resource in greatest demand to the packing. Its
// bound is the smaller of capacity and demand, because no schedule can use more.
func (s *sampler) addPacking(demand, running modeler.Resources) {
	use, bound := float64(running.Millis)/float64(s.total.Millis), float64(demand.Millis)/float64(s.total.Millis)
	if memory := float64(demand.Memory) / float64(s.total.Memory); memory > bound {
		use, bound = float64(running.Memory)/float64(s.total.Memory), memory
	}
	s.usedSum += use
	s.boundSum += min(bound, 1)
}

// addShareErrors adds the distances of the teams from their weighted max-min
// fair shares.
func (s *sampler) addShareErrors(r *run, loads []teamLoad, demands []sharer.Demand) {
	for i, fairShare := range sharer.FairShares(demands, s.total) {
		id := r.Teams[i].ID
		distance := loads[i].running.DominantShare(s.total) - fairShare.DominantShare(s.total)
		s.distanceSum += math.Abs(distance)
		s.distanceCount++
		s.maxDistance = max(s.maxDistance, math.Abs(distance))
		if distance >= -shareTolerance {
			delete(s.below, id)

			continue
		}
		s.below[id] += sampleInterval
		s.longestBelow = max(s.longestBelow, s.below[id])
	}
}

func componentMax(a, b modeler.Resources) modeler.Resources {
	return a.Add(b).Sub(a.Min(b))
}
