package elector

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
)

// The methods below implement forwarder.Server.

var notOwner = &forwarder.Reply{Outcome: forwarder.OutcomeNotOwner}

// serve calls the owner when it is this instance.
func serve[Q any](ctx context.Context, e *Elector, request *Q, call func(*leader.Leader, context.Context, *Q) *forwarder.Reply) (*forwarder.Reply, error) {
	lead := e.LocalLeader()
	if lead == nil {
		return notOwner, nil
	}

	return call(lead, ctx, request), nil
}

// Submit implements forwarder.Server.
func (e *Elector) Submit(ctx context.Context, s *forwarder.Submission) (*forwarder.Reply, error) {
	return serve(ctx, e, s, (*leader.Leader).Submit)
}

// Query implements forwarder.Server.
func (e *Elector) Query(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return serve(ctx, e, lookup, (*leader.Leader).Query)
}

// Cancel implements forwarder.Server.
func (e *Elector) Cancel(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return serve(ctx, e, lookup, (*leader.Leader).Cancel)
}

// Count implements forwarder.Server.
func (e *Elector) Count(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return serve(ctx, e, lookup, (*leader.Leader).Count)
}

// Exchange implements forwarder.Server.
func (e *Elector) Exchange(_ context.Context, beat *forwarder.Heartbeat) (*forwarder.Heartbeat, error) {
	if beat.IsOwner {
		e.learn(Ownership{Term: beat.Term, Address: beat.Address, Name: beat.Name}, "heartbeat")
	}
	e.mu.Lock()
	e.seen[beat.Address] = definer.Now()
	if _, known := e.peers[beat.Name]; !known && beat.Name != e.settings.Name {
		e.peers[beat.Name] = Instance{Name: beat.Name, Address: beat.Address}
	}
	e.mu.Unlock()

	return e.beat(), nil
}

// TakeOver implements forwarder.Server.
func (e *Elector) TakeOver(ctx context.Context, handover *forwarder.Handover) (*forwarder.Reply, error) {
	e.mu.Lock()
	barred := e.base == nil || e.stopping || e.lead != nil || definer.Now() < e.barredUntil
	e.mu.Unlock()
	if barred || !e.takeOver(ctx, handover.End, "handed over") {
		return notOwner, nil
	}

	return &forwarder.Reply{Outcome: forwarder.OutcomeDone}, nil
}

// Inherit implements forwarder.Server.
func (e *Elector) Inherit(_ context.Context, legacy *forwarder.UnstoredProgress) (*forwarder.Reply, error) {
	lead := e.LocalLeader()
	if lead == nil || lead.Term() <= legacy.Term {
		return notOwner, nil
	}
	e.logger.Info("progress received", "term", lead.Term(), "from term", legacy.Term, "jobs", len(legacy.Snapshots))
	lead.Inherit(legacy.Snapshots)

	return &forwarder.Reply{Outcome: forwarder.OutcomeDone}, nil
}

// Advise implements forwarder.Server.
func (e *Elector) Advise(ctx context.Context, question *forwarder.Question) (*forwarder.Advice, error) {
	return e.advise(ctx, question), nil
}

// advise asks the placement policy from this instance.
func (e *Elector) advise(ctx context.Context, question *forwarder.Question) *forwarder.Advice {
	tickets, err := e.adviser.Advise(ctx, question.Job, question.Occurrence, question.Step, question.Endpoints)
	if err != nil {
		e.logger.Warn("policy did not answer", "job", question.Job, "step", question.Step, "endpoints", len(question.Endpoints), "error", err)

		return &forwarder.Advice{}
	}

	return &forwarder.Advice{Answered: true, Tickets: tickets}
}

// Ask implements leader.Questioner: it gives the question to the instance with
// the least to ask, since the policy serves each instance one question at a time.
func (e *Elector) Ask(ctx context.Context, question *forwarder.Question, cost time.Duration) *forwarder.Advice {
	gateCtx, cancel := context.WithTimeout(ctx, question.Timeout)
	defer cancel()
	way := &e.short
	if cost >= longCost {
		way = &e.long
	}
	if !way.enter(gateCtx, question.Priority, cost) {
		return &forwarder.Advice{}
	}
	defer way.leave(cost)
	for attempt := range askAttempts {
		address := e.assign(cost, attempt)
		advice := e.askAt(ctx, address, question)
		e.unassign(address, cost)
		if advice.Answered || ctx.Err() != nil {
			return advice
		}
		e.logger.Warn("question not answered", "job", question.Job, "instance", address.String())
	}

	return &forwarder.Advice{}
}

