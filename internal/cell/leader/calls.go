package leader

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

const (
	// startTimeout bounds a start call. It is short because all members of a gang must start within the gang's wait.
	startTimeout = 700 * time.Millisecond
	// stopTimeout bounds a stop call, and stopRetryDelay is the delay before it is retried.
	stopTimeout    = 700 * time.Millisecond
	stopRetryDelay = 150 * time.Millisecond
	// renewWait is how long an endpoint waits for a task to end before it answers a renewal (long polling).
	renewWait = 1000 * time.Millisecond
	// renewSlack is the time that a renewal may take in addition to its wait.
	renewSlack = 700 * time.Millisecond
	// renewRetryDelay is the delay after a failed renewal.
	renewRetryDelay = 250 * time.Millisecond
	// minRenewInterval is the minimum time between two renewals of an endpoint; tasks that end in between are reported together.
	minRenewInterval = 150 * time.Millisecond
	// minUnstoredRenewInterval replaces minRenewInterval while task ends that the endpoint has reported are not stored.
	minUnstoredRenewInterval = 400 * time.Millisecond
)

// startCall sends a start order to an endpoint.
type startCall struct {
	leader *Leader
	target definer.Target
	order  definer.StartOrder
	issued definer.Instant
}

func (c *startCall) run(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	verdict, err := c.leader.endpoints.Start(callCtx, c.target, c.order)
	if err != nil && ctx.Err() == nil {
		c.leader.logger.Warn("start failed", "job", c.order.Task.Job, "endpoint", c.target.ID, "run", c.order.Run, "error", err)
	}
	c.leader.metrics.Observe("start", definer.Since(c.issued))
	c.leader.post(startedMsg{id: c.target.ID, order: c.order, verdict: verdict})
}

type startedMsg struct {
	id      string
	order   definer.StartOrder
	verdict definer.Verdict
}

func (m startedMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	l.pendingStarts--
	if m.verdict == definer.VerdictFenced {
		l.fenced(m.id)
	}
	l.planner.StartAnswered(m.id, m.order, m.verdict, now)
}

// fenced ends the ownership because an endpoint has seen a higher term.
func (l *Leader) fenced(id string) {
	l.logger.Warn("fenced by an endpoint", "endpoint", id, "term", l.settings.Term)
	l.cancel(ErrSuperseded)
}

// stopCall sends a stop order and retries it until the endpoint answers or
// planner.StopRetryWindow has passed.
type stopCall struct {
	leader *Leader
	target definer.Target
	order  definer.StopOrder
}

func (c *stopCall) run(ctx context.Context) {
	for began := definer.Now(); ctx.Err() == nil; {
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		verdict, err := c.leader.endpoints.Stop(callCtx, c.target, c.order)
		cancel()
		switch {
		case err == nil && verdict != definer.VerdictUnknown && verdict != definer.VerdictRefused:
			c.leader.post(stoppedMsg{target: c.target, order: c.order, verdict: verdict})

			return
		case definer.Since(began) > planner.StopRetryWindow:
			c.leader.logger.Warn("stop given up", "job", c.order.Task.Job, "endpoint", c.target.ID, "run", c.order.Run, "error", err)

			return
		}
		if !definer.Sleep(ctx, stopRetryDelay, nil) {
			return
		}
	}
}

type stoppedMsg struct {
	target  definer.Target
	order   definer.StopOrder
	verdict definer.Verdict
}

func (m stoppedMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	switch m.verdict {
	case definer.VerdictFenced:
		l.fenced(m.target.ID)
	case definer.VerdictMisdirected:
		l.planner.EndpointReplaced(m.target, now)
	case definer.VerdictUnknown, definer.VerdictDone, definer.VerdictRefused, definer.VerdictInvalidTicket:
		l.planner.StopAnswered(m.target.ID, m.order, now)
	}
}

// askCall asks a placement policy for tickets.
type askCall struct {
	leader  *Leader
	command planner.AskPolicyCmd
}

func (c *askCall) run(ctx context.Context) {
	began := definer.Now()
	question := &forwarder.Question{
		Job: c.command.Job, Occurrence: c.command.Occurrence, Step: c.command.Step, Endpoints: c.command.Endpoints,
		Queue: c.command.Queue, Priority: c.command.Priority, Timeout: c.command.Deadline.Sub(began),
	}
	advice, arrived := c.leader.policy.Ask(ctx, question, c.command.DecisionTime)
	c.leader.metrics.Observe("advice", definer.Since(began))
	c.leader.post(advisedMsg{command: c.command, advice: advice, arrived: arrived})
}

type advisedMsg struct {
	command planner.AskPolicyCmd
	advice  *forwarder.Advice
	arrived definer.Instant
}

func (m advisedMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	answer := planner.PolicyAnswer{Answered: m.advice.Answered, Tickets: m.advice.Tickets, Arrived: m.arrived}
	l.planner.PolicyAnswered(&m.command, answer, now)
}

// renewal schedules the lease renewals of an endpoint.
type renewal struct {
	outstanding bool
	due         definer.Instant
	// sent is when the last completed renewal was sent, whether or not it succeeded.
	sent definer.Instant
	// lost means that the last renewal failed.
	lost bool
}

