package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// overReason says why the owner took a run for over although no end was listed.
type overReason string

const (
	overLeaseExpired overReason = "lease expired"
	overNotListed    overReason = "not listed"
	overStopped      overReason = "stop accepted and not listed"
	overReplaced     overReason = "another endpoint at the address"
	overRefused      overReason = "start refused"
)

// shownRunning means in noteOverlap that the endpoint lists the run as running.
const shownRunning = "running"

// overlapRecord holds what is known about a task's runs that may overlap. It is
// only used for the log.
type overlapRecord struct {
	presumed presumedEnd
	// noted holds the runs that noteOverlap has written about.
	noted map[endpointRun]bool
}

// endpointRun identifies a run of a task.
type endpointRun struct {
	endpoint string
	number   int
}

// presumedEnd describes the last run of a task that the owner took for over
// without a listed end, and what that rested on.
type presumedEnd struct {
	run       endpointRun
	reason    overReason
	at        definer.Instant
	startedAt definer.Instant
	// answeredAt is the sending time of the endpoint's last answered renewal, and orderedAt that of the last
	// order that may have extended the lease.
	answeredAt, orderedAt definer.Instant
	// runLife is the life of the endpoint when the run began, and life the one when it was taken for over.
	runLife, life int64
	// lastRun is the highest run number that may have been started by then.
	lastRun int
}

// presumeOver records that the owner takes r for over without a listed end.
func (p *Planner) presumeOver(r *run, reason overReason) {
	if r.task == nil {
		return
	}
	e := r.endpoint
	r.task.overlapRecord().presumed = presumedEnd{
		run: r.id(), reason: reason, at: p.now, startedAt: r.sentAt,
		answeredAt: e.lastAnswered, orderedAt: max(e.lastSent, r.sentAt),
		runLife: r.life, life: e.life, lastRun: r.task.lastRun,
	}
}

// presumeAllOver calls presumeOver for all runs of an endpoint.
func (p *Planner) presumeAllOver(e *endpoint, reason overReason) {
	for _, r := range e.runs {
		p.presumeOver(r, reason)
	}
}

// missingReason returns why a run that the inventory does not list is over.
func missingReason(r *run) overReason {
	if r.phase == phaseStopped {
		return overStopped
	}

	return overNotListed
}

func (t *task) overlapRecord() *overlapRecord {
	if t.overlaps == nil {
		t.overlaps = &overlapRecord{}
	}

	return t.overlaps
}

// presumedEnd returns what is known about the presumed end of r, or nil if r was
// not the last run of its task that was taken for over.
func (r *run) presumedEnd() *presumedEnd {
	record := r.task.overlaps
	if record == nil || record.presumed.run != r.id() {
		return nil
	}

	return &record.presumed
}

// active reports whether r is not known to be over.
func (r *run) active() bool { return r.endpoint.runs[runKey{r.name, r.number}] == r }

func (r *run) id() endpointRun { return endpointRun{r.endpoint.ID, r.number} }

// noteListedOverlap notes that an endpoint lists a run as running that the owner
// took for over, or that it did not know while another run of the task is active.
func (p *Planner) noteListedOverlap(r *run, now definer.Instant) {
	if r.task == nil {
		return
	}
	other, presumed := p.otherRun(r), r.presumedEnd()
	if other != nil || presumed != nil {
		p.noteOverlap(r, other, presumed, shownRunning, now)
	}
}

// noteEndedOverlap does the same for an end that an endpoint lists. known is the
// run as the owner knows it, or nil. An adopted run says nothing about an unknown
// end, because an earlier owner may have started the one after the other.
func (p *Planner) noteEndedOverlap(e *endpoint, known *run, row definer.EndedTask, now definer.Instant) {
	if known != nil {
		return
	}
	t := p.task(row.Task)
	if t == nil {
		return
	}
	r := &run{task: t, name: row.Task, number: row.Run, endpoint: e}
	other, presumed := p.otherRun(r), r.presumedEnd()
	if presumed != nil || other != nil && !other.adopted {
		p.noteOverlap(r, other, presumed, string(row.End), now)
	}
}

// otherRun returns an active run of the task of r other than r, or nil.
func (p *Planner) otherRun(r *run) *run {
	t := r.task
	if t.run != nil && t.run != r && t.run.active() {
		return t.run
	}
	if t.activeRuns == 0 || t.activeRuns == 1 && r.active() {
		return nil
	}
	for _, e := range p.ordered {
		for _, candidate := range e.runs {
			if candidate.task == t && candidate != r {
				return candidate
			}
		}
	}

	return nil
}