const (
	// askAttempts is how many instances are tried for a question.
	askAttempts = 2
	// seenWithin is how lately an instance must have sent a heartbeat to be asked.
	seenWithin = 1200 * time.Millisecond
	// askLocalBias favours this instance, whose questions cross no link.
	askLocalBias = 20 * time.Millisecond
	// longCost is the time from which a question counts as long, and longShare the share of the instances that take long ones.
	longCost  = 250 * time.Millisecond
	longShare = 0.6
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
		e.loads[address] += askPenalty
		e.mu.Unlock()
		time.AfterFunc(askPenalty, func() { e.unassign(address, askPenalty) })

		return &forwarder.Advice{}
	}

	return advice
}

// askPenalty is how long an instance that failed to answer a question is avoided.
const askPenalty = 2 * time.Second

// assign chooses an instance for a question and adds its cost to the load.
func (e *Elector) assign(cost time.Duration, attempt int) netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := []netip.AddrPort{e.settings.Address}
	for _, peer := range e.peers {
		if definer.Since(e.seen[peer.Address]) < seenWithin {
			addresses = append(addresses, peer.Address)
		}
	}
	sort.Slice(addresses, func(a, b int) bool { return addresses[a].Compare(addresses[b]) < 0 })
	if cost >= longCost && attempt == 0 {
		addresses = addresses[:max(1, int(float64(len(addresses))*longShare))]
	}
	best, bestLoad := addresses[0], time.Duration(1<<62)
	for _, address := range addresses {
		load := e.loads[address]
		if address == e.settings.Address {
			load -= askLocalBias
		}
		if load < bestLoad {
			best, bestLoad = address, load
		}
	}
	e.loads[best] += cost

	return best
}

// live counts the instances that can be asked.
func (e *Elector) live() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := 1
	for _, peer := range e.peers {
		if definer.Since(e.seen[peer.Address]) < seenWithin {
			live++
		}
	}

	return live
}

func (e *Elector) unassign(address netip.AddrPort, cost time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loads[address] -= cost; e.loads[address] <= 0 {
		delete(e.loads, address)
	}
}

const (
	// shortBudget and longBudget are the times of decision that may be under
	// way for each instance. The policy answers an instance's questions one at
	// a time; short ones have to cover the way there and back, too.
	shortBudget = 200 * time.Millisecond
	longBudget  = 500 * time.Millisecond
)

// gate lets visitors in up to a budget, the most urgent first.
type gate struct {
	// budget returns the sum of the costs that may be in.
	budget  func() time.Duration
	mu      sync.Mutex
	used    time.Duration
	waiting []*visitor
}

type visitor struct {
	priority int
	cost     time.Duration
	turn     chan struct{}
}

// enter waits for the caller's turn. A visitor whose cost is above the whole
// budget comes in alone.
func (g *gate) enter(ctx context.Context, priority int, cost time.Duration) bool {
	v := &visitor{priority: priority, cost: cost, turn: make(chan struct{}, 1)}
	budget := g.budget()
	g.mu.Lock()
	at := sort.Search(len(g.waiting), func(i int) bool { return g.waiting[i].priority > priority })
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = v
	g.admit(budget)
	g.mu.Unlock()
	select {
	case <-v.turn:
		return true
	case <-ctx.Done():
	}
	g.mu.Lock()
	for i, other := range g.waiting {
		if other == v {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			g.mu.Unlock()

			return false
		}
	}
	g.mu.Unlock()
	// The turn came at the same moment: pass it on.
	g.leave(cost)

	return false
}

// leave gives back the cost of a visitor.
func (g *gate) leave(cost time.Duration) {
	budget := g.budget()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used -= cost
	g.admit(budget)
}

// admit lets in whoever fits; the caller holds the lock.
func (g *gate) admit(budget time.Duration) {
	for len(g.waiting) > 0 && (g.used == 0 || g.used+g.waiting[0].cost <= budget) {
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.used += next.cost
		next.turn <- struct{}{}
	}
}
