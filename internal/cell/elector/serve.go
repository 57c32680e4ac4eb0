package elector

import (
	"context"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
)

// The methods below implement forwarder.Server.

var notOwner = &forwarder.Reply{Outcome: forwarder.OutcomeNotOwner}

// callLocal passes a request to the owner if it is this instance.
func callLocal[Q any](ctx context.Context, e *Elector, request *Q, call func(*leader.Leader, context.Context, *Q) *forwarder.Reply) (*forwarder.Reply, error) {
	lead := e.LocalLeader()
	if lead == nil {
		return notOwner, nil
	}

	return call(lead, ctx, request), nil
}

// Submit implements forwarder.Server.
func (e *Elector) Submit(ctx context.Context, s *forwarder.Submission) (*forwarder.Reply, error) {
	return callLocal(ctx, e, s, (*leader.Leader).Submit)
}

// Query implements forwarder.Server.
func (e *Elector) Query(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return callLocal(ctx, e, lookup, (*leader.Leader).Query)
}

// Cancel implements forwarder.Server.
func (e *Elector) Cancel(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return callLocal(ctx, e, lookup, (*leader.Leader).Cancel)
}

// Count implements forwarder.Server.
func (e *Elector) Count(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return callLocal(ctx, e, lookup, (*leader.Leader).Count)
}

// Exchange implements forwarder.Server.
func (e *Elector) Exchange(_ context.Context, heartbeat *forwarder.Heartbeat) (*forwarder.Heartbeat, error) {
	if heartbeat.IsOwner {
		e.learn(Ownership{Term: heartbeat.Term, Address: heartbeat.Address, Name: heartbeat.Name, Life: heartbeat.Life}, "heartbeat")
		e.recordOwner(heartbeat)
	}
	e.mu.Lock()
	e.lastHeartbeat[heartbeat.Address] = definer.Now()
	if _, known := e.peers[heartbeat.Name]; !known && heartbeat.Name != e.settings.Name {
		e.peers[heartbeat.Name] = Instance{Name: heartbeat.Name, Address: heartbeat.Address}
	}
	e.mu.Unlock()

	return e.heartbeat(), nil
}

// TakeOver implements forwarder.Server.
func (e *Elector) TakeOver(ctx context.Context, handover *forwarder.Handover) (*forwarder.Reply, error) {
	e.mu.Lock()
	noClaim := e.runCtx == nil || e.stopping || e.local != nil || definer.Now() < e.noClaimUntil
	e.mu.Unlock()
	if noClaim || !e.claim(ctx, handover.End, "handed over") {
		return notOwner, nil
	}

	return &forwarder.Reply{Outcome: forwarder.OutcomeDone}, nil
}

// Inherit implements forwarder.Server.
func (e *Elector) Inherit(ctx context.Context, progress *forwarder.UnstoredProgress) (*forwarder.Reply, error) {
	lead := e.LocalLeader()
	if lead == nil || lead.Term() <= progress.Term {
		return notOwner, nil
	}
	e.logger.Info("progress received", "term", lead.Term(), "from term", progress.Term, "jobs", len(progress.Observations))

	return lead.Inherit(ctx, progress), nil
}

// Advise implements forwarder.Server.
func (e *Elector) Advise(ctx context.Context, question *forwarder.Question) (*forwarder.Advice, error) {
	return e.advise(ctx, question), nil
}

// advise asks the placement policy directly.
func (e *Elector) advise(ctx context.Context, question *forwarder.Question) *forwarder.Advice {
	tickets, err := e.adviser.Advise(ctx, question.Job, question.Occurrence, question.Step, question.Endpoints)
	if err != nil {
		e.logger.Warn("policy did not answer", "job", question.Job, "step", question.Step, "endpoints", len(question.Endpoints), "error", err)

		return &forwarder.Advice{}
	}

	return &forwarder.Advice{Answered: true, Tickets: tickets}
}