// noteOverlap writes one note about r, which its endpoint has shown. Without an
// active or later run of the task it is not a sign of an overlap.
func (p *Planner) noteOverlap(r, other *run, presumed *presumedEnd, shown string, now definer.Instant) {
	t, e := r.task, r.endpoint
	record := t.overlapRecord()
	if record.noted[r.id()] {
		return
	}
	if record.noted == nil {
		record.noted = map[endpointRun]bool{}
	}
	record.noted[r.id()] = true
	args := slices.Concat([]any{
		"endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number, "shown", shown,
		"inventory age", age(p.inventorySent, now), "out of order", p.inventorySent < e.lastAnswered,
		"restored", e.inherited, "life", e.life, "last run", t.lastRun, "done", t.done,
	}, presumed.args(now), other.otherArgs(now))
	overlaps := other != nil || t.lastRun > presumed.lastRun
	event := "run listed after presumed end"
	if overlaps {
		event = "overlapping runs"
	}
	p.notes = append(p.notes, Note{Event: event, Warn: overlaps, Job: r.name.Job, Args: args})
}

// args returns the arguments of a note about the presumed end, which may be nil.
func (end *presumedEnd) args(now definer.Instant) []any {
	if end == nil {
		return []any{"reason", "not known to this owner"}
	}

	return []any{
		"reason", string(end.reason), "since", age(end.startedAt, now), "presumed over", age(end.at, now),
		"answer age", age(end.answeredAt, end.at), "order age", age(end.orderedAt, end.at), "run life", end.runLife, "life then", end.life,
	}
}

// otherArgs returns the arguments of a note about the other active run, which may be nil.
func (r *run) otherArgs(now definer.Instant) []any {
	if r == nil {
		return nil
	}

	return []any{
		"other run", r.number, "other endpoint", r.endpoint.ID, "other phase", r.phase.String(),
		"other since", age(r.sentAt, now), "other adopted", r.adopted,
	}
}

func (ph phase) String() string {
	return [...]string{phaseSent: "sent", phaseRunning: shownRunning, phaseStopping: "stopping", phaseStopped: "stopped"}[ph]
}

// age returns the time from at to now in milliseconds, for the log.
func age(at, now definer.Instant) string {
	if at == 0 {
		return "never"
	}

	return now.Sub(at).Round(time.Millisecond).String()
}

// noteTakeover notes once when the first majority is reached and once when the
// takeover is settled, and on what that rests.
func (p *Planner) noteTakeover(now definer.Instant) {
	if !p.majorityNoted && p.majoritySince != 0 {
		p.majorityNoted = true
		p.note("majority reached", "", p.takeoverArgs(now)...)
	}
	if p.settledNoted || !p.takeoverSettled() {
		return
	}
	p.settledNoted = true
	how := "all stored endpoints have accepted the term"
	for _, e := range p.ordered {
		if e.inherited && !e.acceptedTerm {
			how = "time since the majority"
		}
	}
	p.note("takeover settled", "", append([]any{"how", how}, p.takeoverArgs(now)...)...)
}

// maxNotedEndpoints bounds the endpoints that a note names.
const maxNotedEndpoints = 5

// noteMajority notes that the majority of the endpoints was lost or is held again.
// While it is lost nothing starts and no lease is extended, so the note names the
// endpoints that count against it.
func (p *Planner) noteMajority(now definer.Instant) {
	held := now < p.majorityUntil
	if held == p.majorityHeld {
		return
	}
	p.majorityHeld = held
	counted, answered := 0, 0
	silent := make([]string, 0, maxNotedEndpoints)
	for _, e := range p.ordered {
		counts, answers := p.countsForMajority(e, now)
		if counts {
			counted++
		}
		switch {
		case answers:
			answered++
		case counts && len(silent) < maxNotedEndpoints:
			silent = append(silent, e.ID+" of "+e.Service)
		}
	}
	event := "majority held"
	if !held {
		event = "majority lost"
	}
	p.notes = append(p.notes, Note{Event: event, Warn: !held, Args: []any{"counted", counted, "answered", answered, "silent", silent}})
}

// takeoverArgs counts the endpoints that a takeover rests on.
func (p *Planner) takeoverArgs(now definer.Instant) []any {
	stored, accepted, notStored := 0, 0, 0
	for _, e := range p.ordered {
		switch {
		case e.entry == entryStored && e.acceptedTerm:
			stored++
			accepted++
		case e.entry == entryStored:
			stored++
		case e.listed:
			notStored++
		}
	}

	return []any{"stored", stored, "accepted", accepted, "listing ends", len(p.listingEnds), "listed not stored", notStored, "majority age", age(p.majoritySince, now)}
}

// noteAddressChange notes that the endpoint list gives another address for e
// than the one that orders were sent to.
func (p *Planner) noteAddressChange(e *endpoint, listing *definer.Listing) {
	if e.Address == listing.Address {
		return
	}
	p.note("endpoint address changed", "", "endpoint", e.ID, "from", e.Address.String(), "to", listing.Address.String(),
		"accepted", e.acceptedTerm, "runs", len(e.runs), "restored", e.inherited, "life", e.life, "born", listing.Born)
}
