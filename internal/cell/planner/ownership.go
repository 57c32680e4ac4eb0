package planner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Two owners may be active at the same time, because the earlier one does not
// learn of the later one at once. The earlier one starts tasks and extends leases
// only with a majority of the endpoints that the table may name, and the later one
// starts the tasks that it inherited only after a majority of the endpoints that
// the table did name has accepted its term, and the leases have expired. Both
// majorities have an endpoint in common, because they are majorities of the same
// set.

// tableEntry is what the owner knows about the record of an endpoint in the state table.
type tableEntry int

const (
	// entryAbsent means that the table does not name the endpoint, and no append that would is outstanding.
	entryAbsent tableEntry = iota
	// entryUncertain means that the table may or may not name the endpoint: an append that stores or
	// removes it has not been answered yet.
	entryUncertain
	// entryStored means that the table names the endpoint, so that the next owner asks it for its runs.
	entryStored
	// entryRemoving means that the endpoint is not used any more and its record is to be removed.
	entryRemoving
)

// RestoreEndpoint adds an endpoint that a previous owner has used.
func (p *Planner) RestoreEndpoint(id string, listing definer.Listing) {
	if p.endpoints[id] != nil {
		return
	}
	listing.ID = id
	p.addEndpoint(&endpoint{Listing: listing, runs: map[runKey]*run{}, speed: p.EndpointSpeed(id), entry: entryStored, addressStored: true, inherited: true})
	p.inheritedEndpoints++
}

// keepEndpoint stores an endpoint again that was to be removed and is in use again.
func (p *Planner) keepEndpoint(e *endpoint) {
	if e.entry == entryRemoving {
		e.entry = entryUncertain
		p.storeEndpoint(e)
	}
}

// storeEndpoint makes the next append store e, if it has ever answered or the table
// may name it.
func (p *Planner) storeEndpoint(e *endpoint) {
	if !e.neverUsed() {
		p.changedEndpoints[e.ID] = struct{}{}
	}
}

// mayChangeEndpoints reports whether the owner may change which endpoints the table
// names. Before a majority of the inherited endpoints has accepted its term, the
// previous owner may still be active, and the next one must count the same set.
func (p *Planner) mayChangeEndpoints() bool {
	return p.inheritedEndpoints == 0 || p.majoritySince != 0
}

// HasChangedEndpoints reports whether ChangedEndpoints would return endpoints.
func (p *Planner) HasChangedEndpoints() bool {
	return len(p.changedEndpoints) > 0 && p.mayChangeEndpoints()
}

// ChangedEndpoints returns the endpoints that the next append has to store, and the
// ids of those that it has to remove. It returns each change once.
func (p *Planner) ChangedEndpoints() (stored []definer.Listing, removed []string) {
	if !p.mayChangeEndpoints() {
		return nil, nil
	}
	for id := range p.changedEndpoints {
		// An endpoint may have been removed and listed again since the last append; its present state counts.
		if e := p.endpoints[id]; e != nil && e.entry != entryRemoving {
			if e.entry == entryAbsent {
				e.entry = entryUncertain
			}
			stored = append(stored, e.Listing)
		} else {
			removed = append(removed, id)
		}
	}
	clear(p.changedEndpoints)

	return stored, removed
}

// EndpointsStored records that an append with the result of ChangedEndpoints has succeeded.
func (p *Planner) EndpointsStored(stored []definer.Listing, removed []string) {
	for i := range stored {
		e := p.endpoints[stored[i].ID]
		if e == nil {
			continue
		}
		if e.entry != entryRemoving {
			e.entry = entryStored
		}
		if e.Address == stored[i].Address {
			e.addressStored = true
		}
	}
	for _, id := range removed {
		if e := p.endpoints[id]; e != nil && e.entry == entryRemoving {
			p.removeEndpoint(e)
		}
	}
}

// Appended records a successful append: the offset after its last record, and when
// it was made.
func (p *Planner) Appended(end int64, at definer.Instant) {
	p.tableEnd, p.ownedAt = max(p.tableEnd, end), max(p.ownedAt, at)
}

// withoutExpired returns the tasks without a run that was taken for over, because its
// lease had expired, since the owner's last append. A newer owner may have kept that
// lease alive and acknowledged the run's end; only an append shows that there is none.
func (p *Planner) withoutExpired(pending []*task) []*task {
	startable := pending[:0]
	for _, t := range pending {
		if t.expiredAt == 0 || t.expiredAt <= p.ownedAt {
			startable = append(startable, t)
		}
	}

	return startable
}

