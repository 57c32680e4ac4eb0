package elector

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/cell/courier"
	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// claim appends a claim at the offset end and, if that succeeds, starts the owner.
// It reports whether it succeeded. It fails while another claim of this instance is
// outstanding and while the instance is the owner.
func (e *Elector) claim(ctx context.Context, end int64, reason string) bool {
	if e.config.Load() == nil || !e.beginClaim() {
		return false
	}
	claim := journaler.Claim{Name: e.settings.Name, Address: e.settings.Address.String(), Life: e.settings.Life, Beat: int64(definer.Now())}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	reply, err := leader.Append(callCtx, e.store, end, []definer.Record{journaler.EncodeClaim(claim)})
	cancel()
	if err != nil || !reply.Appended {
		e.endClaim(nil)
		e.logger.Info("claim lost", "at", end, "end", reply.End, "error", err)

		return false
	}
	term := end + 1
	client := courier.NewClient(e.endpoints, e.pool, e.courierFor, e.logger, e.metrics)
	lead := leader.New(leader.Settings{Planner: e.settings.Planner, Claim: claim, Term: term, End: end + 1, Evacuation: e.settings.Evacuation},
		e.store, client, e, e.decoder, e.config.Load(), e.logger.Named("owner"), e.metrics)
	e.logger.Info("cell claimed", "term", term, "why", reason)
	e.metrics.Count("claims")
	e.endClaim(lead)
	e.passOnEvacuations(lead)
	owner := Ownership{Term: term, Address: e.settings.Address, Name: e.settings.Name, Life: e.settings.Life}
	e.learn(owner, "claim")
	e.mu.Lock()
	runCtx := e.runCtx
	e.mu.Unlock()
	go e.run(runCtx, lead, client, owner)

	return true
}

// beginClaim marks a claim as outstanding and reports whether it may be made.
func (e *Elector) beginClaim() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.claiming || e.local != nil {
		return false
	}
	e.claiming = true

	return true
}

// endClaim ends an outstanding claim. If the claim failed, lead is nil.
func (e *Elector) endClaim(lead *leader.Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claiming = false
	if e.local = lead; lead != nil {
		e.localEnded = make(chan struct{})
	}
}

// claimTimeout bounds the append of a claim, including retries.
const claimTimeout = 3 * time.Second

// run runs the owner until the ownership ends, and then passes on the
// progress that it could not store.
func (e *Elector) run(ctx context.Context, lead *leader.Leader, client *courier.Client, owner Ownership) {
	go e.announce(ctx, lead, owner)
	clientCtx, stopClient := context.WithCancel(ctx)
	go client.Run(clientCtx)
	err := e.runOwner(ctx, lead)
	stopClient()
	e.mu.Lock()
	e.local = nil
	close(e.localEnded)
	if errors.Is(err, leader.ErrNoQuorum) || errors.Is(err, errOwnerPanic) {
		e.noClaimUntil = definer.Now().Add(noQuorumCooldown)
	}
	e.ownerReached = 0
	e.mu.Unlock()
	e.logger.Warn("ownership ended", "term", owner.Term, "why", err, "unstored", len(lead.Unstored()))
	e.Suspect()
	if len(lead.Unstored()) > 0 {
		e.passOnProgress(ctx, owner.Term, lead.Unstored())
	}
}

// errOwnerPanic means that the owner panicked.
var errOwnerPanic = errors.New("the owner panicked")

// runOwner runs the owner and returns why its ownership ended. A panic ends the
// ownership and not the process, which still serves callers; another instance claims
// the cell.
func (e *Elector) runOwner(ctx context.Context, lead *leader.Leader) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			e.metrics.Count("panics")
			e.logger.Error("owner panicked", "term", lead.Term(), "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
			err = errOwnerPanic
		}
	}()

	return lead.Run(ctx)
}

const (
	// passOnWindow is how long a previous owner tries to pass on what it could not store. It covers outages of the
	// store and cuts between instances.
	passOnWindow = 30 * time.Second
	// passOnRetryDelay is the delay between two attempts, and passOnTimeout bounds an attempt, which includes an
	// append of the next owner.
	passOnRetryDelay = 200 * time.Millisecond
	passOnTimeout    = 5 * time.Second
)

// passOnProgress sends what an owner has learned and could not store to the next
// owner, until one of them has stored it. An owner that is itself superseded
// before that confirms nothing, so that the progress goes to its successor.
func (e *Elector) passOnProgress(ctx context.Context, term int64, observations []planner.Observation) {
	var failedTerm int64
	for until := definer.Now().Add(passOnWindow); definer.Now() < until && ctx.Err() == nil; definer.Sleep(ctx, passOnRetryDelay, nil) {
		owner, _ := e.Owner()
		if owner.Term <= term {
			continue
		}
		progress := &forwarder.UnstoredProgress{Term: term, Observations: observations, Timeout: passOnTimeout}
		callCtx, cancel := context.WithTimeout(ctx, passOnTimeout)
		reply, err := forwarder.Call[forwarder.UnstoredProgress, forwarder.Reply](callCtx, e.pool, owner.Address, "Inherit", progress)
		cancel()
		if err == nil && reply.Outcome == forwarder.OutcomeDone {
			e.logger.Info("unstored progress passed on", "term", term, "to", owner.Name, "to term", owner.Term, "jobs", len(observations))

			return
		}
		if failedTerm != owner.Term {
			failedTerm = owner.Term
			e.logger.Warn("unstored progress not passed on", "term", term, "to", owner.Name, "to term", owner.Term, "jobs", len(observations), "error", err)
		}
	}
	e.logger.Error("unstored progress lost", "term", term, "jobs", len(observations))
}

// noQuorumCooldown is how long an instance does not claim the cell after most endpoints stopped answering it.
const noQuorumCooldown = 5 * time.Second

// maxAnnounced bounds the peers to which a new owner sends a heartbeat. The others
// learn of it from the instances table, so that it does not open a connection to
// every instance while it loads the state.
const maxAnnounced = 24

// announce sends a heartbeat to the peers with the most processor time, which relay
// orders, and writes the owner to the instances table, which it retries until the
// ownership ends.
func (e *Elector) announce(ctx context.Context, lead *leader.Leader, owner Ownership) {
	value, err := msgpack.Marshal(owner)
	if err != nil {
		e.logger.Error("owner not announced", "error", err)

		return
	}
	var group sync.WaitGroup
	peers := e.peersByPower()
	for _, peer := range peers[:min(len(peers), maxAnnounced)] {
		group.Add(1)
		go func() {
			defer group.Done()
			e.exchange(ctx, peer.Address, true)
		}()
	}
	for ctx.Err() == nil {
		callCtx, cancel := definer.WithStallTimeout(ctx, tableTimeout)
		_, err := e.store.Append(callCtx, definer.TableInstances, definer.AnyOffset, []definer.Record{{Key: ownerKey, Value: value}})
		cancel()
		if err == nil {
			break
		}
		select {
		case <-lead.Done():
			return
		case <-time.After(registerRetryDelay):
		}
	}
	group.Wait()
}
