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

// campaignEvery is the pace at which heartbeats are looked at.
const campaignEvery = 100 * time.Millisecond

// refreshEvery is the pace at which an owner looks at its successors. A claim
// that is on its way is read back well within this time.
const refreshEvery = 2 * time.Second

// claim is a claim of this instance that has not been read back.
type claim struct {
	term modeler.Term
	at   time.Time
	// asked is set for a claim that a draining owner asked for.
	asked bool
}

// electorView returns what the elector looks at.
func (r *Runner) electorView() elector.View {
	return elector.View{
		Self: r.set.Self, Partition: r.set.Partition, Owner: r.state.Owner, Term: r.state.Term, Peers: r.set.Membership.Peers(),
	}
}

// campaign claims the partition when it is due, and takes the term of this
// instance's rank when the log does not answer the claim.
func (r *Runner) campaign(ctx context.Context, now time.Time) {
	if r.draining.Load() || !r.view.ok || now.Sub(r.campaigned) < campaignEvery {
		return
	}
	r.campaigned = now
	if r.claim != nil {
		r.pursue(ctx, now)

		return
	}
	r.refreshSuccessors(ctx, now)
	// An owner by rank always has an open claim.
	if r.core != nil || !r.state.Complete || !r.follow.tail.Load() {
		return
	}
	asked := r.claimNow.Swap(false)
	if !r.elector.ShouldClaim(r.electorView(), now) && !asked {
		return
	}
	r.claim = &claim{term: modeler.NewTerm(r.state.Term.Epoch()+1, 0), at: now, asked: asked}
	r.append.put(encoder.Batch{
		Term: r.claim.term, Author: r.set.Self.ID, Seq: 1,
		Claim: &encoder.Claim{
			Successors: elector.Successors(r.electorView(), now), Endpoints: join(r.view.endpoints, r.state.Endpoints),
		},
	})
	r.set.Logger.Info("claiming partition", "partition", r.set.Partition.Name, "term", r.claim.term, "owner", r.state.Owner)
}

// join returns the listed endpoints and those of the claim before, which may
// still run work although they are no longer listed.
func join(listed, claimed []modeler.Instance) []modeler.Instance {
	all := slices.Clone(listed)
	for _, endpoint := range claimed {
		if !slices.ContainsFunc(listed, func(e modeler.Instance) bool { return e.ID == endpoint.ID }) {
			all = append(all, endpoint)
		}
	}

	return all
}

// pursue looks at an open claim while the log does not answer: the claim is
// given up when the owner, or another successor, was heard in the meantime;
// otherwise this instance takes the term of its rank.
func (r *Runner) pursue(ctx context.Context, now time.Time) {
	if r.core != nil || now.Sub(r.claim.at) < elector.LogTimeout || !r.follow.silent(now, elector.LogTimeout) {
		return
	}
	if !r.elector.ShouldClaim(r.electorView(), now) && !r.claim.asked {
		r.append.settle()
		r.claim = nil

		return
	}
	r.takeRank(ctx)
}

// takeRank becomes the owner under the term of this instance's rank. The claim
// stays open; until it is in the log, nothing is written and nothing accepted.
func (r *Runner) takeRank(ctx context.Context) {
	if term, ok := elector.RankTerm(r.state.Term, r.state.Successors, r.set.Self.ID); ok {
		r.own(ctx, term, 0)
	}
}

// own becomes the owner under a term.
func (r *Runner) own(ctx context.Context, term modeler.Term, seq uint64) {
	r.set.Logger.Info("owning partition", "partition", r.set.Partition.Name, "term", term)
	r.core = owner.New(r.set.Self.ID, term, seq, r.state, owner.WithScheduler(r.set.NewScheduler()), owner.WithViolation(r.violation))
	r.update(ctx, r.core, owner.ConfigMsg{Document: r.view.document, Offset: r.view.config})
	r.update(ctx, r.core, owner.EndpointsMsg{Instances: r.view.endpoints})
	r.update(ctx, r.core, owner.TickMsg{})
	r.collectGifts(ctx)
}

// violation logs a violated invariant and calls the hook.
func (r *Runner) violation(invariant, detail string) {
	r.set.Logger.Error("invariant violated", "invariant", invariant, "partition", r.set.Partition.Name, "detail", detail)
	if r.set.Violation != nil {
		r.set.Violation(invariant, detail)
	}
}