// fresh reports whether e has answered under the owner's term within Freshness.
func (p *Planner) fresh(e *endpoint, now definer.Instant) bool {
	return e.acceptedTerm && now.Sub(e.lastAnswered) < p.settings.Freshness
}

// HasMajority reports whether a majority of the endpoints has answered under the
// owner's term within Freshness. Without a majority nothing is started and no
// lease is extended, because another owner may have taken over the cell.
func (p *Planner) HasMajority(now definer.Instant) bool { return now < p.majorityEnd(now) }

// majorityEnd returns when the majority lapses if no endpoint answers any more, or
// 0 if there is none. An endpoint that the table may or may not name counts only
// against the majority, so that the majority holds in both cases. So does one whose
// address the table does not have: the next owner may know that its earlier life has
// ended, while this owner hears its present one.
func (p *Planner) majorityEnd(now definer.Instant) definer.Instant {
	answered := make([]definer.Instant, 0, len(p.endpoints))
	total := 0
	for _, e := range p.endpoints {
		counts, answers := p.countsForMajority(e, now)
		if counts {
			total++
		}
		if answers {
			answered = append(answered, e.lastAnswered)
		}
	}
	needed := total/2 + 1
	if len(answered) < needed {
		return 0
	}
	slices.Sort(answered)

	return answered[len(answered)-needed].Add(p.settings.Freshness)
}

// countsForMajority reports whether e is one of the endpoints of which a majority has
// to answer, and whether it has answered in time and at the address that the table has.
func (p *Planner) countsForMajority(e *endpoint, now definer.Instant) (counts, answers bool) {
	fresh := p.fresh(e, now)
	switch e.entry {
	case entryStored:
		return true, e.addressStored && fresh
	case entryUncertain, entryRemoving:
		return !fresh, false
	case entryAbsent:
	}

	return false, false
}

// HasEndpoints reports whether the table names endpoints.
func (p *Planner) HasEndpoints() bool {
	for _, e := range p.endpoints {
		if e.entry == entryStored {
			return true
		}
	}

	return false
}

// recordMajority records when a majority of the inherited endpoints was first held, that
// is, had answered under the owner's term within Freshness or was gone. They have to
// be held at the same time, because a restarted endpoint has forgotten the term.
func (p *Planner) recordMajority(now definer.Instant) {
	if p.majoritySince != 0 {
		return
	}
	held := 0
	for _, e := range p.endpoints {
		if e.inherited && (e.replaced || e.missing || p.fresh(e, now)) {
			held++
		}
	}
	if 2*held > p.inheritedEndpoints {
		p.majoritySince = now
	}
}

// listReturn is the time within which the entries of living endpoints are back in the
// endpoint list after an outage of the store; a missing endpoint is then gone.
const listReturn = 2 * time.Second

// dropMissing takes inherited endpoints for gone that are neither listed nor answer.
// Without that, an owner whose table names mostly such endpoints would never get the
// majority that it needs to remove them. Their leases may not have expired yet.
func (p *Planner) dropMissing(now definer.Instant) {
	if p.majoritySince != 0 || p.listReadAt == 0 {
		return
	}
	for _, e := range p.ordered {
		missingSince := max(p.listReadAt, e.unlistedAt)
		if e.inherited && !e.acceptedTerm && !e.missing && !e.listed && now.Sub(missingSince) > listReturn+p.settings.Freshness {
			p.note("endpoint missing", "", "endpoint", e.ID, "for", now.Sub(missingSince))
			e.missing, p.mustWait = true, true
		}
	}
}

// takeoverSettled reports whether the runs of the previous owner are all known
// or over: either every endpoint that it used has answered, or every lease that
// it may have granted had expired when the owner last appended. Time says nothing
// about the ends that an answering endpoint has yet to list.
func (p *Planner) takeoverSettled() bool {
	if len(p.listingEnds) > 0 {
		return false
	}
	if p.majoritySince != 0 && p.ownedAt.Sub(p.majoritySince) > p.settings.Freshness+p.settings.LeaseBound() {
		return true
	}
	if p.mustWait {
		return false
	}
	for _, e := range p.endpoints {
		if e.inherited && !e.acceptedTerm {
			return false
		}
	}

	return true
}

// dropListingEnds stops waiting for the ends that e has yet to list, if its lease had
// expired when the owner last appended: a run may start again beside an end that was
// listed before a lease expired and has not been acknowledged since.
func (p *Planner) dropListingEnds(e *endpoint) {
	if _, waiting := p.listingEnds[e]; waiting && p.leaseOver(e, p.ownedAt) {
		delete(p.listingEnds, e)
		p.note("ends of endpoint not listed", "", "endpoint", e.ID, "through", e.lastEnd)
	}
}