// renewDue sends the renewals that are due.
func (l *Leader) renewDue(ctx context.Context, now definer.Instant) {
	for _, id := range l.planner.Endpoints() {
		r := l.renewals[id]
		if r == nil {
			r = &renewal{}
			l.renewals[id] = r
		}
		if !r.outstanding && now >= r.due {
			wait := renewWait
			if r.due == 0 {
				wait = 0
			}
			r.outstanding = true
			l.renew(ctx, id, wait, false, now)
		}
	}
}

// renew sends a renewal. An extra renewal does not change the schedule of the regular ones.
func (l *Leader) renew(ctx context.Context, id string, wait time.Duration, extra bool, now definer.Instant) {
	target, order, ok := l.planner.RenewOrder(id, now)
	if !ok {
		return
	}
	order.Term, order.Wait = l.settings.Term, wait
	l.spawn(ctx, &renewCall{leader: l, target: target, order: order, extra: extra})
}

// renewCall renews the lease of an endpoint and fetches its report.
type renewCall struct {
	leader *Leader
	target definer.Target
	order  definer.RenewOrder
	extra  bool
}

func (c *renewCall) run(ctx context.Context) {
	sent := definer.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.order.Wait+renewSlack)
	defer cancel()
	report, verdict, err := c.leader.endpoints.Renew(callCtx, c.target, c.order)
	c.leader.post(reportMsg{target: c.target, sent: sent, report: report, verdict: verdict, err: err, extra: c.extra})
}

type reportMsg struct {
	target  definer.Target
	sent    definer.Instant
	report  definer.Report
	verdict definer.Verdict
	err     error
	extra   bool
}

func (m reportMsg) apply(ctx context.Context, l *Leader, now definer.Instant) {
	id := m.target.ID
	if m.verdict != definer.VerdictFenced && l.forgetRenewal(id) {
		return
	}
	if m.extra {
		if m.verdict == definer.VerdictDone {
			l.planner.Report(id, m.sent, now, m.report)
		}

		return
	}
	r := l.renewals[id]
	if r == nil {
		r = &renewal{}
		l.renewals[id] = r
	}
	r.outstanding = false
	r.sent = m.sent
	switch m.verdict { //nolint:exhaustive // All other verdicts mean that the lease was not renewed.
	case definer.VerdictDone:
		if r.lost {
			r.lost = false
			l.logger.Info("endpoint regained", "endpoint", id)
		}
		l.planner.Report(id, m.sent, now, m.report)
		r.due = max(m.sent.Add(minRenewInterval), now)
		if l.planner.HasUnacknowledgedEnds(id) {
			// The endpoint would answer at once and repeat the ends that it has already reported.
			r.due = max(m.sent.Add(minUnstoredRenewInterval), now)
		}
		if r.due <= now {
			r.outstanding = true
			l.renew(ctx, id, renewWait, false, now)
		}
	case definer.VerdictFenced:
		l.fenced(id)
	default:
		if m.verdict == definer.VerdictMisdirected {
			l.planner.EndpointReplaced(m.target, now)
		}
		if !r.lost && ctx.Err() == nil {
			r.lost = true
			l.logger.Warn("endpoint lost", "endpoint", id, "verdict", int(m.verdict), "error", m.err)
		}
		l.planner.RenewalFailed(id)
		r.due = now.Add(renewRetryDelay)
	}
}

// forgetRenewal drops the schedule of an endpoint that the planner does not know any
// more, and reports whether that is so.
func (l *Leader) forgetRenewal(id string) bool {
	if l.planner.HasEndpoint(id) {
		return false
	}
	delete(l.renewals, id)

	return true
}

// postListing passes a record of the endpoint list to loop.
func (l *Leader) postListing(record definer.Record) {
	l.post(listedMsg{record})
}

type listedMsg struct{ record definer.Record }

func (m listedMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	if len(m.record.Value) == 0 {
		delete(l.malformedEntries, m.record.Key)
		l.removeListing(m.record.Key)

		return
	}
	listing, err := l.decoder.Endpoint(m.record)
	if err != nil {
		l.recordMalformedEntry(m.record.Key, err)
		l.removeListing(m.record.Key)

		return
	}
	delete(l.malformedEntries, m.record.Key)
	l.planner.UpdateListing(listing, now)
}

func (l *Leader) removeListing(id string) {
	l.planner.RemoveListing(id)
	l.forgetRenewal(id)
}

// maxMalformedEntries bounds the keys of malformed entries that are remembered.
const maxMalformedEntries = 1000

// recordMalformedEntry counts an entry of the endpoint list that names no endpoint to use,
// and logs it once, not each time that it is written again.
func (l *Leader) recordMalformedEntry(key string, err error) {
	l.metrics.Count("malformed endpoint entries")
	if _, known := l.malformedEntries[key]; known || len(l.malformedEntries) >= maxMalformedEntries {
		return
	}
	l.malformedEntries[key] = struct{}{}
	l.logger.Warn("endpoint entry ignored", "key", key, "error", err)
}