// lose gives up the partition. Callers that wait for calls in progress are
// still answered by the retired core.
func (r *Runner) lose(ctx context.Context, void bool) {
	core := r.core
	if core == nil {
		return
	}
	r.core = nil
	r.claim = nil
	// The new owner is given time to be heard before this instance claims again.
	r.elector = elector.Elector{}
	r.append.settle()
	r.set.Logger.Info("lost partition", "partition", r.set.Partition.Name, "term", core.Term(), "owner", r.state.Owner)
	r.update(ctx, core, owner.OwnershipLostMsg{Void: void})
	r.retired = append(r.retired, core)
}

// read folds records of the stream into the state and tells the core what
// concerns it.
func (r *Runner) read(ctx context.Context, page messenger.Page) {
	for _, entry := range page.Records {
		var batch encoder.Batch
		if err := encoder.Unmarshal(entry.Data, &batch); err != nil {
			r.set.Logger.Warn("record cannot be decoded", "partition", r.set.Partition.Name, "offset", entry.Offset, "error", err)
			// The offset is counted, so that the next record shows no gap.
			batch = encoder.Batch{}
		}
		r.mu.Lock()
		valid, err := r.state.Apply(entry.Offset, batch)
		complete := r.state.Complete
		r.mu.Unlock()
		if err != nil {
			r.set.Logger.Error("record cannot be applied", "partition", r.set.Partition.Name, "offset", entry.Offset, "error", err)
		}
		if !complete {
			r.lose(ctx, false)
			r.claim = nil
		}
		// The first record counts as a snapshot: it begins the stream.
		if valid && (batch.Snapshot != nil || r.snapshot.IsZero()) {
			r.snapshot = entry.Time
		}
		if valid {
			r.consider(ctx, batch)
		}
	}
}

// consider tells the core of a valid batch.
func (r *Runner) consider(ctx context.Context, batch encoder.Batch) {
	mine := batch.Author == r.set.Self.ID
	if r.claim != nil && batch.Term >= r.claim.term {
		r.claim = nil
		r.append.settle()
	}
	// A claim that was given up may still have reached the log.
	if mine && batch.Claim != nil && (r.core == nil || batch.Term > r.core.Term()) {
		r.won(ctx, batch)

		return
	}
	if r.core == nil {
		return
	}
	switch {
	case mine && batch.Term == r.core.Term():
		r.append.settle()
		r.update(ctx, r.core, owner.CommittedMsg{Seq: batch.Seq})
	case batch.Term > r.core.Term():
		r.lose(ctx, true)
	default:
		r.update(ctx, r.core, owner.PredecessorBatchMsg{Batch: batch})
	}
}

// refreshSuccessors claims the next epoch when too few of the successors that
// the present claim names are live. Without a live successor, nobody can take
// over while the log is down; the first claims at start-up name nobody, because
// no peer has been heard.
func (r *Runner) refreshSuccessors(ctx context.Context, now time.Time) {
	if r.core == nil || !r.core.Ready() || now.Sub(r.refreshed) < refreshEvery {
		return
	}
	r.refreshed = now
	fresh := elector.Successors(r.electorView(), now)
	if elector.CountLive(r.state.Successors, r.electorView(), now) < min(len(fresh), elector.MinSuccessors) {
		r.update(ctx, r.core, owner.ClaimMsg{Successors: fresh})
	}
}

// raise moves the owner to a later epoch, because an endpoint has seen a later
// term than this one: that of an instance that raised no majority, or that
// owned the endpoint for another partition.
func (r *Runner) raise(ctx context.Context, cmd owner.ClaimCmd) {
	if cmd.Endpoint != "" {
		r.set.Logger.Warn("endpoint has seen a later term", "partition", r.set.Partition.Name, "endpoint", cmd.Endpoint, "term", r.core.Term())
	}
	if !r.draining.Load() && r.claim == nil {
		r.update(ctx, r.core, owner.ClaimMsg{Successors: elector.Successors(r.electorView(), r.set.Clock())})
	}
}

// won takes over the partition under a claim that is in the log. An owner that
// has its majority goes on under the new term; one that has not starts anew,
// because another owner may have worked in the meantime.
func (r *Runner) won(ctx context.Context, batch encoder.Batch) {
	if r.core != nil && !r.core.Ready() {
		r.lose(ctx, true)
	}
	if r.core != nil {
		r.update(ctx, r.core, owner.TermMsg{Term: batch.Term, Seq: batch.Seq})

		return
	}
	r.own(ctx, batch.Term, batch.Seq)
}
