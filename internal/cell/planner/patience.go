package planner

import "time"

// Work with much slack to its objective leaves room to more urgent work that waits: it would
// lose nothing by starting later, and urgent work would.
//
// Load pattern: batch work with an objective of several times its run time fills each gap
// just before a burst of gangs and of short tasks, which then wait for it to end.

const (
	// patientSlack is the slack of a step, as a multiple of its remaining path, from which it is patient. It still
	// meets its objective if its run takes twice as long as expected.
	patientSlack = 1.5
	// patientShare is the share of a service's capacity that the steps of a queue may use in any case while they are
	// patient. It keeps a queue going whose work arrives faster than its slack passes.
	patientShare = 1.0 / 4
)

// isPatient reports whether a step can wait without missing its objective.
func (ps *pass) isPatient(s *step) bool {
	if s.urgency != urgencyOnTime || s.def.LongRunning {
		return false
	}
	slack := s.job.deadline.Sub(ps.now) - reportingSlack - s.remainingPath

	return slack > time.Duration(patientSlack*float64(s.remainingPath))
}

// patientRoom is the room of a service, and what urgent work that waits is likely to need.
type patientRoom struct {
	// capacity and free are the millicores of the usable endpoints, and what is free there.
	capacity, free int64
	// wanted holds the room that the waiting steps of each priority are likely to need.
	wanted map[int]int64
}

// wantedBefore returns the room that work of more urgent priorities is likely to need.
func (r *patientRoom) wantedBefore(priority int) int64 {
	var total int64
	for other, wanted := range r.wanted {
		if other < priority {
			total += wanted
		}
	}

	return total
}

// placeUseful places the useful steps, the patient ones last.
func (ps *pass) placeUseful(steps []*step) {
	var patient []*step
	others := make([]*step, 0, len(steps))
	for _, s := range steps {
		if ps.isPatient(s) {
			patient = append(patient, s)

			continue
		}
		others = append(others, s)
		ps.place(s)
	}
	if len(patient) == 0 {
		return
	}
	rooms := ps.findPatientRooms(others)
	for _, s := range patient {
		room := rooms[s.job.Queue.Service]
		if room != nil && ps.mustWait(s, room) {
			continue
		}
		pending := s.pendingCount
		ps.place(s)
		if room != nil {
			room.free -= int64(pending-s.pendingCount) * s.need().Millis
		}
	}
}

// findPatientRooms returns the rooms of the services in which steps wait.
func (ps *pass) findPatientRooms(steps []*step) map[string]*patientRoom {
	rooms := map[string]*patientRoom{}
	for service, wanted := range ps.wantedRoom(steps) {
		rooms[service] = &patientRoom{wanted: wanted}
	}
	for _, e := range ps.usable {
		if room := rooms[e.Service]; room != nil {
			room.capacity += e.Capacity.Millis
			room.free += e.free().Millis
		}
	}

	return rooms
}

// mustWait reports whether a patient step leaves the free room to more urgent work. It does
// not while less than busyShare of the capacity is in use.
func (ps *pass) mustWait(s *step, room *patientRoom) bool {
	wanted := room.wantedBefore(s.job.Queue.Priority)
	if wanted == 0 || float64(room.free) > (1-busyShare)*float64(room.capacity) {
		return false
	}
	need := s.need().Millis
	left := max(int64(patientShare*float64(room.capacity))-ps.planner.stats(s.job.Queue.Name).running, room.free-wanted)

	return left < need
}
