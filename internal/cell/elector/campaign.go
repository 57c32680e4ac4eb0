package elector

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
)

const (
	// heartbeatInterval is how often an instance exchanges heartbeats with the owner, and exchangeTimeout bounds an
	// exchange.
	heartbeatInterval = 300 * time.Millisecond
	exchangeTimeout   = 500 * time.Millisecond
	// maxMissedHeartbeats is the number of consecutive missed heartbeats after which the owner is suspected. An answer
	// of the owner's process that does not know the owner's term counts as missed.
	maxMissedHeartbeats = 2
	// tableSilence is how long the state table must stay unchanged before the cell is claimed; the owner appends at
	// least every 300 ms.
	tableSilence = 750 * time.Millisecond
	// maxOwnerStoreAge is how long the owner may have no answer of the store before an instance that has had one
	// more recently campaigns.
	maxOwnerStoreAge = 900 * time.Millisecond
	// healthyStoreAge is the age of an instance's store above which the instance may have lost it.
	healthyStoreAge = 1500 * time.Millisecond
	// quickRead is the duration of a read up to which the store serves an instance well.
	quickRead = 200 * time.Millisecond
	// reasonLostStore is the reason of a claim when the owner has lost the store.
	reasonLostStore = "owner has lost the store"
	// minTenure is how long after a claim an owner that does not answer is left to load the state.
	minTenure = 3 * time.Second
	// claimRetryDelay is the delay after a campaign that failed because the store did not answer.
	claimRetryDelay = 200 * time.Millisecond
	// claimJitter bounds the random delay that keeps instances from claiming at the same time.
	claimJitter = 60 * time.Millisecond
	// latencyFactor is the delay of a claim in multiples of the store's latency, since an instance far from the
	// store would append slowly.
	latencyFactor = 3
	// maxLatencyDelay bounds that delay. The latency is that of the last load of a table, which a large table or a
	// narrow link makes long.
	maxLatencyDelay = 300 * time.Millisecond
	// maxPowerDelay is the delay of a claim by an instance without processor time. It exceeds the period of the
	// heartbeats by which instances notice a failure at different times, since a weak owner serves the cell badly.
	maxPowerDelay = 700 * time.Millisecond
	// readTimeout bounds the time without progress of a read of the state table.
	readTimeout = 700 * time.Millisecond
	// lastKey sorts after every key of the state table, so that a page after it holds no records, only the end.
	lastKey = "~"
)

// Run monitors the owner until ctx ends and claims the cell when the owner fails.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.done)
	e.mu.Lock()
	e.runCtx = ctx
	e.mu.Unlock()
	missed := 0
	for ctx.Err() == nil {
		owner, changed := e.Owner()
		if e.LocalLeader() != nil {
			e.waitForEvent(ctx, changed)
			missed = 0

			continue
		}
		if owner.Term == 0 || owner.Address == e.settings.Address {
			e.campaign(ctx, "no owner", true)
			e.waitForEvent(ctx, changed)

			continue
		}
		reply := e.exchange(ctx, owner.Address, false)
		if newer, _ := e.Owner(); newer.Term > owner.Term {
			missed = 0

			continue
		}
		switch {
		case reply == nil:
			missed++
			if missed >= maxMissedHeartbeats {
				e.campaign(ctx, "owner does not answer", false)
			}
		case hasEnded(owner, reply):
			missed = 0
			e.campaign(ctx, "owner has ended", true)
		case !reply.IsOwner:
			// The owner may not have the answer to its claim yet, so it gets the time of an unanswered heartbeat.
			if !definer.Sleep(ctx, exchangeTimeout, changed) {
				missed = 0

				continue
			}
			missed++
			if missed >= maxMissedHeartbeats {
				e.campaign(ctx, "owner does not know its claim", false)
			}
		case reply.StoreAge > maxOwnerStoreAge && e.mayHaveStore(reply.StoreAge):
			missed = 0
			e.campaign(ctx, reasonLostStore, false)
		default:
			missed = 0
		}
		e.waitForEvent(ctx, changed)
	}
}

// mayHaveStore reports whether this instance is likely to reach the store although the
// owner, whose store has the given age, does not. The age of this instance's store
// is up to healthyStoreAge while it waits for changes of the configuration.
func (e *Elector) mayHaveStore(ownerAge time.Duration) bool {
	age := e.storeAge()

	return age < healthyStoreAge || age+healthyStoreAge < ownerAge
}

