package elector

import (
	"context"
	"net/netip"
	"time"

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

// Ask implements leader.PolicyClient: it assigns the question to the instance with
// the lowest question load, since the policy answers each instance's questions one
// at a time.
func (e *Elector) Ask(ctx context.Context, question *forwarder.Question, decisionTime time.Duration) *forwarder.Advice {
	acquireCtx, cancel := context.WithTimeout(ctx, question.Timeout)
	defer cancel()
	limiter := &e.shortQuestions
	if decisionTime >= longDecisionTime {
		limiter = &e.longQuestions
	}
	if !limiter.acquire(acquireCtx, question.Priority, decisionTime) {
		return &forwarder.Advice{}
	}
	defer limiter.release(decisionTime)
	for attempt := range askAttempts {
		address := e.assignQuestion(decisionTime, attempt)
		advice := e.askAt(ctx, address, question)
		e.releaseQuestion(address, decisionTime)
		if advice.Answered || ctx.Err() != nil {
			return advice
		}
		e.logger.Warn("question not answered", "job", question.Job, "instance", address.String())
	}

	return &forwarder.Advice{}
}

const (
	// askAttempts is how many times a question is assigned to an instance.
	askAttempts = 2
	// localBias is subtracted from the load of this instance, whose questions need no call to a peer.
	localBias = 20 * time.Millisecond
	// longDecisionTime is the decision time from which a question counts as long, and longInstanceShare is the share
	// of the instances to which long questions are assigned first.
	longDecisionTime  = 250 * time.Millisecond
	longInstanceShare = 0.6
)

func (e *Elector) askAt(ctx context.Context, address netip.AddrPort, question *forwarder.Question) *forwarder.Advice {
	callCtx, cancel := context.WithTimeout(ctx, question.Timeout)
	defer cancel()
	if address == e.settings.Address {
		return e.advise(callCtx, question)
	}
	advice, err := forwarder.Call[forwarder.Question, forwarder.Advice](callCtx, e.pool, address, "Advise", question)
	if err != nil {
		e.mu.Lock()
		e.questionLoad[address] += unansweredPenalty
		e.mu.Unlock()
		time.AfterFunc(unansweredPenalty, func() { e.releaseQuestion(address, unansweredPenalty) })

		return &forwarder.Advice{}
	}

	return advice
}

// unansweredPenalty is the load added to an instance that failed to answer a
// question, and for how long it is added.
const unansweredPenalty = 2 * time.Second

// assignQuestion chooses the live instance with the lowest load for a question and
// adds the decision time to its load. The first attempt of a long question only
// considers a share of the instances.
func (e *Elector) assignQuestion(decisionTime time.Duration, attempt int) netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := e.live().addresses
	if decisionTime >= longDecisionTime && attempt == 0 {
		addresses = addresses[:max(1, int(float64(len(addresses))*longInstanceShare))]
	}
	best, bestLoad := addresses[0], time.Duration(1<<62)
	for _, address := range addresses {
		load := e.questionLoad[address]
		if address == e.settings.Address {
			load -= localBias
		}
		if load < bestLoad {
			best, bestLoad = address, load
		}
	}
	e.questionLoad[best] += decisionTime

	return best
}

func (e *Elector) releaseQuestion(address netip.AddrPort, decisionTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.questionLoad[address] -= decisionTime; e.questionLoad[address] <= 0 {
		delete(e.questionLoad, address)
	}
}
