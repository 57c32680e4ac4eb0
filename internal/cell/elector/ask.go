package elector

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

// Ask implements leader.PolicyClient: it assigns the question to the instance with
// the lowest question load, since the policy answers each instance's questions one
// at a time. It returns within the question's timeout, with the time at which the
// answer arrived. A question that gets its turn too late for all attempts is not
// asked at all.
func (e *Elector) Ask(ctx context.Context, question *forwarder.Question, decisionTime time.Duration) (*forwarder.Advice, definer.Instant) {
	deadline := definer.Now().Add(question.Timeout)
	class := classOf(decisionTime)
	e.recordDemand(class, decisionTime)
	limiter := e.shortQuestions
	if class == classLong {
		limiter = e.longQuestions
	}
	acquireCtx, cancel := context.WithTimeout(ctx, question.Timeout-askAttempts*attemptTime(decisionTime))
	defer cancel()
	from := asker{question.Queue, question.Job, question.Occurrence, question.Step}
	granted := limiter.acquire(acquireCtx, from, question.Priority, decisionTime)
	if granted == nil {
		e.metrics.Count("questions without turn")

		return &forwarder.Advice{}, 0
	}
	defer limiter.release(granted)
	advice, arrived := e.attempt(ctx, question, decisionTime, deadline)
	if ctx.Err() == nil {
		limiter.recordOutcome(granted, advice.Answered)
	}

	return advice, arrived
}

// FreeQuestionTime implements leader.PolicyClient. It leaves out what short questions
// leave, so that there is still a part of the budget for the questions that are needed.
func (e *Elector) FreeQuestionTime() time.Duration {
	return e.longQuestions.remaining(time.Duration(e.countLive()) * longBudget)
}

// attempt asks up to askAttempts instances, one after the other, until one answers. Each
// leaves time for the attempts after it.
func (e *Elector) attempt(ctx context.Context, question *forwarder.Question, decisionTime time.Duration, deadline definer.Instant) (*forwarder.Advice, definer.Instant) {
	var asked []netip.AddrPort
	for left := min(askAttempts, e.countLive()) - 1; left >= 0; left-- {
		address := e.assignQuestion(decisionTime, asked)
		asked = append(asked, address)
		timeout := deadline.Sub(definer.Now()) - time.Duration(left)*attemptTime(decisionTime)
		advice := e.askAt(ctx, address, question, timeout)
		e.releaseQuestion(address, decisionTime)
		if advice.Answered {
			e.recordAnswered(address)
		}
		if advice.Answered || ctx.Err() != nil {
			return advice, definer.Now()
		}
		e.recordUnanswered(address)
		e.logger.Warn("question not answered", "job", question.Job, "instance", address.String())
	}

	return &forwarder.Advice{}, 0
}

// attemptTime is the time that is reserved for an attempt: that of the decision, and of
// the calls and the questions before it at the instance.
func attemptTime(decisionTime time.Duration) time.Duration { return decisionTime + attemptSlack }

const (
	// askAttempts is how many times a question is assigned to an instance.
	askAttempts = 2
	// attemptSlack is the time of an attempt in addition to the decision time.
	attemptSlack = 750 * time.Millisecond
	// localBias is subtracted from the load of this instance, whose questions need no call to a peer.
	localBias = 20 * time.Millisecond
	// longInstanceShare is the share of the instances to which long questions are assigned first.
	longInstanceShare = 0.6
)

func (e *Elector) askAt(ctx context.Context, address netip.AddrPort, question *forwarder.Question, timeout time.Duration) *forwarder.Advice {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if address == e.settings.Address {
		return e.advise(callCtx, question)
	}
	advice, err := forwarder.Call[forwarder.Question, forwarder.Advice](callCtx, e.pool, address, "Advise", question)
	if err != nil {
		return &forwarder.Advice{}
	}

	return advice
}

// recordUnanswered adds a penalty to the load of an instance that failed to answer a question.
func (e *Elector) recordUnanswered(address netip.AddrPort) {
	e.mu.Lock()
	e.questionLoad[address] += unansweredPenalty
	e.unanswered[address] = definer.Now()
	e.mu.Unlock()
	time.AfterFunc(unansweredPenalty, func() { e.releaseQuestion(address, unansweredPenalty) })
}

// recordAnswered records that an instance answered a question.
func (e *Elector) recordAnswered(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unanswered, address)
}

// unansweredPenalty is the load added to an instance that failed to answer a
// question, and for how long it is added.
const unansweredPenalty = 2 * time.Second

// recordDemand records a question for the division of the instances.
func (e *Elector) recordDemand(class questionClass, decisionTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demand.record(class, decisionTime, definer.Now())
}

// assignQuestion chooses the live instance with the lowest load for a question and
// adds the decision time to its load. It leaves out those that were asked already, as
// far as there are others. The first attempt considers the instances for questions of
// its class, so that those of different classes do not wait for each other, unless
// mustLeave reports that it goes elsewhere.
func (e *Elector) assignQuestion(decisionTime time.Duration, asked []netip.AddrPort) netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := e.live()
	best := e.leastLoaded(live.addresses, asked)
	if len(asked) == 0 {
		class := classOf(decisionTime)
		if own := e.leastLoaded(live.byClass[class], nil); !e.mustLeave(class, own, best) {
			best = own
		}
	}
	e.questionLoad[best] += decisionTime

	return best
}

// mustLeave reports whether a question leaves the instances of its class, of which own has
// the lowest load, for the least loaded of all: it would wait too long, or, if it is not
// long, these do not answer. A quick one also leaves for an instance without questions,
// which it keeps from others for a moment only.
func (e *Elector) mustLeave(class questionClass, own, best netip.AddrPort) bool {
	load := e.questionLoad[own]
	if class == classLong {
		return load >= attemptSlack
	}
	if class == classQuick && load >= quickDecisionTime && e.questionLoad[best] == 0 {
		return true
	}

	return load >= longDecisionTime || e.unanswered[own] != 0
}

// longInstances returns to how many live instances long questions are assigned first. It
// leaves one to short ones if there are two.
func longInstances(live int) int {
	return max(1, min(live-1, int(math.Round(float64(live)*longInstanceShare))))
}

// leastLoaded returns the address with the lowest question load beside those that were
// asked, or the first one if there is no other. Of several with the same load it prefers
// those that answer, and otherwise the one whose last failure is the oldest, so that all
// are tried in turn. The caller holds mu.
func (e *Elector) leastLoaded(addresses, asked []netip.AddrPort) netip.AddrPort {
	best, bestLoad := addresses[0], time.Duration(math.MaxInt64)
	for _, address := range addresses {
		if slices.Contains(asked, address) {
			continue
		}
		load := e.questionLoad[address]
		failedAt := e.unanswered[address]
		if address == e.settings.Address && failedAt == 0 {
			load -= localBias
		}
		if load < bestLoad || load == bestLoad && failedAt < e.unanswered[best] {
			best, bestLoad = address, load
		}
	}

	return best
}

func (e *Elector) releaseQuestion(address netip.AddrPort, decisionTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.questionLoad[address] -= decisionTime; e.questionLoad[address] <= 0 {
		delete(e.questionLoad, address)
	}
}