// hasEnded reports whether the reply of the owner's instance shows that its
// ownership has ended: the instance knows the term and is not its owner, or its
// process is not the one that made the claim.
func hasEnded(owner Ownership, reply *forwarder.Heartbeat) bool {
	restarted := owner.Life != 0 && reply.Life != 0 && reply.Life != owner.Life

	return !reply.IsOwner && (reply.Term >= owner.Term || restarted)
}

// waitForEvent waits until the next heartbeat is due, the owner changes or Suspect
// is called.
func (e *Elector) waitForEvent(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(e.heartbeatPeriod())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-e.wake:
	case <-timer.C:
	}
}

// exchange sends a heartbeat to an instance and learns the owner from the reply. It
// returns nil if there is no reply.
func (e *Elector) exchange(ctx context.Context, address netip.AddrPort, announced bool) *forwarder.Heartbeat {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	heartbeat := e.heartbeat()
	heartbeat.Announced = announced
	reply, err := forwarder.Call[forwarder.Heartbeat, forwarder.Heartbeat](callCtx, e.pool, address, "Exchange", heartbeat)
	if err != nil {
		e.metrics.Count("heartbeats missed")

		return nil
	}
	if reply.IsOwner {
		e.learn(Ownership{Term: reply.Term, Address: reply.Owner, Name: reply.Name, Life: reply.Life}, "heartbeat")
		e.recordOwner(reply)
	} else if reply.Term > 0 {
		e.learn(Ownership{Term: reply.Term, Address: reply.Owner, Life: reply.OwnerLife}, "heartbeat")
	}

	return reply
}

// recordOwner records a heartbeat of the owner.
func (e *Elector) recordOwner(heartbeat *forwarder.Heartbeat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if heartbeat.Term == e.owner.Term {
		e.ownerReached = definer.Now()
		e.ownerStoreSeen = max(e.ownerStoreSeen, e.ownerReached.Add(-heartbeat.StoreAge))
	}
}

// heartbeat returns the heartbeat of this instance.
func (e *Elector) heartbeat() *forwarder.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	heartbeat := &forwarder.Heartbeat{
		Name: e.settings.Name, Address: e.settings.Address, Term: e.owner.Term, Owner: e.owner.Address,
		IsOwner:      e.local != nil && e.owner.Address == e.settings.Address,
		ReachesOwner: definer.Since(e.ownerReached) < maxMissedHeartbeats*(heartbeatInterval+exchangeTimeout),
		Life:         e.settings.Life, OwnerLife: e.owner.Life,
	}
	if e.local != nil {
		heartbeat.StoreAge = e.local.StoreAge()
	} else {
		heartbeat.StoreAge = e.storeAge()
	}

	return heartbeat
}

// campaign claims the cell if the state table is empty, if the owner is known to
// have ended, if the state table stays unchanged for tableSilence, or if most
// instances cannot reach the owner.
func (e *Elector) campaign(ctx context.Context, reason string, ended bool) {
	known, may := e.mayCampaign()
	if !may {
		return
	}
	definer.Sleep(ctx, time.Duration(rand.Int64N(int64(claimJitter))), nil)
	if owner, _ := e.Owner(); owner.Term > known.Term {
		return
	}
	sent := definer.Now()
	end, ok := e.readEnd(ctx, reason)
	took := definer.Since(sent)
	if !ok || end > 0 && e.newerClaimExists(ctx, known, end) {
		return
	}
	switch {
	case end == 0 || ended:
		e.claimInTurn(ctx, known, end, reason)
	case reason != reasonLostStore && e.isNew(known):
	case reason == reasonLostStore && took < quickRead || e.majorityLostOwner(ctx, known):
		// An owner that says that it has lost a store that serves this instance need not be waited for.
		e.claimUnlessAnswered(ctx, known, end, reason)
	default:
		e.claimAfterSilence(ctx, known, end, reason)
	}
}

// mayCampaign returns the known owner and whether this instance may claim the cell.
func (e *Elector) mayCampaign() (Ownership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	may := !e.stopping && !e.claiming && definer.Now() >= e.noClaimUntil && e.config.Load() != nil

	return e.owner, may
}

