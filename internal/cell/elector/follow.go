package elector

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
)

const (
	// beatEvery is how often an instance exchanges heartbeats with the owner, and beatTimeout bounds one.
	beatEvery   = 300 * time.Millisecond
	beatTimeout = 500 * time.Millisecond
	// missesToSuspect is how many heartbeats in a row the owner may miss.
	missesToSuspect = 2
	// silence is how long the state table must stand still before the cell is claimed; the owner appends every 300 ms.
	silence = 750 * time.Millisecond
	// storeSilence is how long the owner may be without the store while this instance has it.
	storeSilence = 900 * time.Millisecond
	// pauseBetween is the pause between two attempts to claim.
	pauseBetween = 200 * time.Millisecond
	// rankSpread spreads the claims of several instances.
	rankSpread = 60 * time.Millisecond
	// tripWeight delays the claim of an instance far from the store: its appends would be slow.
	tripWeight = 3
	// weakDelay is the delay of an instance without any processor time of its own.
	weakDelay = 250 * time.Millisecond
	// readTimeout bounds a look at the state table.
	readTimeout = 700 * time.Millisecond
	// lastKey sorts behind every key of the state table, so that a page holds no records.
	lastKey = "~"
)

// Run watches the owner until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	defer close(e.done)
	e.mu.Lock()
	e.base = ctx
	e.mu.Unlock()
	missed := 0
	for ctx.Err() == nil {
		owner, changed := e.Owner()
		if e.LocalLeader() != nil {
			e.rest(ctx, changed)
			missed = 0

			continue
		}
		if owner.Term == 0 || owner.Address == e.settings.Address {
			e.contest(ctx, "no owner", true)
			e.rest(ctx, changed)

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
			if missed >= missesToSuspect {
				e.contest(ctx, "owner does not answer", false)
			}
		case !reply.IsOwner:
			missed = 0
			e.contest(ctx, "owner has ended", true)
		case reply.StoreAge > storeSilence && e.storeAge() < reply.StoreAge:
			missed = 0
			e.contest(ctx, "owner is without the store", false)
		default:
			missed = 0
		}
		e.rest(ctx, changed)
	}
}

// rest waits for the next heartbeat, a change of the owner or a suspicion.
func (e *Elector) rest(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(beatEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-e.wake:
	case <-timer.C:
	}
}

// exchange sends a heartbeat and learns from the answer.
func (e *Elector) exchange(ctx context.Context, address netip.AddrPort, announced bool) *forwarder.Heartbeat {
	callCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	beat := e.beat()
	beat.Announced = announced
	reply, err := forwarder.Call[forwarder.Heartbeat, forwarder.Heartbeat](callCtx, e.pool, address, "Exchange", beat)
	if err != nil {
		e.metrics.Count("heartbeats missed")

		return nil
	}
	if reply.IsOwner {
		e.learn(Ownership{Term: reply.Term, Address: reply.Owner, Name: reply.Name}, "heartbeat")
		e.mu.Lock()
		if reply.Term == e.owner.Term {
			e.reachedAt = definer.Now()
		}
		e.mu.Unlock()
	} else if reply.Term > 0 {
		e.learn(Ownership{Term: reply.Term, Address: reply.Owner}, "heartbeat")
	}

	return reply
}

// beat describes this instance.
func (e *Elector) beat() *forwarder.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	beat := &forwarder.Heartbeat{
		Name: e.settings.Name, Address: e.settings.Address, Term: e.owner.Term, Owner: e.owner.Address,
		IsOwner:      e.lead != nil && e.owner.Address == e.settings.Address,
		ReachesOwner: definer.Since(e.reachedAt) < missesToSuspect*(beatEvery+beatTimeout),
	}
	if e.lead != nil {
		beat.StoreAge = e.lead.StoreAge()
	} else {
		beat.StoreAge = e.storeAge()
	}

	return beat
}

// contest claims the cell when the owner is known to have ended, when the
// state table stands still, or when most instances have lost the owner.
func (e *Elector) contest(ctx context.Context, why string, ended bool) {
	e.mu.Lock()
	barred := e.stopping || definer.Now() < e.barredUntil
	known := e.owner
	e.mu.Unlock()
	if barred || e.config.Load() == nil {
		return
	}
	definer.Sleep(ctx, time.Duration(rand.Int64N(int64(rankSpread)))+tripWeight*e.storeTrip()+e.weakness(), nil)
	if owner, _ := e.Owner(); owner.Term > known.Term {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	page, err := e.store.Newest(callCtx, definer.TableState, lastKey)
	cancel()
	if err != nil {
		e.logger.Info("contest given up", "why", why, "error", err)
		definer.Sleep(ctx, pauseBetween, nil)

		return
	}
	if page.End > 0 && e.claimed(ctx, known, page.End) {
		return
	}
	if page.End == 0 || ended || e.voted(ctx, known) {
		e.takeOver(ctx, page.End, why)

		return
	}
	callCtx, cancel = context.WithTimeout(ctx, silence+readTimeout)
	tail, err := e.store.Read(callCtx, definer.TableState, page.End, 1, silence)
	cancel()
	if err != nil {
		e.logger.Info("contest given up", "why", why, "error", err)

		return
	}
	if owner, _ := e.Owner(); owner.Term > known.Term {
		return
	}
	if tail.End == page.End {
		e.takeOver(ctx, page.End, why)

		return
	}
	e.logger.Info("owner still appends", "why", why, "term", known.Term, "end", tail.End)
	e.learnFrom(tail.Records, page.End)
}

// claimed reports whether the state table ends with the claim of an owner that
// this instance did not know. Instances that learn of an owner's end together
// would otherwise take the cell from one another.
func (e *Elector) claimed(ctx context.Context, known Ownership, end int64) bool {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	tail, err := e.store.Read(callCtx, definer.TableState, end-1, 1, 0)
	if err != nil {
		e.logger.Info("last record not read", "end", end, "error", err)

		return false
	}
	e.learnFrom(tail.Records, end-1)
	owner, _ := e.Owner()

	return owner.Term > known.Term
}

// weakness delays the claim of an instance with less processor time than others.
func (e *Elector) weakness() time.Duration {
	strongest := e.settings.Power
	for _, peer := range e.instances() {
		strongest = max(strongest, peer.Power)
	}
	if strongest <= 0 {
		return 0
	}

	return time.Duration(float64(weakDelay) * (1 - e.settings.Power/strongest))
}

// learnFrom finds the claim of a new owner among records.
func (e *Elector) learnFrom(records []definer.Record, offset int64) {
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
		e.learn(Ownership{Term: term, Address: address, Name: entry.Claim.Name}, "state table")
	}
}

// voted reports whether most instances, this one among them, do not reach the owner.
func (e *Elector) voted(ctx context.Context, owner Ownership) bool {
	peers := e.instances()
	if len(peers) < 2 {
		return false
	}
	lost := make(chan bool, len(peers))
	var group sync.WaitGroup
	for _, peer := range peers {
		if peer.Address == owner.Address {
			lost <- true

			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			reply := e.exchange(ctx, peer.Address, false)
			lost <- reply != nil && reply.Term == owner.Term && !reply.ReachesOwner
		}()
	}
	group.Wait()
	close(lost)
	votes := 1
	for vote := range lost {
		if vote {
			votes++
		}
	}

	return votes*2 > len(peers)+1
}
