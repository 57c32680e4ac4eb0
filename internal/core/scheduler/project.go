package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// expectedRelease is the expected end of a running task and the amount that it
// releases.
type expectedRelease struct {
	end    time.Time
	member int
	amount modeler.Resources
}

// projectStart returns when the next task of j, or all queued tasks of a gang, are
// expected to have room on the given endpoints. It ignores endpoints that are
// reserved, and assumes that work that is not preemptible does not end.
func (s *Scheduler) projectStart(j *job, members []int, now time.Time) (projection, bool) {
	places := make([]place, 0, len(members))
	var releases []expectedRelease
	for _, at := range members {
		node := s.ledger.Node(at)
		if !node.Usable || node.Quarantined || node.Removed || s.reservedAt[at].reservation != nil || !j.size.Fits(node.Capacity) {
			continue
		}
		for _, r := range s.tasksAt[at] {
			if r.job.policy.preemptible() {
				releases = append(releases, expectedRelease{end: now.Add(r.remainingRuntime(now)), member: len(places), amount: r.task().charged})
			}
		}
		places = append(places, place{at: at, free: node.Free(), copies: accountant.MaxCopies(j.size, node.Free())})
	}
	slices.SortFunc(releases, func(a, b expectedRelease) int {
		if c := a.end.Compare(b.end); c != 0 {
			return c
		}

		return a.member - b.member
	})
	wanted, room := j.groupSize(), 0
	for _, p := range places {
		room += p.copies
	}
	start := now
	for _, r := range releases {
		if room >= wanted {
			break
		}
		p := &places[r.member]
		p.free = p.free.Add(r.amount)
		copies := accountant.MaxCopies(j.size, p.free)
		room += copies - p.copies
		p.copies, start = copies, r.end
	}
	if room < wanted {
		return projection{}, false
	}

	return projection{start: start, places: fewestPlaces(places, wanted)}, true
}

// fewestPlaces returns the endpoints with the most room that together hold the
// wanted number of tasks, so that few endpoints are reserved.
func fewestPlaces(places []place, wanted int) []place {
	slices.SortStableFunc(places, func(a, b place) int { return b.copies - a.copies })
	for i := range places {
		places[i].copies = min(places[i].copies, wanted)
		wanted -= places[i].copies
		if wanted == 0 {
			return places[:i+1]
		}
	}

	return places
}