// readEnd returns the end of the state table. It returns false if the store does not
// answer.
func (e *Elector) readEnd(ctx context.Context, reason string) (int64, bool) {
	callCtx, cancel := definer.WithStallTimeout(ctx, readTimeout)
	defer cancel()
	page, err := e.store.Newest(callCtx, definer.TableState, lastKey)
	if err != nil {
		e.logger.Info("contest given up", "why", reason, "error", err)
		definer.Sleep(ctx, claimRetryDelay, nil)

		return 0, false
	}

	return page.End, true
}

// claimAfterSilence claims the cell if nothing is appended at the offset end for
// tableSilence.
func (e *Elector) claimAfterSilence(ctx context.Context, known Ownership, end int64, reason string) {
	callCtx, cancel := definer.WithStallTimeout(ctx, tableSilence+readTimeout)
	tail, err := e.store.Read(callCtx, definer.TableState, end, 1, tableSilence)
	cancel()
	if err != nil {
		e.logger.Info("contest given up", "why", reason, "error", err)

		return
	}
	if owner, _ := e.Owner(); owner.Term > known.Term {
		return
	}
	if tail.End == end {
		e.claimUnlessAnswered(ctx, known, end, reason)

		return
	}
	e.logger.Info("owner still appends", "why", reason, "term", known.Term, "end", tail.End)
	e.learnFromRecords(tail.Records, end)
}

// claimUnlessAnswered claims the cell unless the suspected owner answers now. An owner
// that loads the state does not append.
func (e *Elector) claimUnlessAnswered(ctx context.Context, known Ownership, end int64, reason string) {
	if !e.ownerAnswers(ctx, known) {
		e.claimInTurn(ctx, known, end, reason)
	}
}

// claimInTurn claims the cell at the offset end after a delay that is longer on
// instances that are weaker or farther from the store, unless another owner becomes
// known meanwhile. The delay begins when the claim could be made, because instances
// get there at different times and most of them may be weak.
func (e *Elector) claimInTurn(ctx context.Context, known Ownership, end int64, reason string) {
	until := definer.Now().Add(e.latencyDelay() + e.powerDelay())
	for remaining := until.Sub(definer.Now()); remaining > 0; remaining = until.Sub(definer.Now()) {
		owner, changed := e.Owner()
		if owner.Term > known.Term || ctx.Err() != nil {
			return
		}
		definer.Sleep(ctx, remaining, changed)
	}
	if owner, _ := e.Owner(); owner.Term > known.Term {
		return
	}
	e.claim(ctx, end, reason)
}

// newerClaimExists reports whether the state table ends with the claim of an owner
// that this instance did not know. Otherwise, instances that learn of the end of
// an owner at the same time would take the cell over from one another.
func (e *Elector) newerClaimExists(ctx context.Context, known Ownership, end int64) bool {
	callCtx, cancel := definer.WithStallTimeout(ctx, readTimeout)
	defer cancel()
	tail, err := e.store.Read(callCtx, definer.TableState, end-1, 1, 0)
	if err != nil {
		e.logger.Info("last record not read", "end", end, "error", err)

		return false
	}
	e.learnFromRecords(tail.Records, end-1)
	owner, _ := e.Owner()

	return owner.Term > known.Term
}

// latencyDelay returns the delay of a claim by the latency of the store.
func (e *Elector) latencyDelay() time.Duration {
	return min(latencyFactor*e.storeLatency(), maxLatencyDelay)
}

// powerDelay returns the delay of a claim: from 0 for the strongest instance up to
// maxPowerDelay for one without processor time.
func (e *Elector) powerDelay() time.Duration {
	strongest := e.settings.Power
	for _, peer := range e.peerInstances() {
		strongest = max(strongest, peer.Power)
	}
	if strongest <= 0 {
		return 0
	}

	return time.Duration(float64(maxPowerDelay) * (1 - e.settings.Power/strongest))
}

// learnFromRecords learns the owner from claims among records of the state table
// that start at offset.
func (e *Elector) learnFromRecords(records []definer.Record, offset int64) {
	for i, record := range records {
		entry, err := journaler.Decode(record)
		if err != nil || entry.Claim == nil {
			continue
		}
		address, err := netip.ParseAddrPort(entry.Claim.Address)
		if err != nil {
			e.logger.Error("claim without address", "error", err)

			continue
		}
		term := entry.Claim.Term
		if term == 0 {
			term = offset + int64(i) + 1
		}
		e.learn(Ownership{Term: term, Address: address, Name: entry.Claim.Name, Life: entry.Claim.Life}, "state table")
	}
}
