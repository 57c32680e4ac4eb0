package leader

import (
	"context"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
)

// The callers in this file wait for an append. They are answered once it holds what
// the reply says, or when the ownership ends.

const (
	// submissionTimeout is how long a submission may wait for its append to begin before it is refused.
	submissionTimeout = 1200 * time.Millisecond
	// storeRetryAfter is the retry delay given to callers whose submission was refused because of the store.
	storeRetryAfter = time.Second
)

// submission is a job that is waiting to be appended.
type submission struct {
	job      definer.Job
	record   definer.Record
	waiters  []chan *forwarder.Reply
	received definer.Instant
	// cancels are the requests to cancel the job that arrived before it was stored.
	cancels []cancelMsg
}

// cancellation is a cancelled job whose cancellation is waiting to be appended, as the progress of the job.
type cancellation struct {
	id       string
	waiters  []chan *forwarder.Reply
	received definer.Instant
}

// confirmation is a reply that is only true while this instance owns the cell, or
// that rests on progress that is not stored yet. It is given after an append.
type confirmation struct {
	waiter chan *forwarder.Reply
	reply  *forwarder.Reply
	// jobs are those whose progress the reply rests on.
	jobs []string
}

// takeAnswerable removes and returns the cancellations and confirmations whose progress is part of this batch or of an earlier
// one. Progress that is left to a later batch could be lost after the reply: a restart would undo an acknowledged cancel.
func (j *journal) takeAnswerable(isDirty func(id string) bool) (cancellations []*cancellation, confirmations []confirmation) {
	for id, c := range j.cancellations {
		if !isDirty(id) {
			cancellations = append(cancellations, c)
			delete(j.cancellations, id)
		}
	}
	var waiting []confirmation
	for _, c := range j.confirmations {
		// A job that changes again after its progress was taken does not hold up the reply.
		c.jobs = slices.DeleteFunc(c.jobs, func(id string) bool { return !isDirty(id) })
		if len(c.jobs) > 0 {
			waiting = append(waiting, c)
		} else {
			confirmations = append(confirmations, c)
		}
	}
	j.confirmations = waiting

	return cancellations, confirmations
}

func (s *submission) answer(reply *forwarder.Reply) {
	for _, waiter := range s.waiters {
		waiter <- reply
	}
}

// applyCancels applies the requests to cancel the job once it is stored or refused.
func (s *submission) applyCancels(ctx context.Context, l *Leader, now definer.Instant) {
	for _, c := range s.cancels {
		c.apply(ctx, l, now)
	}
}

// passOn answers all callers that wait for the submission that the ownership ends.
func (s *submission) passOn() {
	reply := &forwarder.Reply{Outcome: forwarder.OutcomeNotOwner}
	s.answer(reply)
	for _, c := range s.cancels {
		c.reply <- reply
	}
}

// refuseStale refuses submissions whose append has not begun within
// submissionTimeout. They are not part of any batch, so their jobs never run.
func (j *journal) refuseStale(ctx context.Context, l *Leader, now definer.Instant) {
	kept := j.submissions[:0]
	for _, s := range j.submissions {
		if now.Sub(s.received) < submissionTimeout {
			kept = append(kept, s)

			continue
		}
		l.logger.Warn("submission refused", "job", s.job.ID, "reason", "store does not answer", "store age", l.StoreAge().String())
		delete(j.submissionsByID, s.job.ID)
		l.planner.Withdraw(&s.job)
		s.answer(&forwarder.Reply{Outcome: forwarder.OutcomeRefused, RetryAfter: storeRetryAfter})
		s.applyCancels(ctx, l, now)
	}
	j.submissions = kept
}

// refuseAll answers the callers whose submissions, cancellations or confirmations
// are not part of a batch when the ownership ends. The others learn the outcome
// from the next owner.
func (l *Leader) refuseAll() {
	for _, s := range l.journal.submissions {
		s.passOn()
	}
	l.journal.submissions = nil
	for _, c := range l.journal.cancellations {
		for _, waiter := range c.waiters {
			waiter <- &forwarder.Reply{Outcome: forwarder.OutcomeNotOwner}
		}
	}
	clear(l.journal.cancellations)
	for _, c := range l.journal.confirmations {
		c.waiter <- &forwarder.Reply{Outcome: forwarder.OutcomeNotOwner}
	}
	l.journal.confirmations = nil
}
