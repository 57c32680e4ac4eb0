package leader

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

// request posts a message to loop and waits for the reply. The outcome is unknown
// if none arrives before the timeout or the end of the ownership.
func (l *Leader) request(ctx context.Context, timeout time.Duration, reply chan *forwarder.Reply, m message) *forwarder.Reply {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	l.post(m)
	select {
	case answer := <-reply:
		return answer
	case <-l.done:
		select {
		case answer := <-reply:
			return answer
		default:
			return &forwarder.Reply{Outcome: forwarder.OutcomeUnknown}
		}
	case <-ctx.Done():
	case <-timer.C:
	}

	return &forwarder.Reply{Outcome: forwarder.OutcomeUnknown}
}

// Submit accepts a job. The job is stored when the outcome is OutcomeDone.
func (l *Leader) Submit(ctx context.Context, s *forwarder.Submission) *forwarder.Reply {
	reply := make(chan *forwarder.Reply, 1)

	return l.request(ctx, s.Timeout, reply, submitMsg{job: s.Job, reply: reply})
}

// Cancel cancels a job. The cancellation is stored when the outcome is OutcomeDone.
func (l *Leader) Cancel(ctx context.Context, lookup *forwarder.Lookup) *forwarder.Reply {
	reply := make(chan *forwarder.Reply, 1)

	return l.request(ctx, lookup.Timeout, reply, cancelMsg{lookup: *lookup, reply: reply})
}

// Query returns the state of a job.
func (l *Leader) Query(ctx context.Context, lookup *forwarder.Lookup) *forwarder.Reply {
	reply := make(chan *forwarder.Reply, 1)

	return l.request(ctx, lookup.Timeout, reply, queryMsg{lookup: *lookup, reply: reply})
}

// Count returns the number of pending jobs of a queue.
func (l *Leader) Count(ctx context.Context, lookup *forwarder.Lookup) *forwarder.Reply {
	reply := make(chan *forwarder.Reply, 1)

	return l.request(ctx, lookup.Timeout, reply, countMsg{place: lookup.Place, reply: reply})
}

// Inherit adds what the owner of an earlier term has learned and could not store.
// It is stored when the outcome is OutcomeDone.
func (l *Leader) Inherit(ctx context.Context, progress *forwarder.UnstoredProgress) *forwarder.Reply {
	reply := make(chan *forwarder.Reply, 1)

	return l.request(ctx, progress.Timeout, reply, inheritMsg{progress: progress, reply: reply})
}

type inheritMsg struct {
	progress *forwarder.UnstoredProgress
	reply    chan *forwarder.Reply
}

func (m inheritMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	jobs := make([]string, len(m.progress.Observations))
	for i := range m.progress.Observations {
		jobs[i] = m.progress.Observations[i].ID
		l.planner.Inherit(m.progress.Observations[i], m.progress.Term, now)
	}
	l.confirm(m.reply, &forwarder.Reply{Outcome: forwarder.OutcomeDone}, jobs...)
}

// confirm gives a reply after an append, and once the progress of the jobs that it rests
// on is stored, or OutcomeNotOwner if the ownership ends first.
func (l *Leader) confirm(waiter chan *forwarder.Reply, reply *forwarder.Reply, jobs ...string) {
	l.journal.confirmations = append(l.journal.confirmations, confirmation{waiter: waiter, reply: reply, jobs: jobs})
}

// denyJob replies that there is no such job. Only an append shows that no newer
// owner has accepted it.
func (l *Leader) denyJob(waiter chan *forwarder.Reply, lookup *forwarder.Lookup) {
	if state, queue, known := l.planner.State(lookup.Job); known {
		l.logger.Warn("job denied, since it is of another queue", "job", lookup.Job, "state", string(state), "queue", queue, "asked", lookup.Place.Queue, "location", lookup.Place.Location, "term", l.settings.Term)
		l.metrics.Count("denied: job of another queue")
	}
	l.confirm(waiter, &forwarder.Reply{Outcome: forwarder.OutcomeMissing})
}

type submitMsg struct {
	job   definer.Job
	reply chan *forwarder.Reply
}

func (m submitMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	waiting := l.journal.submissionsByID[m.job.ID]
	_, _, known := l.planner.State(m.job.ID)
	switch {
	case known && !l.planner.IsAt(m.job.ID, m.job.Place()) || waiting != nil && !l.planner.IsJobAt(&waiting.job, m.job.Place()):
		m.refuse(l, &planner.Refusal{Reason: refusalTakenID, RetryAfter: l.settings.Planner.Retention()})
	case known:
		l.logger.Info("submission repeated", "job", m.job.ID)
		m.reply <- &forwarder.Reply{Outcome: forwarder.OutcomeDone}
	case waiting != nil:
		waiting.waiters = append(waiting.waiters, m.reply)
	default:
		m.admit(l, now)
	}
}

// admit makes the job part of a later batch, or refuses it.
func (m submitMsg) admit(l *Leader, now definer.Instant) {
	s := &submission{job: m.job, record: journaler.EncodeJob(&m.job), waiters: []chan *forwarder.Reply{m.reply}, received: now}
	if s.record.Size() > l.settings.Planner.RecordLimit() {
		m.refuse(l, &planner.Refusal{Reason: refusalDefinition, RetryAfter: planner.TooLargeRetryAfter})

		return
	}
	if refusal := l.planner.Admit(&m.job, now); refusal != nil {
		m.refuse(l, refusal)

		return
	}
	l.journal.submissions = append(l.journal.submissions, s)
	l.journal.submissionsByID[m.job.ID] = s
}

