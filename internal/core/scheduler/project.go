package scheduler

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// release is an expected end of a task.
type release struct {
	end    time.Time
	member int
	amount modeler.Resources
}

// project returns when the waiting tasks of j that belong together are expected
// to have room on the given endpoints, without those that other jobs reserved.
func (s *Scheduler) project(j *job, members []int, now time.Time) (projection, bool) {
	open := make([]place, 0, len(members))
	var releases []release
	for _, at := range members {
		node := s.ledger.Node(at)
		if !node.Usable || node.Quarantined || node.Removed || s.holds[at].owner != nil || !j.size.Fits(node.Capacity) {
			continue
		}
		for _, r := range s.tenants[at] {
			if r.job.kind.preemptible() {
				releases = append(releases, release{end: now.Add(r.remaining(now)), member: len(open), amount: r.task().charged})
			}
		}
		open = append(open, place{at: at, free: node.Free(), copies: accountant.MaxCopies(j.size, node.Free())})
	}
	slices.SortFunc(releases, func(a, b release) int {
		if c := a.end.Compare(b.end); c != 0 {
			return c
		}

		return a.member - b.member
	})
	wanted, room := j.width(), 0
	for _, p := range open {
		room += p.copies
	}
	start := now
	for _, r := range releases {
		if room >= wanted {
			break
		}
		p := &open[r.member]
		p.free = p.free.Add(r.amount)
		copies := accountant.MaxCopies(j.size, p.free)
		room += copies - p.copies
		p.copies, start = copies, r.end
	}
	if room < wanted {
		return projection{}, false
	}

	return projection{start: start, places: narrow(open, wanted)}, true
}

// narrow keeps the endpoints with the most room until they hold the wanted
// number of tasks, so that few endpoints are reserved.
func narrow(open []place, wanted int) []place {
	slices.SortStableFunc(open, func(a, b place) int { return b.copies - a.copies })
	for i := range open {
		open[i].copies = min(open[i].copies, wanted)
		wanted -= open[i].copies
		if wanted == 0 {
			return open[:i+1]
		}
	}

	return open
}
