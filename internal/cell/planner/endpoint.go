package planner

import (
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// endpoint is an endpoint as the owner knows it.
type endpoint struct {
	definer.Listing
	// slot numbers the endpoint among those that are known.
	slot int
	// listed means that the endpoint list names it.
	listed bool
	// stored means that the store names the endpoint, so that a successor looks for its tasks.
	stored bool
	// held means that the endpoint has answered under the owner's term.
	held bool
	// leavesAt is when a draining endpoint leaves at the earliest, or 0.
	leavesAt definer.Instant
	// life is the birth of the life that answered last.
	life int64
	// answered is the sending time of the last answered renewal, and sent that of the last renewal sent.
	answered, sent definer.Instant
	// clockAt and clock are the last reading of the endpoint's clock in milliseconds.
	clockAt definer.Instant
	clock   int64
	runs    map[runKey]*run
	used    modeler.Resources
	// serving and filling count the runs that serve users and those that use what others leave over.
	serving, filling int
	// unknown counts the runs whose needs are not known; nothing is started beside them.
	unknown int
	// doubtful holds starts that were not answered and may still be carried out, by the time of their sending.
	doubtful map[runKey]definer.Instant
	// seen is the highest end processed, and acknowledged the highest that is stored.
	seen, acknowledged int64
	// failures counts the failed ends without a good one between them.
	failures int
	// failedJob is the job of the last failed end, so that a hopeless job does not count repeatedly.
	failedJob string
	// quarantinedUntil and quarantine delay further starts after failures.
	quarantinedUntil definer.Instant
	quarantine       time.Duration
	// speed is the mean ratio of estimates to run times.
	speed float64
}

// runKey names a run on an endpoint.
type runKey struct {
	task definer.TaskName
	run  int
}

// phase is the state of a run.
type phase int

const (
	// phaseSent means that the start has not been answered.
	phaseSent phase = iota
	// phaseRunning means that the endpoint runs it.
	phaseRunning
	// phaseStopping means that a stop has been sent.
	phaseStopping
	// phaseStopped means that the endpoint has accepted the stop; the run is over when the inventory no longer has it.
	phaseStopped
)

// run is a run of a task on an endpoint. It takes room until its end is known.
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
	// settledAt is when the last order for the run was answered.
	settledAt definer.Instant
	// stopAt is when a stop was last asked for.
	stopAt     definer.Instant
	checkpoint string
	percent    int
	changedAt  definer.Instant
	confirmed  bool
}

const (
	// quarantineFirst and quarantineMost bound how long an endpoint gets no work after failing repeatedly.
	quarantineFirst = 3 * time.Second
	quarantineMost  = 24 * time.Second
	// failuresToQuarantine is how many tasks of different jobs have to fail in a row.
	failuresToQuarantine = 3
)

// UpdateListing takes an entry of the endpoint list.
func (p *Planner) UpdateListing(listing definer.Listing, now definer.Instant) {
	e := p.endpoints[listing.ID]
	if e == nil {
		e = p.add(&endpoint{Listing: listing, runs: map[runKey]*run{}, speed: 1})
		p.emit(StoreEndpointCmd{Endpoint: listing.ID})
	}
	if e.life != 0 && listing.Born > e.life {
		p.newLife(e, listing.Born)
		p.emit(InventoryCmd{Endpoint: e.ID})
	}
	if listing.Draining && !e.Draining {
		p.note("endpoint leaving", "", "endpoint", e.ID, "remaining", listing.Remaining)
	}
	e.Listing = listing
	e.listed = true
	e.leave(&listing, now)
}

// add makes an endpoint known.
func (p *Planner) add(e *endpoint) *endpoint {
	p.endpoints[e.ID] = e
	if last := len(p.vacant) - 1; last >= 0 {
		e.slot, p.vacant = p.vacant[last], p.vacant[:last]
	} else {
		e.slot = len(p.ordered)
	}
	at, _ := slices.BinarySearchFunc(p.ordered, e.ID, (*endpoint).compareID)
	p.ordered = slices.Insert(p.ordered, at, e)

	return e
}

// remove forgets an endpoint.
func (p *Planner) remove(e *endpoint) {
	delete(p.endpoints, e.ID)
	p.vacant = append(p.vacant, e.slot)
	if at, found := slices.BinarySearchFunc(p.ordered, e.ID, (*endpoint).compareID); found {
		p.ordered = slices.Delete(p.ordered, at, at+1)
	}
}

