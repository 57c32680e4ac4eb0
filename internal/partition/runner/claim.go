package runner

import (
	"context"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/elector"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// campaignInterval is the interval at which heartbeats are checked for a reason
// to claim the partition.
const campaignInterval = 100 * time.Millisecond

// successorCheckInterval is the interval at which an owner checks whether its
// successors are live. It is long enough for a claim in progress to be read back.
const successorCheckInterval = 2 * time.Second

// pendingClaim is a claim of this instance that has not been read back.
type pendingClaim struct {
	term modeler.Term
	at   time.Time
	// requested is set if a draining owner requested the claim.
	requested bool
}

// electorView returns the input of the elector.
func (r *Runner) electorView() elector.View {
	return elector.View{
		Self: r.settings.Self, Partition: r.settings.Partition, Owner: r.state.Owner, Term: r.state.Term, Peers: r.settings.Membership.Peers(),
	}
}

// campaign claims the partition if the elector or a draining owner calls for it,
// and takes the term of this instance's rank if the log does not answer the
// claim.
func (r *Runner) campaign(ctx context.Context, now time.Time) {
	if r.draining.Load() || !r.view.hasConfig || now.Sub(r.lastCampaign) < campaignInterval {
		return
	}
	r.lastCampaign = now
	if r.claim != nil {
		r.checkPendingClaim(ctx, now)

		return
	}
	r.refreshSuccessors(ctx, now)
	// An owner by rank always has a pending claim and does not get here.
	if r.core != nil || !r.state.Complete || !r.follower.atTail.Load() {
		return
	}
	requested := r.takeOverRequested()
	if !r.elector.ShouldClaim(r.electorView(), now) && !requested {
		return
	}
	r.claim = &pendingClaim{term: modeler.NewTerm(r.state.Term.Epoch()+1, 0), at: now, requested: requested}
	r.appender.enqueue(encoder.Batch{
		Term: r.claim.term, Author: r.settings.Self.ID, Seq: 1,
		Claim: &encoder.Claim{
			Successors: elector.Successors(r.electorView(), now), Endpoints: claimEndpoints(r.view.endpoints, r.state.Endpoints),
		},
	})
	r.settings.Logger.Info("claiming partition", "partition", r.settings.Partition.Name, "term", r.claim.term, "owner", r.state.Owner)
}

// takeOverRequested reports whether the owner of the current term has asked this
// instance to take over. It drops a request of an earlier term and keeps one of a
// term that was not read yet.
func (r *Runner) takeOverRequested() bool {
	requested := modeler.Term(r.takeOverTerm.Load())
	if requested > r.state.Term {
		return false
	}
	r.takeOverTerm.CompareAndSwap(uint64(requested), 0)

	return requested != 0 && requested == r.state.Term
}

// claimEndpoints returns the endpoints that a takeover names: those of the claim
// in force, as they are now listed, or the listed ones if there is none. The
// owner adds and removes endpoints in a later claim, once it has a majority of
// these.
func claimEndpoints(listed, claimed []modeler.Instance) []modeler.Instance {
	if len(claimed) == 0 {
		return slices.Clone(listed)
	}
	current := slices.Clone(claimed)
	for i, endpoint := range current {
		if at := slices.IndexFunc(listed, func(e modeler.Instance) bool { return e.ID == endpoint.ID }); at >= 0 {
			current[i] = listed[at]
		}
	}

	return current
}

// checkPendingClaim decides on a pending claim while the log does not answer. It
// abandons the claim if a heartbeat of the owner or of another successor has
// arrived in the meantime. Otherwise this instance takes the term of its rank.
func (r *Runner) checkPendingClaim(ctx context.Context, now time.Time) {
	if r.core != nil || now.Sub(r.claim.at) < elector.LogTimeout || !r.follower.silent(now, elector.LogTimeout) {
		return
	}
	if !r.elector.ShouldClaim(r.electorView(), now) && !r.claim.requested {
		r.appender.stopAppend()
		r.claim = nil

		return
	}
	r.becomeOwnerByRank(ctx)
}

// becomeOwnerByRank makes this instance the owner under the term of its rank.
// The claim stays pending; until it is in the log, the owner writes no batch and
// accepts no work.
func (r *Runner) becomeOwnerByRank(ctx context.Context) {
	if term, ok := elector.RankTerm(r.state.Term, r.state.Successors, r.settings.Self.ID); ok {
		r.becomeOwner(ctx, term, 0)
	}
}

// becomeOwner makes this instance the owner under a term.
func (r *Runner) becomeOwner(ctx context.Context, term modeler.Term, seq uint64) {
	r.settings.Logger.Info("owning partition", "partition", r.settings.Partition.Name, "term", term)
	r.core = owner.New(r.settings.Self.ID, term, seq, r.state, owner.WithScheduler(r.settings.NewScheduler()), owner.WithViolation(r.reportViolation))
	r.update(ctx, r.core, owner.ConfigMsg{Document: r.view.document, Offset: r.view.offset})
	r.update(ctx, r.core, owner.EndpointsMsg{Instances: r.view.endpoints})
	r.update(ctx, r.core, owner.TickMsg{})
	r.collectTransfers(ctx)
}

// reportViolation logs a violated invariant and calls the hook.
func (r *Runner) reportViolation(invariant, detail string) {
	r.settings.Logger.Error("invariant violated", "invariant", invariant, "partition", r.settings.Partition.Name, "detail", detail)
	if r.settings.Violation != nil {
		r.settings.Violation(invariant, detail)
	}
}

// loseOwnership retires the core of this instance. The retired core still
// answers the callers of calls in progress. void is set if a later term was read
// from the stream without a gap, so that batches not read before it have no
// effect.
func (r *Runner) loseOwnership(ctx context.Context, void bool) {
	core := r.core
	if core == nil {
		return
	}
	r.core = nil
	r.claim = nil
	// A new elector gives the new owner time to send heartbeats before this
	// instance claims again.
	r.elector = elector.Elector{}
	r.appender.stopAppend()
	r.settings.Logger.Info("lost partition", "partition", r.settings.Partition.Name, "term", core.Term(), "owner", r.state.Owner)
	r.update(ctx, core, owner.OwnershipLostMsg{Void: void})
	r.retired = append(r.retired, core)
}

// applyPage applies records of the stream to the state and passes valid batches
// to the core.
func (r *Runner) applyPage(ctx context.Context, page messenger.Page) {
	for _, record := range page.Records {
		var batch encoder.Batch
		if err := encoder.Unmarshal(record.Data, &batch); err != nil {
			r.settings.Logger.Warn("record cannot be decoded", "partition", r.settings.Partition.Name, "offset", record.Offset, "error", err)
			// An empty batch advances the offset, so that the next record shows
			// no gap.
			batch = encoder.Batch{}
		}
		r.mu.Lock()
		valid, err := r.state.Apply(record.Offset, batch)
		complete := r.state.Complete
		r.mu.Unlock()
		if err != nil {
			r.settings.Logger.Error("record cannot be applied", "partition", r.settings.Partition.Name, "offset", record.Offset, "error", err)
		}
		if !complete {
			r.loseOwnership(ctx, false)
			r.claim = nil
		}
		// The first record counts as a snapshot, because it begins the stream.
		if valid && (batch.Snapshot != nil || r.lastSnapshot.IsZero()) {
			r.lastSnapshot = record.Time
		}
		if valid {
			r.handleBatch(ctx, batch)
		}
	}
}

// handleBatch updates the pending claim and the core after a valid batch.
func (r *Runner) handleBatch(ctx context.Context, batch encoder.Batch) {
	own := batch.Author == r.settings.Self.ID
	if r.claim != nil && batch.Term >= r.claim.term {
		r.claim = nil
		r.appender.stopAppend()
	}
	// An abandoned claim may still have reached the log.
	if own && batch.Claim != nil && (r.core == nil || batch.Term > r.core.Term()) {
		r.applyOwnClaim(ctx, batch)

		return
	}
	if r.core == nil {
		return
	}
	switch {
	case own && batch.Term == r.core.Term():
		r.appender.stopAppend()
		r.update(ctx, r.core, owner.CommittedMsg{Seq: batch.Seq})
	case batch.Term > r.core.Term():
		r.loseOwnership(ctx, true)
	default:
		r.update(ctx, r.core, owner.PredecessorBatchMsg{Batch: batch})
	}
}

// refreshSuccessors claims the next epoch if too few of the successors named in
// the current claim are live. Without a live successor, no instance can take
// over while the log is down. The first claims after start-up name no successor,
// because no heartbeat of a peer has arrived yet.
func (r *Runner) refreshSuccessors(ctx context.Context, now time.Time) {
	if r.core == nil || !r.core.Ready(now) || now.Sub(r.lastSuccessorCheck) < successorCheckInterval {
		return
	}
	r.lastSuccessorCheck = now
	successors := elector.Successors(r.electorView(), now)
	if elector.CountLive(r.state.Successors, r.electorView(), now) < min(len(successors), elector.MinSuccessors) {
		r.update(ctx, r.core, owner.ClaimMsg{Successors: successors})
	}
}

// claimNextEpoch claims the next epoch for the owner, because an endpoint has
// seen a later term: that of an instance that did not reach a majority of the
// endpoints, or of the owner of another partition that the endpoint belonged to.
func (r *Runner) claimNextEpoch(ctx context.Context, cmd owner.ClaimCmd) {
	if cmd.Endpoint != "" {
		r.settings.Logger.Warn("endpoint has seen a later term", "partition", r.settings.Partition.Name, "endpoint", cmd.Endpoint, "term", r.core.Term())
	}
	if !r.draining.Load() && r.claim == nil {
		r.update(ctx, r.core, owner.ClaimMsg{Successors: elector.Successors(r.electorView(), r.settings.Clock())})
	}
}

// applyOwnClaim takes over the partition under a claim of this instance that is
// in the log. An owner that has a majority continues under the new term. One
// without a majority starts with a new core, because another owner may have been
// active in the meantime.
func (r *Runner) applyOwnClaim(ctx context.Context, batch encoder.Batch) {
	if r.core != nil && !r.core.Ready(r.settings.Clock()) {
		r.loseOwnership(ctx, true)
	}
	if r.core != nil {
		r.update(ctx, r.core, owner.TermMsg{Term: batch.Term, Seq: batch.Seq})

		return
	}
	r.becomeOwner(ctx, batch.Term, batch.Seq)
}
