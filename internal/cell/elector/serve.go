package elector

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/leader"
)

// The methods below implement forwarder.Server.

var notOwner = &forwarder.Reply{Outcome: forwarder.OutcomeNotOwner}

// serve calls the owner when it is this instance.
func serve[Q any](e *Elector, ctx context.Context, request *Q, call func(*leader.Leader, context.Context, *Q) *forwarder.Reply) (*forwarder.Reply, error) {
	lead := e.Local()
	if lead == nil {
		return notOwner, nil
	}

	return call(lead, ctx, request), nil
}

// Submit implements forwarder.Server.
func (e *Elector) Submit(ctx context.Context, s *forwarder.Submission) (*forwarder.Reply, error) {
	return serve(e, ctx, s, (*leader.Leader).Submit)
}

// Query implements forwarder.Server.
func (e *Elector) Query(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return serve(e, ctx, lookup, (*leader.Leader).Query)
}

// Cancel implements forwarder.Server.
func (e *Elector) Cancel(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return serve(e, ctx, lookup, (*leader.Leader).Cancel)
}

// Count implements forwarder.Server.
func (e *Elector) Count(ctx context.Context, lookup *forwarder.Lookup) (*forwarder.Reply, error) {
	return serve(e, ctx, lookup, (*leader.Leader).Count)
}

// Exchange implements forwarder.Server.
func (e *Elector) Exchange(_ context.Context, beat *forwarder.Beat) (*forwarder.Beat, error) {
	if beat.Leads {
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
func (e *Elector) Inherit(_ context.Context, legacy *forwarder.Legacy) (*forwarder.Reply, error) {
	lead := e.Local()
	if lead == nil || lead.Term() <= legacy.Term {
		return notOwner, nil
	}
	e.logger.Info("progress received", "term", lead.Term(), "from term", legacy.Term, "jobs", len(legacy.Snapshots))
	lead.Inherit(legacy.Snapshots)

	return &forwarder.Reply{Outcome: forwarder.OutcomeDone}, nil
}

// Advise implements forwarder.Server.
func (e *Elector) Advise(ctx context.Context, question *forwarder.Question) (*forwarder.Advice, error) {
	return e.desk.ask(ctx, question), nil
}

// Ask implements leader.Questioner: it gives the question to the instance with
// the least to ask, since the policy serves each instance one question at a time.
func (e *Elector) Ask(ctx context.Context, question *forwarder.Question, cost time.Duration) *forwarder.Advice {
	gateCtx, cancel := context.WithTimeout(ctx, question.Patience)
	defer cancel()
	if !e.gate.enter(gateCtx, question.Priority) {
		return &forwarder.Advice{}
	}
	defer e.gate.leave()
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
	callCtx, cancel := context.WithTimeout(ctx, question.Patience)
	defer cancel()
	if address == e.settings.Address {
		return e.desk.ask(callCtx, question)
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

// askSlots is how many questions may be under way in the whole cell.
func (e *Elector) askSlots() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := 1
	for _, peer := range e.peers {
		if definer.Since(e.seen[peer.Address]) < seenWithin {
			live++
		}
	}

	return live * deskSlots
}

func (e *Elector) unassign(address netip.AddrPort, cost time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loads[address] -= cost; e.loads[address] <= 0 {
		delete(e.loads, address)
	}
}

// deskSlots is how many questions of an instance are under way at once: the
// policy answers one at a time, and the second one covers the way there and back.
const deskSlots = 2

// desk asks the placement policy.
type desk struct {
	gate
	adviser definer.Adviser
	logger  hclog.Logger
}

// gate lets a number of visitors in at once, the most urgent first.
type gate struct {
	// slots returns how many may be in.
	slots   func() int
	mu      sync.Mutex
	busy    int
	waiting []*visitor
}

type visitor struct {
	priority int
	turn     chan struct{}
}

func newDesk(adviser definer.Adviser, logger hclog.Logger) *desk {
	return &desk{gate: gate{slots: func() int { return deskSlots }}, adviser: adviser, logger: logger}
}

func (d *desk) ask(ctx context.Context, question *forwarder.Question) *forwarder.Advice {
	if !d.enter(ctx, question.Priority) {
		return &forwarder.Advice{}
	}
	defer d.leave()
	tickets, err := d.adviser.Advise(ctx, question.Job, question.Occurrence, question.Step, question.Endpoints)
	if err != nil {
		d.logger.Warn("policy did not answer", "job", question.Job, "step", question.Step, "endpoints", len(question.Endpoints), "error", err)

		return &forwarder.Advice{}
	}

	return &forwarder.Advice{Answered: true, Tickets: tickets}
}

// enter waits for the caller's turn.
func (d *gate) enter(ctx context.Context, priority int) bool {
	slots := d.slots()
	d.mu.Lock()
	if d.busy < slots {
		d.busy++
		d.mu.Unlock()

		return true
	}
	v := &visitor{priority: priority, turn: make(chan struct{}, 1)}
	at := sort.Search(len(d.waiting), func(i int) bool { return d.waiting[i].priority > priority })
	d.waiting = append(d.waiting, nil)
	copy(d.waiting[at+1:], d.waiting[at:])
	d.waiting[at] = v
	d.mu.Unlock()
	select {
	case <-v.turn:
		return true
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.waiting {
		if other == v {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)

			return false
		}
	}
	// The turn came at the same moment: pass it on.
	d.pass()

	return false
}

func (d *gate) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pass()
}

// pass gives the turn to the next visitor; the caller holds the lock.
func (d *gate) pass() {
	if len(d.waiting) == 0 {
		d.busy--

		return
	}
	next := d.waiting[0]
	d.waiting = d.waiting[1:]
	next.turn <- struct{}{}
}