func (e *endpoint) compareID(id string) int { return strings.Compare(e.ID, id) }

// RestoreEndpoint takes an endpoint that an earlier owner has used.
func (p *Planner) RestoreEndpoint(id string, listing definer.Listing) {
	if p.endpoints[id] == nil {
		listing.ID = id
		p.add(&endpoint{Listing: listing, runs: map[runKey]*run{}, speed: 1, stored: true})
	}
}

// EndpointStored marks an endpoint as named by the store.
func (p *Planner) EndpointStored(id string) {
	if e := p.endpoints[id]; e != nil {
		e.stored = true
	}
}

// RemoveListing takes the removal of an entry of the endpoint list.
func (p *Planner) RemoveListing(id string) {
	if e := p.endpoints[id]; e != nil {
		e.listed = false
	}
}

// EndpointListing returns what the list says of an endpoint.
func (p *Planner) EndpointListing(id string) (definer.Listing, bool) {
	if e := p.endpoints[id]; e != nil {
		return e.Listing, true
	}

	return definer.Listing{}, false
}

// Endpoints returns the ids of all endpoints.
func (p *Planner) Endpoints() []string {
	ids := make([]string, 0, len(p.endpoints))
	for id := range p.endpoints {
		ids = append(ids, id)
	}

	return ids
}

// RenewOrder returns the next renewal for an endpoint and notes that it is
// sent. A renewal extends the lease only while the endpoint answers, so that
// the lease of one that does not answer runs out.
func (p *Planner) RenewOrder(id string, now definer.Instant) (definer.Target, definer.RenewOrder, bool) {
	e := p.endpoints[id]
	if e == nil {
		return definer.Target{}, definer.RenewOrder{}, false
	}
	order := definer.RenewOrder{Acknowledged: e.acknowledged}
	if e.held && now.Sub(e.answered) < p.settings.Freshness {
		order.Until = e.until(now, p.settings.Lease)
		e.sent = now
	}

	return e.target(), order, true
}

// until returns the end of a lease on the endpoint's clock in milliseconds.
func (e *endpoint) until(now definer.Instant, lease time.Duration) int64 {
	return e.clock + now.Sub(e.clockAt).Milliseconds() + lease.Milliseconds()
}

// usable reports whether tasks may be started on e.
func (e *endpoint) usable(now definer.Instant, freshness time.Duration) bool {
	return e.held && e.listed && e.stored && !e.Draining && e.unknown == 0 && now >= e.quarantinedUntil && now.Sub(e.answered) < freshness
}

func (e *endpoint) target() definer.Target {
	return definer.Target{ID: e.ID, Address: e.Address, Zone: e.Zone}
}

func (e *endpoint) room() modeler.Resources { return e.Capacity.Sub(e.used) }

// open reports whether a majority of the stored endpoints has lately
// answered under the owner's term. Without it nothing is started, because
// another owner may have taken the cell over.
func (p *Planner) open(now definer.Instant) bool {
	stored, fresh := 0, 0
	for _, e := range p.endpoints {
		if !e.stored {
			continue
		}
		stored++
		if e.held && now.Sub(e.answered) < p.settings.Freshness {
			fresh++
		}
	}
	majority := fresh*2 > stored
	if majority && p.openedAt == 0 {
		p.openedAt = now
	}

	return majority
}

// FreshEndpoints reports how many of the stored endpoints have answered lately.
func (p *Planner) FreshEndpoints(now definer.Instant) (fresh, stored int) {
	for _, e := range p.endpoints {
		if !e.stored {
			continue
		}
		stored++
		if e.held && now.Sub(e.answered) < p.settings.Freshness {
			fresh++
		}
	}

	return fresh, stored
}

// settled reports whether every endpoint that an earlier owner used has
// answered, or the lease that the earlier owner may have given has run out.
func (p *Planner) settled(now definer.Instant) bool {
	if p.openedAt != 0 && now.Sub(p.openedAt) > p.settings.Freshness+p.settings.LeaseBound() {
		return true
	}
	for _, e := range p.endpoints {
		if e.stored && !e.held {
			return false
		}
	}

	return true
}

