package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// A job stands when the turn of one of its tasks has come and none of its tasks is at
// work. A note says why the last round of placement did not start the task. The notes
// are bounded: one in each standingInterval for each account and queue, with the number
// of jobs that stand as well, and maxStandingNotes in all.

const (
	// standingInterval is the time between two searches for jobs that stand.
	standingInterval = time.Second
	// standingDelay is how long a job stands before a note says why.
	standingDelay = time.Second
	// maxStandingNotes bounds the notes of a search.
	maxStandingNotes = 4
)

// standReason says why a job stands.
type standReason string

const (
	standNoMajority  standReason = "no majority of the endpoints"
	standTakeover    standReason = "runs of the previous owner are not all known"
	standRunNotOver  standReason = "earlier run may not be over"
	standNoEndpoint  standReason = "no endpoint may run it"
	standEvacuated   standReason = "endpoints are in evacuated zones"
	standLimit       standReason = "limit of the account"
	standNotAsked    standReason = "policy not asked"
	standQuestionOut standReason = "policy has not answered"
	standNotAdmitted standReason = "policy admits too few endpoints"
	standNoRoom      standReason = "no room"
	standReserved    standReason = "room is reserved for gangs"
	standPerEndpoint standReason = "limit of the step for each endpoint"
	standTickets     standReason = "tickets have expired"
	standNoTurn      standReason = "no turn in this round"
	standYields      standReason = "room is left to useful work"
	standHeldBack    standReason = "tasks are held back"
)

// standing is a job that stands, and the step whose tasks wait.
type standing struct {
	step *step
	// others counts the other jobs of the account and queue that stand.
	others int
}

// noteStanding notes why jobs stand, once in each standingInterval. ps is the round of
// placement that has just ended, or nil if there was none for want of a majority.
func (p *Planner) noteStanding(ps *pass, now definer.Instant) {
	if !p.standingDue(now) {
		return
	}
	p.standingNotedAt = now
	for _, found := range p.findStanding(now) {
		s := found.step
		s.job.standNotedAt = now
		if ps == nil {
			p.note("job stands", s.job.ID, "reason", string(standNoMajority), "for", now.Sub(s.job.standsSince), "account", s.job.Account,
				"queue", s.job.Queue.Name, "step", s.index, "waiting", s.pendingCount, "others", found.others)

			continue
		}
		p.note("job stands", s.job.ID, ps.explainStanding(s, found.others)...)
	}
}

// standingDue reports whether jobs that stand are to be looked for.
func (p *Planner) standingDue(now definer.Instant) bool {
	return now.Sub(p.standingNotedAt) >= standingInterval
}

// standingGroup is a set of jobs of which one at a time is noted.
type standingGroup struct{ account, queue string }

// findStanding updates since when each job stands. It returns, for each of the accounts
// and queues, the job that has waited longest for a note, at most maxStandingNotes.
func (p *Planner) findStanding(now definer.Instant) []standing {
	groups := map[standingGroup]*standing{}
	for _, j := range p.jobs {
		s := p.waitingStep(j)
		if s == nil {
			j.standsSince = 0

			continue
		}
		if j.standsSince == 0 {
			j.standsSince, j.standNotedAt = now, 0
		}
		if now.Sub(j.standsSince) < standingDelay {
			continue
		}
		key := standingGroup{j.Account, j.Queue.Name}
		switch found := groups[key]; {
		case found == nil:
			groups[key] = &standing{step: s}
		case compareStanding(j, found.step.job) < 0:
			found.step = s
			found.others++
		default:
			found.others++
		}
	}
	result := make([]standing, 0, len(groups))
	for _, found := range groups {
		result = append(result, *found)
	}
	slices.SortFunc(result, func(a, b standing) int { return compareStanding(a.step.job, b.step.job) })

	return result[:min(len(result), maxStandingNotes)]
}

// compareStanding orders jobs that stand: those noted the longest time ago first, then
// those that stand longest.
func compareStanding(a, b *job) int {
	return cmp.Or(cmp.Compare(a.standNotedAt, b.standNotedAt), cmp.Compare(a.standsSince, b.standsSince), cmp.Compare(a.ID, b.ID))
}

// waitingStep returns the first step of j with a task that may start now and is not at
// work, or nil if there is none or another task of j is at work. The tasks of a
// long-running step count one by one.
func (p *Planner) waitingStep(j *job) *step {
	if j.state.Final() || j.cancelling {
		return nil
	}
	var waiting *step
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.tasksLeft == 0 || !s.dependenciesDone() {
				continue
			}
			if s.def.LongRunning && s.pendingCount > 0 {
				return s
			}
			if s.isAtWork() {
				return nil
			}
			if waiting == nil {
				waiting = s
			}
		}
	}

	return waiting
}

// isAtWork reports whether an endpoint is known to run a task of s.
func (s *step) isAtWork() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && t.run != nil && t.run.phase == phaseRunning })
}

