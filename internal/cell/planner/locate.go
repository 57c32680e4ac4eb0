package planner

import "gitlab.com/greengagewall/greengagewall/internal/cell/definer"

// Callers name a job by the location at which it was accepted and its id, and may do so while
// configurations change: the queue there may get another name, another queue may take its
// place, and the queue may move to another location. The names of the tasks of a job hold
// its id only, so that no two jobs of a cell can have the same id at the same time.

// IsAt reports whether the job with the id is the one that callers mean at a place.
func (p *Planner) IsAt(id string, place definer.Place) bool {
	j := p.jobs[id]

	return j != nil && p.IsJobAt(&j.Job, place)
}

// IsJobAt reports whether j is the job with its id that callers mean at a place. That is the
// location where it was accepted or, while no route has that location, one with the same queue
// or the same path prefix.
func (p *Planner) IsJobAt(j *definer.Job, place definer.Place) bool {
	switch j.Location {
	case "":
		// A job of an earlier version. Its id is the only one in the cell, so it may be at any place once no route
		// has the name of its queue.
		return j.Queue.Name == place.Queue || !p.routes.names[j.Queue.Name]
	case place.Location:
		return true
	default:
		moved := j.Queue.Name == place.Queue || j.Location.Prefix() == place.Location.Prefix()

		return moved && !p.routes.locations[j.Location]
	}
}

// routeIndex holds the names and the locations of the routes of the configuration.
type routeIndex struct {
	names     map[string]bool
	locations map[definer.Location]bool
}

func newRouteIndex(routes []definer.Route) routeIndex {
	index := routeIndex{names: map[string]bool{}, locations: map[definer.Location]bool{}}
	for i := range routes {
		index.names[routes[i].Queue.Name] = true
		index.locations[routes[i].Location()] = true
	}

	return index
}

// JobCounts counts the jobs of a queue that are neither final nor being cancelled.
type JobCounts struct {
	// Pending jobs have no task that an endpoint has started, Begun jobs have one.
	Pending, Begun int
}

// CountJobs counts the jobs at a place.
func (p *Planner) CountJobs(place definer.Place) JobCounts {
	var counts JobCounts
	for _, j := range p.jobs {
		switch {
		case j.state.Final() || j.cancelling || !p.IsJobAt(&j.Job, place):
		case j.begun:
			counts.Begun++
		default:
			counts.Pending++
		}
	}

	return counts
}