// newLife takes note that an endpoint has restarted: what ran there is over. A
// start may have been answered by the new life before the owner knew of it, so
// the next inventory decides which runs are lost.
func (p *Planner) newLife(e *endpoint, born int64) {
	p.note("endpoint restarted", "", "endpoint", e.ID, "runs", len(e.runs))
	e.life = born
	e.seen, e.acknowledged = 0, 0
	e.failures, e.quarantinedUntil, e.quarantine = 0, 0, 0
	for _, r := range e.runs {
		if r.phase == phaseSent || r.phase == phaseStopping && !r.confirmed {
			// The order may still be carried out, now by the new life: it has to be stopped there.
			p.stop(r)
		}
	}
	for key, sent := range e.doubtful {
		if p.now.Sub(sent) < lateOrder {
			// The new life does not know that the run was stopped; a start that arrives late would begin it again.
			p.emit(StopCmd{Target: e.target(), Order: definer.StopOrder{Task: key.task, Run: key.run}})
		}
	}
	clear(e.doubtful)
}

// lateOrder is how long after its sending an unanswered order may be carried out.
const lateOrder = 15 * time.Second

// doubt notes that a start may still be carried out.
func (e *endpoint) doubt(r *run, now definer.Instant) {
	for key, sent := range e.doubtful {
		if now.Sub(sent) >= lateOrder {
			delete(e.doubtful, key)
		}
	}
	if e.doubtful == nil {
		e.doubtful = map[runKey]definer.Instant{}
	}
	e.doubtful[runKey{r.name, r.number}] = r.sentAt
}

// take counts a run as present on its endpoint; release undoes it.
func (e *endpoint) take(r *run) {
	e.runs[runKey{r.name, r.number}] = r
	e.used = e.used.Add(r.need)
	if r.account == nil {
		e.unknown++

		return
	}
	def := r.task.step.def
	r.account.used = r.account.used.Add(def.Need)
	e.count(def, 1)
}

// count adds to the runs that serve or fill.
func (e *endpoint) count(def *definer.Step, change int) {
	if def.TailTarget > 0 {
		e.serving += change
	}
	if def.Fills {
		e.filling += change
	}
}

// lose ends a run that its endpoint no longer runs and will not report.
func (p *Planner) lose(r *run) {
	if r.task != nil && r.task.run == r {
		r.task.writtenOff = max(r.task.writtenOff, r.number)
	}
	p.release(r)
	p.requeue(r, r.checkpoint)
}

// lapse ends the runs of endpoints whose lease has run out unanswered, and
// drops endpoints that are gone.
func (p *Planner) lapse(now definer.Instant) {
	for id, e := range p.endpoints {
		if now.Sub(e.answered) < p.settings.Freshness {
			continue
		}
		if now.Sub(e.sent) <= p.settings.LeaseBound() {
			continue
		}
		for _, r := range e.runs {
			if now.Sub(r.sentAt) <= p.settings.LeaseBound() {
				continue
			}
			p.note("lease ran out", r.name.Job, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number)
			p.lose(r)
		}
		if len(e.runs) == 0 && !e.listed && (e.held || p.settled(now)) {
			p.remove(e)
			p.emit(RemoveEndpointCmd{Endpoint: id})
			p.note("endpoint gone", "", "endpoint", id)
		}
	}
}

// failedOn counts a failed end against the endpoint.
func (e *endpoint) failedOn(job string, now definer.Instant) bool {
	if e.failedJob != job || e.failures == 0 {
		e.failures++
	}
	e.failedJob = job
	if e.failures < failuresToQuarantine {
		return false
	}
	e.quarantine = min(max(e.quarantine*2, quarantineFirst), quarantineMost)
	e.quarantinedUntil = now.Add(e.quarantine)
	// One more failure after the pause renews it.
	e.failures = failuresToQuarantine - 1

	return true
}

// doneOn takes note of a good end.
func (e *endpoint) doneOn() { e.failures, e.quarantine = 0, 0 }

// EndpointReplaced takes note that another life answers at the address of an
// endpoint: nothing that was started on it still runs.
func (p *Planner) EndpointReplaced(id string) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.held = true
	e.answered = 0
	for _, r := range e.runs {
		p.lose(r)
	}
}
