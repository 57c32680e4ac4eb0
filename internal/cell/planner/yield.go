package planner

import "gitlab.com/greengagewall/greengagewall/internal/cell/definer"

// deferredShare bounds what work that exceeds a rate or has become useless uses of the
// capacity of a service while useful work waits there, unless there is more free than that
// work can use. It is above 0 because accepted work has to be done in the end.
const deferredShare = 1.0 / 20

// deferredRoom is the room of a service for steps that yield to useful work.
type deferredRoom struct {
	// capacity, free and used are the millicores of the usable endpoints, what is free there and what the yielding
	// work uses.
	capacity, free, used int64
	// wanted is the room that the waiting useful work is likely to need to find its own on endpoints that its
	// policies admit, or 0 if none waits.
	wanted int64
}

// bound returns what yielding work may use in any case.
func (r *deferredRoom) bound() int64 { return int64(deferredShare * float64(r.capacity)) }

// left returns what yielding work may use beside what it uses: the rest of the bound, or
// what is free beyond what useful work can use.
func (r *deferredRoom) left() int64 { return max(r.bound()-r.used, r.free-r.wanted, 0) }

// findDeferredRoom finds the room for the deferrable steps, after the useful ones have had
// their turn. Services without useful work that waits are left out.
func (ps *pass) findDeferredRoom(useful []*step) {
	ps.planner.deferred = map[string]*deferredRoom{}
	for service, byPriority := range ps.wantedRoom(useful) {
		room := &deferredRoom{}
		for _, wanted := range byPriority {
			room.wanted += wanted
		}
		ps.planner.deferred[service] = room
	}
	if len(ps.planner.deferred) == 0 {
		return
	}
	for _, e := range ps.usable {
		if room := ps.planner.deferred[e.Service]; room != nil {
			room.capacity += e.Capacity.Millis
			room.free += e.free().Millis
			room.used += e.deferredMillis
		}
	}
}

// wantedRoom returns, by service and priority, the room that the waiting steps are likely to
// need. Services in which none waits are left out.
func (ps *pass) wantedRoom(steps []*step) map[string]map[int]int64 {
	services := map[string]map[int]int64{}
	accountRoom := map[*account]int64{}
	for _, s := range steps {
		if s.pendingCount == 0 || ps.isBlocked(s) || s.wait.leavesRoom(ps.now) {
			continue
		}
		wanted := ps.wantedBy(s, accountRoom)
		if wanted <= 0 {
			continue
		}
		service := s.job.Queue.Service
		if services[service] == nil {
			services[service] = map[int]int64{}
		}
		services[service][s.job.Queue.Priority] += wanted
	}

	return services
}

// leavesRoom reports whether a gang has reserved endpoints for maxReservation in vain and
// leaves the room to others until it may reserve some again.
func (w *gangWait) leavesRoom(now definer.Instant) bool {
	return w.reservations > 0 && now < w.mayReserveAt
}

// wantedBy returns the free millicores among which the tasks of s that its account's limit
// lets run are likely to find room on admitted endpoints.
func (ps *pass) wantedBy(s *step, accountRoom map[*account]int64) int64 {
	p := ps.planner
	account := p.account(s.job.Account)
	wanted := int64(s.pendingCount) * s.need().Millis
	if account.limit.Millis > 0 {
		room, known := accountRoom[account]
		if !known {
			room = account.limit.Millis - account.used.Millis
		}
		wanted = max(min(wanted, room), 0)
		accountRoom[account] = room - wanted
	}
	if s.job.Queue.Policy == nil {
		return wanted
	}

	return int64(float64(wanted) / p.stats(s.job.Queue.Name).admissionRate)
}

// mustYield reports whether a deferrable step leaves the free room to useful work.
func (ps *pass) mustYield(s *step) bool {
	room := ps.planner.deferred[s.job.Queue.Service]
	if room == nil || s.pendingCount == 0 {
		return false
	}

	return room.left() < s.need().Millis
}

// useDeferred notes that tasks of a deferrable step have started.
func (ps *pass) useDeferred(s *step, tasks int) {
	if room := ps.planner.deferred[s.job.Queue.Service]; room != nil {
		millis := int64(tasks) * s.need().Millis
		room.used += millis
		room.free -= millis
	}
}