// explainStanding returns the arguments of the note about a job that stands: the reason,
// what the round of placement knew, and the times since the decisions that led to it.
func (ps *pass) explainStanding(s *step, others int) []any {
	a := &s.admission
	view := ps.viewFor(s)
	args := []any{
		"reason", string(ps.standReason(s, view)), "for", ps.now.Sub(s.job.standsSince), "account", s.job.Account, "queue", s.job.Queue.Name,
		"step", s.index, "waiting", s.pendingCount, "gang", s.def.Gang, "urgency", s.urgency, "last turn", ps.sinceOrNever(s.turnAt),
		"eligible", view.eligible, "admitted", view.admitted, "with room", view.withRoom, "places", view.places, "reserved", view.reserved, "at limit", view.atLimit,
		"with ticket", view.ticketPlaces, "asked", ps.sinceOrNever(a.askedAt), "answered", ps.sinceOrNever(a.answeredAt), "outstanding", a.outstanding,
		"others", others,
	}
	if s.def.Gang {
		args = append(args, s.waited.args()...)
	}
	if len(ps.planner.zones) > 0 {
		args = append(args, "evacuated zones", slices.Sorted(maps.Keys(ps.planner.zones)))
	}
	if r := s.unsettledRun(); r != nil {
		args = append(args, "run on", r.endpoint.ID, "sent", ps.now.Sub(r.sentAt))
	}

	return args
}

// sinceOrNever returns the time since an event as text, or "never".
func (ps *pass) sinceOrNever(at definer.Instant) string {
	if at == 0 {
		return "never"
	}

	return ps.now.Sub(at).String()
}

// endpointView counts the endpoints of a round as a step sees them.
type endpointView struct {
	// eligible may run a task when they are empty, policy aside, and admitted are those of them that the policy admits.
	eligible, admitted int
	// withRoom have room for a task, places is the number of tasks that fit there, reserved have
	// room and are reserved for gangs, and atLimit have room and as many tasks of the step as it may have there.
	withRoom, places, reserved, atLimit int
	// ticketPlaces is the number of places on endpoints for which a ticket is valid.
	ticketPlaces int
}

func (ps *pass) viewFor(s *step) endpointView {
	var view endpointView
	need := s.need()
	for _, e := range ps.poolFor(s) {
		if !need.Fits(e.Capacity) || !s.suits(e) {
			continue
		}
		view.eligible++
		if s.job.Queue.Policy != nil && !s.admission.admits(e) {
			continue
		}
		view.admitted++
		places := tasksFitting(s, e.availableTo(s), s.def.PerEndpoint)
		switch {
		case tasksFitting(s, e.free(), s.def.PerEndpoint) <= 0:
			continue
		case !s.belowEndpointLimit(e):
			view.atLimit++

			continue
		case places <= 0:
			view.reserved++

			continue
		}
		if s.def.PerEndpoint > 0 {
			places = min(places, s.def.PerEndpoint-s.placed[e])
		}
		view.withRoom++
		view.places += places
		if answer := s.admission.answer(e); s.job.Queue.Policy == nil || answer.validFor(e, ps.now) {
			view.ticketPlaces += places
		}
	}

	return view
}

// standReason returns why the round did not start a task of s.
func (ps *pass) standReason(s *step, view endpointView) standReason {
	wanted := 1
	if s.def.Gang {
		wanted = s.tasksLeft
	}
	account := ps.planner.account(s.job.Account)
	switch {
	case s.job.inherited && !ps.takeoverSettled:
		return standTakeover
	case s.unsettledRun() != nil:
		return standRunNotOver
	case ps.needsCordoned(s):
		return standEvacuated
	case view.eligible == 0:
		return standNoEndpoint
	case !account.withinLimit(s.def.Need.Scale(int64(wanted)), ps.unconfirmed[account]):
		return standLimit
	}
	if s.job.Queue.Policy != nil && view.places < wanted {
		if reason := s.askingReason(view, ps.now); reason != "" {
			return reason
		}
	}
	switch {
	case view.places < wanted && view.reserved > 0:
		return standReserved
	case view.places < wanted && view.atLimit > 0:
		return standPerEndpoint
	case view.places < wanted:
		return standNoRoom
	case view.ticketPlaces < wanted && s.admission.askBlocked(ps.now):
		return standQuestionOut
	case view.ticketPlaces < wanted:
		return standTickets
	case s.turnAt != ps.now:
		return ps.turnReason(s)
	default:
		return standHeldBack
	}
}

// turnReason returns why s had no turn in the round.
func (ps *pass) turnReason(s *step) standReason {
	if s.urgency > urgencyLate && ps.mustYield(s) {
		return standYields
	}

	return standNoTurn
}

// askingReason returns the reason that lies in what the policy has answered so far, or
// an empty reason.
func (s *step) askingReason(view endpointView, now definer.Instant) standReason {
	switch {
	case len(s.admission.answers) == 0 && s.admission.askBlocked(now):
		return standQuestionOut
	case len(s.admission.answers) == 0:
		return standNotAsked
	case view.admitted == 0:
		return standNotAdmitted
	default:
		return ""
	}
}

// unsettledRun returns a run that keeps a task of s from starting again, or nil.
func (s *step) unsettledRun() *run {
	if s.pendingCount > 0 && !s.def.Gang {
		return nil
	}
	for _, t := range s.tasks {
		if !t.done && t.run != nil && t.activeRuns > 0 {
			return t.run
		}
	}

	return nil
}
