package planner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// askedRoomFactor and askedCapacityFactor are the room and the capacity of the endpoints
	// that a gang asks about at least and is likely to be admitted to, as multiples of its
	// size.
	askedRoomFactor     = 2
	askedCapacityFactor = admittedCapacityFactor
	// usefulRoomFactor is the room, as such a multiple, from which a gang asks about no
	// further endpoints. It is above askedRoomFactor because others use up room until the
	// answer arrives.
	usefulRoomFactor = 16
	// questionTimeShare is the share of the free question time that a gang may use to ask
	// about more endpoints than the least. The others that ask at the same time need the rest.
	questionTimeShare = 1.0 / 4
)

// SetFreeQuestionTime sets how much more decision time the placement policies have for
// questions before these wait for one another. It is negative while some wait.
func (p *Planner) SetFreeQuestionTime(free time.Duration) { p.freeQuestionTime = free }

// gangEndpointsToAsk returns which of the candidates to ask about for a gang. They
// have, with the usual share of admitted ones, room for the gang or are large enough for it
// when they are empty, and are at least as many as one question may name. While the policies
// have time, they are more: the answer takes a while, and a gang that then finds too little
// room waits for another one.
func (p *Planner) gangEndpointsToAsk(s *step, candidates []*endpoint, count int) []*endpoint {
	rate := p.stats(s.job.Queue.Name).admissionRate
	candidates = p.similarSpeedsFirst(s, shuffleWithRoom(s, candidates), int(askedRoomFactor*float64(count)/rate))
	spare := time.Duration(questionTimeShare * float64(p.freeQuestionTime))
	room, capacity, least := 0, 0, 0
	for i, e := range candidates {
		room += tasksFitting(s, e.free(), s.def.PerEndpoint)
		capacity += tasksFitting(s, e.Capacity, s.def.PerEndpoint)
		likelyRoom, likelyCapacity := rate*float64(room), rate*float64(capacity)
		if least == 0 && (likelyRoom >= float64(askedRoomFactor*count) || likelyCapacity >= float64(askedCapacityFactor*count)) {
			least = i + 1
			if least <= maxAskedEndpoints*3/2 {
				// A second question would cost the policy more than the few endpoints are worth.
				least = maxAskedEndpoints
			}
		}
		if least == 0 || i+1 < least {
			continue
		}
		if likelyRoom >= float64(usefulRoomFactor*count) || questionCost(s.job.Queue.Policy, i+2) > spare {
			return candidates[:i+1]
		}
	}

	return candidates
}

// questionCost returns the decision time of the questions about a number of endpoints.
func questionCost(policy *definer.Policy, endpoints int) time.Duration {
	questions := (endpoints + maxAskedEndpoints - 1) / maxAskedEndpoints

	return time.Duration(questions)*policy.Decide + time.Duration(endpoints)*policy.Each
}

// shuffleWithRoom returns the candidates, those with room for a task of s first and in an
// order that differs from step to step: gangs that ask at the same time would otherwise all
// ask about the endpoints with the most room, and find it used by one another.
func shuffleWithRoom(s *step, candidates []*endpoint) []*endpoint {
	shuffled := make([]*endpoint, 0, len(candidates))
	var full []*endpoint
	for _, e := range candidates {
		if tasksFitting(s, e.free(), s.def.PerEndpoint) > 0 {
			shuffled = append(shuffled, e)
		} else {
			full = append(full, e)
		}
	}
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(s.job.ID), uint64(s.index)))
	rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })

	return slices.Concat(shuffled, full)
}
