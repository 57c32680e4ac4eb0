package executor

import (
	"fmt"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Usable is an endpoint on which new tasks may be started, with its label.
type Usable struct {
	Endpoint *Endpoint
	Label    string
}

// roomFactor is the room for a waiting task, or for a whole gang, as a multiple of its need, from which the job
// should have something running.
const roomFactor = 2

// Stand describes an accepted job that has nothing running, although the turn of some of its tasks has come and
// there is room for them.
type Stand struct {
	Job  string
	Work Work
	// Step is the step whose turn has come, and Waiting the number of its tasks that are not done.
	Step, Waiting int
	// Endpoints is the number of endpoints with room that the policy admits, and Room the number of tasks that fit there.
	Endpoints, Room int
	// Starts is the number of runs of the job so far.
	Starts int
	// LastEvent is the last start or end of one of its tasks; it is empty while there is none.
	LastEvent string
	// AccountShare and ServiceShare are the shares of the limit of the account and of the capacity that are in use.
	AccountShare, ServiceShare float64
}

// String returns a text for the report of a violation.
func (s *Stand) String() string {
	return fmt.Sprintf("%s step %d: %d tasks wait, %d runs before, last %q; room for %d tasks on %d endpoints; account uses %.2f of its limit, service %.2f; %+v",
		s.Job, s.Step, s.Waiting, s.Starts, s.LastEvent, s.Room, s.Endpoints, s.AccountShare, s.ServiceShare, s.Work)
}

// Standing returns the jobs that have nothing running now although one of the endpoints could run their tasks.
func (h *Host) Standing(usable []Usable) []Stand {
	h.mu.Lock()
	defer h.mu.Unlock()
	load := h.measure(usable)
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	var stands []Stand
	for id, j := range h.ledger.jobs {
		if !j.mayStand() || load.running[id] > 0 {
			continue
		}
		if s, could := h.ledger.standOf(id, j, load); could {
			stands = append(stands, s)
		}
	}

	return stands
}

// mayStand reports whether a job is one that should go on: accepted, not being cancelled and without a final state.
func (j *Job) mayStand() bool {
	return j.Accepted && !j.Cancelling && !j.Refused && j.ShownFinal == "" && !j.ended
}

// load is what the endpoints run at a moment.
type load struct {
	usable []Usable
	// free and steps hold, by the position in usable, the free resources and the runs of each step.
	free  []modeler.Resources
	steps []map[string]int
	// running is the number of runs of each job on any endpoint.
	running map[string]int
	// serviceShare is the share of the capacity of the usable endpoints that is in use.
	serviceShare float64
}

// measure returns the present load; the caller holds the lock.
func (h *Host) measure(usable []Usable) *load {
	l := &load{usable: usable, running: map[string]int{}}
	for _, e := range h.endpoints {
		for _, r := range e.running {
			l.running[jobID(r.task)]++
		}
	}
	var used, capacity modeler.Resources
	for _, u := range usable {
		free, steps := u.Endpoint.Capacity, map[string]int{}
		for _, r := range u.Endpoint.running {
			free = free.Sub(r.need)
			steps[stepID(r.task)]++
		}
		l.free, l.steps = append(l.free, free), append(l.steps, steps)
		used, capacity = used.Add(u.Endpoint.Capacity.Sub(free)), capacity.Add(u.Endpoint.Capacity)
	}
	l.serviceShare = used.DominantShare(capacity)

	return l
}

// standOf describes the job and reports whether it has a waiting task for which there is room; the caller holds the
// lock of the ledger.
func (l *Ledger) standOf(id string, j *Job, load *load) (Stand, bool) {
	s := Stand{Job: id, Work: j.Work, ServiceShare: load.serviceShare}
	if limit, ok := l.limits[j.Account]; ok {
		s.AccountShare = l.used[j.Account].DominantShare(limit)
	}
	if !l.findTurn(id, j, &s) {
		return s, false
	}
	step := fmt.Sprintf("%s.0.%d", id, s.Step)
	for i, u := range load.usable {
		if !j.admits(step, u) {
			continue
		}
		if room := j.fitting(load.free[i], load.steps[i][step]); room > 0 {
			s.Room += room
			s.Endpoints++
		}
	}

	return s, s.Room >= roomFactor*j.together()
}

// findTurn finds the first step of a job that is not done and counts its waiting tasks. It reports false if there is
// none, or a task has failed too often.
func (l *Ledger) findTurn(id string, j *Job, s *Stand) bool {
	for step := range j.steps() {
		done := l.doneTasksOf(id, j, step)
		for index := range j.Count {
			t := l.tasks[taskID(id, step, index)]
			if t == nil {
				continue
			}
			if t.failures() >= j.Attempts {
				j.ended = true

				return false
			}
			s.Starts += t.runs
			if len(t.history) > 0 {
				s.LastEvent = max(s.LastEvent, t.history[len(t.history)-1])
			}
		}
		if done < j.Count {
			s.Step, s.Waiting = step, j.Count-done

			return true
		}
	}
	j.ended = true

	return false
}

// admits reports whether a step of the job may run on an endpoint, apart from its room.
func (w *Work) admits(step string, u Usable) bool {
	return (w.Requires == "" || w.Requires == u.Label) && w.Policy.admits(step, u.Endpoint.ID)
}

// fitting returns the number of tasks of a step that fit in free resources of an endpoint that runs some of them.
func (w *Work) fitting(free modeler.Resources, running int) int {
	fits := 0
	for need := w.Need; need.Fits(free) && fits < roomFactor*w.Count; need = need.Add(w.Need) {
		fits++
	}
	if w.PerEndpoint > 0 {
		return min(fits, w.PerEndpoint-running)
	}

	return fits
}

// together is the number of tasks that start only together.
func (w *Work) together() int {
	if w.Gang {
		return w.Count
	}

	return 1
}

// failures returns the number of runs of the task that have failed.
func (t *task) failures() int {
	failed := 0
	for _, result := range t.results {
		if result.outcome == endFailed {
			failed++
		}
	}

	return failed
}

// Possible reports whether the endpoints can run every step of a job when they are empty. The policy may admit too
// few of them.
func (h *Host) Possible(id string, usable []Usable) bool {
	h.ledger.mu.Lock()
	defer h.ledger.mu.Unlock()
	j := h.ledger.jobs[id]
	for step := range j.steps() {
		room := 0
		for _, u := range usable {
			if j.admits(fmt.Sprintf("%s.0.%d", id, step), u) {
				room += j.fitting(u.Endpoint.Capacity, 0)
			}
		}
		if room < j.together() {
			return false
		}
	}

	return true
}

// RecordAccepted records that a caller was told that its job was accepted.
func (l *Ledger) RecordAccepted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].Accepted = true
}

// RecordCancelling records that a caller is about to cancel its job.
func (l *Ledger) RecordCancelling(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].Cancelling = true
}