// The reasons for which the owner refuses jobs, beside those of the planner.
const (
	// refusalDefinition means that the store does not accept the definition as one record. An append with it would
	// be repeated for good, and nothing else could be stored.
	refusalDefinition = "definition is too large"
	// refusalTakenID means that a job of another queue has the id. The tasks of both would have the same names.
	refusalTakenID = "job of another queue has the id"
)

func (m submitMsg) refuse(l *Leader, refusal *planner.Refusal) {
	l.logger.Info("submission refused", "job", m.job.ID, "account", m.job.Account, "queue", m.job.Queue.Name, "reason", refusal.Reason, "wait", refusal.Delay.String(), "retry", refusal.RetryAfter.String())
	l.metrics.Count("refused: " + refusal.Reason)
	l.metrics.Observe("refused for a wait of", refusal.Delay)
	m.reply <- &forwarder.Reply{Outcome: forwarder.OutcomeRefused, RetryAfter: refusal.RetryAfter}
}

type cancelMsg struct {
	lookup forwarder.Lookup
	reply  chan *forwarder.Reply
}

func (m cancelMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	id := m.lookup.Job
	if s := l.journal.submissionsByID[id]; s != nil && l.planner.IsJobAt(&s.job, m.lookup.Place) {
		// The job may be stored before the reply that there is none.
		s.cancels = append(s.cancels, m)

		return
	}
	state, _, _ := l.planner.State(id)
	if !l.planner.IsAt(id, m.lookup.Place) {
		l.denyJob(m.reply, &m.lookup)

		return
	}
	if state.Final() {
		m.reply <- &forwarder.Reply{Outcome: forwarder.OutcomeDone}

		return
	}
	l.logger.Info("cancellation", "job", id, "state", string(state))
	l.planner.Cancel(id)
	c := l.journal.cancellations[id]
	if c == nil {
		c = &cancellation{id: id, received: now}
		l.journal.cancellations[id] = c
	}
	c.waiters = append(c.waiters, m.reply)
}

type queryMsg struct {
	lookup forwarder.Lookup
	reply  chan *forwarder.Reply
}

func (m queryMsg) apply(_ context.Context, l *Leader, _ definer.Instant) {
	state, _, _ := l.planner.State(m.lookup.Job)
	if !l.planner.IsAt(m.lookup.Job, m.lookup.Place) {
		l.denyJob(m.reply, &m.lookup)

		return
	}
	reply := &forwarder.Reply{Outcome: forwarder.OutcomeDone, State: state}
	if !state.Final() {
		l.answerAsOwner(m.reply, reply)

		return
	}
	l.planner.ShowFinal(m.lookup.Job)
	m.reply <- reply
}

// answerAsOwner gives a reply that is out of date if a newer owner has taken over. After a
// suspension only an append shows that there is none.
func (l *Leader) answerAsOwner(waiter chan *forwarder.Reply, reply *forwarder.Reply) {
	if l.planner.SuspendedSince(l.ownedAt) {
		l.confirm(waiter, reply)
	} else {
		waiter <- reply
	}
}

type countMsg struct {
	place definer.Place
	reply chan *forwarder.Reply
}

func (m countMsg) apply(_ context.Context, l *Leader, _ definer.Instant) {
	counts := l.planner.CountJobs(m.place)
	l.logger.Info("pending jobs counted", "queue", m.place.Queue, "term", l.settings.Term, "pending", counts.Pending, "begun", counts.Begun)
	l.answerAsOwner(m.reply, &forwarder.Reply{Outcome: forwarder.OutcomeDone, Count: counts.Pending})
}

// HandOver waits for the outstanding append and start calls, ends the ownership
// and returns the end of the state table, so that a successor can claim the cell
// at once. It returns false when ctx or the ownership ends first. Progress that is
// not stored by then is passed to the successor.
func (l *Leader) HandOver(ctx context.Context) (int64, bool) {
	reply := make(chan int64, 1)
	l.post(handOverMsg{reply: reply})
	select {
	case end := <-reply:
		return end, true
	case <-l.done:
	case <-ctx.Done():
	}

	return 0, false
}

type handOverMsg struct{ reply chan int64 }

func (m handOverMsg) apply(ctx context.Context, l *Leader, _ definer.Instant) {
	if !l.handoverRequested {
		l.handoverRequested = true
		l.logger.Info("owner hands over", "term", l.settings.Term, "append outstanding", l.journal.outstanding, "store age", l.StoreAge().String())
	}
	// Until the store answers the outstanding append, submissions still queue and
	// tasks still start.
	if !l.journal.outstanding {
		l.draining = true
	}
	if l.draining && l.pendingStarts == 0 {
		l.refuseAll()
		m.reply <- l.journal.end
		l.cancel(ErrHandedOver)

		return
	}
	l.goroutines.Add(1)
	go m.run(ctx, l)
}

// run posts the message again after a short delay.
func (m handOverMsg) run(ctx context.Context, l *Leader) {
	defer l.goroutines.Done()
	if definer.Sleep(ctx, urgentAppendInterval, nil) {
		l.post(m)
	}
}
