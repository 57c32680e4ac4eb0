package planner

import (
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// endpoint holds the owner's view of an endpoint.
type endpoint struct {
	definer.Listing
	// slot is the endpoint's index in per-step lists; slots of removed endpoints are reused.
	slot int
	// round is the last round of placement in which the endpoint was usable, and room its free resources then.
	round int
	room  modeler.Resources
	// reservedFor is the first waiting gang that reserves room on the endpoint in this round of placement, or nil, and
	// reservations is the room of all such gangs, in the order in which they reserve it.
	reservedFor  *step
	reservations []reservation
	// listed means that the endpoint list contains the endpoint, and unlistedAt is when its entry was removed, or 0.
	listed     bool
	unlistedAt definer.Instant
	// entry is the state of the endpoint's record in the state table.
	entry tableEntry
	// addressStored means that the state table has the present address.
	addressStored bool
	// inherited means that the table named the endpoint when the owner loaded it, so that a previous
	// owner may use it.
	inherited bool
	// acceptedTerm means that the endpoint has answered under the owner's term, or was replaced.
	acceptedTerm bool
	// endsListed means that all ends which an inherited endpoint had when it accepted the term have been listed.
	endsListed bool
	// replaced means that another endpoint answers at its address, and missing that it counts as gone
	// because it is neither listed nor answers.
	replaced, missing bool
	// cordoned means that the endpoint is in an evacuated zone.
	cordoned bool
	// departsAt is the earliest time at which a draining endpoint goes away, or 0.
	departsAt definer.Instant
	// life is the start time of the endpoint process that answered last, as in
	// definer.Listing.Born.
	life int64
	// lastAnswered is the sending time of the last answered renewal, and lastSent
	// that of the last order that may have extended the lease.
	lastAnswered, lastSent definer.Instant
	// leaseUntil is the end of a lease that orders may have extended by the clock of an earlier life.
	leaseUntil definer.Instant
	// clock is the last reported time of the endpoint's clock in milliseconds, received at clockAt.
	clockAt definer.Instant
	clock   int64
	runs    map[runKey]*run
	used    modeler.Resources
	// deferredMillis is what runs use that were started although they yield to useful work.
	deferredMillis int64
	// servingRuns counts the runs with a response time target, and fillingRuns those
	// that use spare processor time.
	servingRuns, fillingRuns int
	// unknownRuns counts the runs whose needs are not known; nothing is started while there are any.
	unknownRuns int
	// unansweredStarts maps the starts that were not answered, and may still be
	// carried out, to their sending times.
	unansweredStarts map[runKey]definer.Instant
	// lastEnd is the highest number of a processed end, and acknowledgedEnd the highest that is stored.
	lastEnd, acknowledgedEnd int64
	// reportedEnds holds the ends that are not acknowledged, an entry for each report.
	reportedEnds []reportedEnd
	// listsEnds means that the last renewal was answered and its report listed ends.
	listsEnds bool
	// consecutiveFailures counts the failed runs since the last successful one;
	// several of one job in a row count once.
	consecutiveFailures int
	// lastFailedJob is the job of the last failed run, so that a job that always fails does not count repeatedly.
	lastFailedJob string
	// quarantinedAt is when tasks that no other endpoint may run were last held back after failures,
	// quarantinedUntil the end of the last quarantine, and quarantine its length.
	quarantinedAt, quarantinedUntil definer.Instant
	quarantine                      time.Duration
	// pausedUntil is when starts are allowed again after one that was not accepted.
	pausedUntil definer.Instant
	// reportedAt is when the last report arrived, and previousReport when the one before that did.
	reportedAt, previousReport definer.Instant
	// speed is the learned speed, of which 1 is the mean, and countedSpeed its value in the last round.
	speed, countedSpeed float64
}

// runKey identifies a run on an endpoint.
type runKey struct {
	task definer.TaskName
	run  int
}

// phase is the state of a run as the owner knows it.
type phase int

const (
	// phaseSent means that the start has not been answered.
	phaseSent phase = iota
	// phaseRunning means that the endpoint has accepted the start or lists the run.
	phaseRunning
	// phaseStopping means that a stop has been sent.
	phaseStopping
	// phaseStopped means that the endpoint has accepted the stop; the run is over once the inventory no longer lists it.
	phaseStopped
)

// run is one run of a task on an endpoint. It occupies resources until its end is known.
type run struct {
	// task is nil for a run of an unknown task.
	task     *task
	name     definer.TaskName
	number   int
	endpoint *endpoint
	phase    phase
	need     modeler.Resources
	account  *account
	sentAt   definer.Instant
	// answeredAt is when the last order for the run was answered.
	answeredAt definer.Instant
	// stopSentAt is when the last stop was emitted.
	stopSentAt definer.Instant
	checkpoint string
	percent    int
	// progressedAt is when the run started or last made progress.
	progressedAt definer.Instant
	// confirmed means that the endpoint has accepted the start or has listed the run.
	confirmed bool
	// adopted means that an endpoint listed the run and the owner did not know it.
	adopted bool
	// predicted is the prediction for the run when it was started.
	predicted estimator.Prediction
	// resumed means that the run continues from a checkpoint.
	resumed bool
	// beganAt is when the run is known to have begun its work, or 0, and stalledSince since when it stood still
	// when it was stopped for that, or 0.
	beganAt, stalledSince definer.Instant
	// deferred means that the step exceeded a rate or was too late to be useful when the run was started.
	deferred bool
	// life is that of the endpoint when the run was started or adopted.
	life int64
}

const (
	// minQuarantine and maxQuarantine bound how long an endpoint gets no work after
	// repeated failures; the time doubles from one quarantine to the next.
	minQuarantine = 3 * time.Second
	maxQuarantine = 24 * time.Second
	// quarantineThreshold is the number of consecutive failures of different jobs that lead to a quarantine.
	quarantineThreshold = 3
)

// addEndpoint adds an endpoint and assigns it a slot.
func (p *Planner) addEndpoint(e *endpoint) *endpoint {
	p.endpoints[e.ID] = e
	if last := len(p.freeSlots) - 1; last >= 0 {
		e.slot, p.freeSlots = p.freeSlots[last], p.freeSlots[:last]
	} else {
		e.slot = len(p.ordered)
	}
	at, _ := slices.BinarySearchFunc(p.ordered, e.ID, (*endpoint).compareID)
	p.ordered = slices.Insert(p.ordered, at, e)

	return e
}

// removeEndpoint removes an endpoint and frees its slot.
func (p *Planner) removeEndpoint(e *endpoint) {
	delete(p.endpoints, e.ID)
	p.estimator.Forget(e.ID)
	delete(p.changedEndpoints, e.ID)
	delete(p.listingEnds, e)
	delete(p.unacknowledged, e)
	p.freeSlots = append(p.freeSlots, e.slot)
	if at, found := slices.BinarySearchFunc(p.ordered, e.ID, (*endpoint).compareID); found {
		p.ordered = slices.Delete(p.ordered, at, at+1)
	}
}

func (e *endpoint) compareID(id string) int { return strings.Compare(e.ID, id) }

// HasEndpoint reports whether the planner knows an endpoint with the id.
func (p *Planner) HasEndpoint(id string) bool { return p.endpoints[id] != nil }

// Endpoints returns the ids of all endpoints that are not being removed.
func (p *Planner) Endpoints() []string {
	ids := make([]string, 0, len(p.endpoints))
	for id, e := range p.endpoints {
		if e.entry != entryRemoving {
			ids = append(ids, id)
		}
	}

	return ids
}

// RenewalFailed records that a renewal of an endpoint was not answered.
func (p *Planner) RenewalFailed(id string) {
	if e := p.endpoints[id]; e != nil {
		e.listsEnds = false
	}
}

// RenewOrder returns the next renewal for an endpoint and records it as sent. It
// acknowledges ends only to a process that has just listed some: a new life
// numbers its ends anew and would forget one that nobody has seen.
// It extends the lease only while the endpoint answers, so that the lease of an
// endpoint that does not answer expires, and only while a majority of the
// endpoints answers, because another owner may have taken over the cell and
// waits no longer than a lease. It returns false when the endpoint is not known.
func (p *Planner) RenewOrder(id string, now definer.Instant) (definer.Target, definer.RenewOrder, bool) {
	e := p.endpoints[id]
	if e == nil {
		return definer.Target{}, definer.RenewOrder{}, false
	}
	order := definer.RenewOrder{}
	if e.listsEnds {
		order.Acknowledged = e.acknowledgedEnd
	}
	if now < p.majorityUntil && p.fresh(e, now) {
		order.Until = e.leaseEnd(now, p.settings.Lease)
		e.lastSent = now
	}

	return e.target(), order, true
}

// leaseEnd returns the end of a lease granted now, by the endpoint's clock in
// milliseconds.
func (e *endpoint) leaseEnd(now definer.Instant, lease time.Duration) int64 {
	return e.clock + now.Sub(e.clockAt).Milliseconds() + lease.Milliseconds()
}

// usable reports whether tasks may be started on e.
func (e *endpoint) usable(now definer.Instant, freshness time.Duration) bool {
	return e.reachable(now, freshness) && !e.inQuarantine(now)
}

// reachable reports whether e would carry out a start, quarantine aside.
func (e *endpoint) reachable(now definer.Instant, freshness time.Duration) bool {
	return e.acceptedTerm && e.listed && e.entry == entryStored && e.addressStored && !e.Draining && !e.cordoned && e.unknownRuns == 0 &&
		now >= e.pausedUntil && now.Sub(e.lastAnswered) < freshness
}

func (e *endpoint) target() definer.Target {
	return definer.Target{ID: e.ID, Address: e.Address, Zone: e.Zone}
}

func (e *endpoint) free() modeler.Resources { return e.Capacity.Sub(e.used) }

// endpointRestarted handles the restart of an endpoint, which ends the runs
// there. The new process may have accepted a start before the owner learned of
// the restart, so the next inventory decides which runs are lost. Until then the
// endpoint counts as silent: the new process has its own clock and has not seen
// the owner's term.
func (p *Planner) endpointRestarted(e *endpoint, born int64, now definer.Instant) {
	p.note("endpoint restarted", "", "endpoint", e.ID, "runs", len(e.runs))
	e.life = born
	e.acceptedTerm, e.lastAnswered = false, 0
	p.forgetListedEnds(e)
	e.leaseUntil = now.Add(p.settings.maxLeaseBound())
	e.lastEnd, e.acknowledgedEnd, e.reportedEnds = 0, 0, nil
	delete(p.unacknowledged, e)
	e.consecutiveFailures, e.quarantinedUntil, e.quarantine, e.pausedUntil = 0, 0, 0, 0
	for _, r := range e.runs {
		if r.phase == phaseSent || r.phase == phaseStopping && !r.confirmed {
			// The new process may still receive and carry out the start, so the run has to be stopped there.
			p.stopRun(r)
		}
	}
	for key, sent := range e.unansweredStarts {
		if now.Sub(sent) < lateOrderWindow {
			// The new process does not know that the run was stopped; a delayed start would begin it again.
			p.emit(StopCmd{Target: e.target(), Order: definer.StopOrder{Task: key.task, Run: key.run}})
		}
	}
	clear(e.unansweredStarts)
}

// forgetListedEnds forgets what the last life of e has listed; its ends are gone.
func (p *Planner) forgetListedEnds(e *endpoint) {
	e.endsListed = false
	delete(p.listingEnds, e)
}

// lateOrderWindow is how long after it was sent an unanswered order may still be carried out.
const lateOrderWindow = 15 * time.Second

// recordUnansweredStart records that the start of r may still be carried out,
// and drops the records that are older than lateOrderWindow.
func (e *endpoint) recordUnansweredStart(r *run, now definer.Instant) {
	for key, sent := range e.unansweredStarts {
		if now.Sub(sent) >= lateOrderWindow {
			delete(e.unansweredStarts, key)
		}
	}
	if e.unansweredStarts == nil {
		e.unansweredStarts = map[runKey]definer.Instant{}
	}
	e.unansweredStarts[runKey{r.name, r.number}] = r.sentAt
}

// addRun adds a run to its endpoint and to the usage of its account; release
// reverts it.
func (e *endpoint) addRun(r *run) {
	r.life = e.life
	e.runs[runKey{r.name, r.number}] = r
	e.used = e.used.Add(r.need)
	if r.deferred {
		e.deferredMillis += r.need.Millis
	}
	if r.account == nil {
		e.unknownRuns++

		return
	}
	s := r.task.step
	if r.task.activeRuns++; r.task.activeRuns == 1 && !r.task.done {
		s.pendingCount--
	}
	s.placed[e]++
	def := s.def
	r.account.used = r.account.used.Add(def.Need)
	e.countKinds(def, 1)
}

// countKinds adds change to the counts of serving and filling runs that def
// belongs to.
func (e *endpoint) countKinds(def *definer.Step, change int) {
	if def.TailTarget > 0 {
		e.servingRuns += change
	}
	if def.Fills {
		e.fillingRuns += change
	}
}

// writeOff ends a run that its endpoint no longer runs and will not report.
func (p *Planner) writeOff(r *run) {
	if r.task != nil && r.task.run == r {
		r.task.writtenOff = max(r.task.writtenOff, r.number)
	}
	p.learnLost(r)
	p.release(r)
	p.requeue(r, r.checkpoint)
}

// expireLeases ends the runs of endpoints that stopped answering and whose
// leases have expired, and removes endpoints that are neither listed nor in use.
// After the owner was suspended it gives the endpoints time to answer first:
// the silence was its own, and another instance may own the cell.
func (p *Planner) expireLeases(now definer.Instant) {
	if p.resumedAt != 0 && now.Sub(p.resumedAt) < p.settings.Freshness {
		return
	}
	for id, e := range p.endpoints {
		if !p.leaseOver(e, now) {
			continue
		}
		p.dropListingEnds(e)
		for _, r := range e.runs {
			if now.Sub(r.sentAt) <= p.settings.LeaseBound() {
				continue
			}
			p.note("lease ran out", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number)
			p.presumeOver(r, overLeaseExpired)
			if r.task != nil {
				r.task.expiredAt = now
			}
			p.writeOff(r)
		}
		if e.entry == entryAbsent && len(e.runs) == 0 && !e.listed {
			p.removeEndpoint(e)

			continue
		}
		if len(e.runs) == 0 && !e.listed && e.entry != entryRemoving && (e.acceptedTerm || e.missing || p.takeoverSettled()) {
			e.entry = entryRemoving
			p.changedEndpoints[id] = struct{}{}
			p.note("endpoint gone", "", "endpoint", id)
		}
	}
}

// leaseOver reports whether e did not answer at the given time and every lease that
// the owner granted there had expired.
func (p *Planner) leaseOver(e *endpoint, at definer.Instant) bool {
	return at.Sub(e.lastAnswered) >= p.settings.Freshness && at.Sub(e.lastSent) > p.settings.LeaseBound() && at >= e.leaseUntil
}

// recordFailure counts a failed run against the endpoint. It reports whether the
// failure puts the endpoint in quarantine.
func (e *endpoint) recordFailure(job string, now definer.Instant) bool {
	if e.lastFailedJob != job || e.consecutiveFailures == 0 {
		e.consecutiveFailures++
	}
	e.lastFailedJob = job
	if e.consecutiveFailures < quarantineThreshold {
		return false
	}
	e.beginQuarantine(now)
	// One more failure after the quarantine starts the next one.
	e.consecutiveFailures = quarantineThreshold - 1

	return true
}

// recordSuccess resets the count of failures after a successful run.
func (e *endpoint) recordSuccess() { e.consecutiveFailures, e.quarantine = 0, 0 }

// EndpointReplaced handles the answer of another endpoint at the address of an
// endpoint: nothing that was started on the latter still runs, because every owner
// starts tasks only at the address that the table has. The answer proves nothing if
// the endpoint has moved.
func (p *Planner) EndpointReplaced(target definer.Target, now definer.Instant) {
	p.now = now
	e := p.endpoints[target.ID]
	if e == nil || e.Address != target.Address {
		return
	}
	e.acceptedTerm, e.replaced = true, true
	p.forgetListedEnds(e)
	p.presumeAllOver(e, overReplaced)
	e.lastAnswered = 0
	for _, r := range e.runs {
		p.writeOff(r)
	}
}
