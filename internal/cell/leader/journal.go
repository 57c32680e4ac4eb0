package leader

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

const (
	// lingerUrgent and lingerProgress are the least times between two appends:
	// for what a caller waits for, and for progress alone.
	lingerUrgent   = 15 * time.Millisecond
	lingerProgress = 80 * time.Millisecond
	// beatEvery is how often the owner appends when it has nothing else to append; its silence lets others take over.
	beatEvery = 300 * time.Millisecond
	// staleAfter is how long a submission waits for its append to begin before it is refused.
	staleAfter = 1200 * time.Millisecond
	// appendTimeout bounds an append; the outcome of one that is not answered is read back.
	appendTimeout = 600 * time.Millisecond
	// readTimeout bounds the reading back, and resolvePause the pause after a failure.
	readTimeout  = 600 * time.Millisecond
	resolvePause = 80 * time.Millisecond
	// batchBytes bounds a batch well below what the store takes in one call.
	batchBytes = 512 << 10
	// retryStore is when a request refused for the store may come again.
	retryStore = time.Second
)

// submission is a job that waits for its append.
type submission struct {
	job     definer.Job
	waiters []chan *forwarder.Reply
	since   definer.Instant
}

// cancellation is a cancelled job that waits for its append.
type cancellation struct {
	id      string
	waiters []chan *forwarder.Reply
}

// journal is what is to be appended and what is being appended.
type journal struct {
	end         int64
	queue       []*submission
	byID        map[string]*submission
	cancels     map[string]*cancellation
	remember    []string
	forget      []string
	dropped     []string
	outstanding bool
	// current is the batch whose append is outstanding.
	current *batch
	began   definer.Instant
	beats   int64
}

func newJournal() journal {
	return journal{byID: map[string]*submission{}, cancels: map[string]*cancellation{}}
}

// batch is what one append carries.
type batch struct {
	leader    *Leader
	at        int64
	records   []definer.Record
	jobs      []*submission
	cancels   []*cancellation
	snapshots []planner.Snapshot
	ends      map[string]int64
	lives     map[string]int64
	endpoints []string
	since     definer.Instant
}

// advance begins the next append when one is due.
func (j *journal) advance(ctx context.Context, l *Leader, now definer.Instant) {
	if j.outstanding || l.leaving || ctx.Err() != nil {
		return
	}
	passed := now.Sub(j.began)
	urgent := len(j.queue) > 0 || len(j.cancels) > 0 || len(j.remember) > 0
	switch {
	case urgent && passed >= lingerUrgent:
	case l.planner.HasUnstoredProgress() && passed >= lingerProgress:
	case passed >= beatEvery:
	default:
		return
	}
	b := j.collect(l, now)
	j.outstanding, j.current, j.began = true, b, now
	l.spawn(ctx, b)
}

// collect gathers the records of a batch.
func (j *journal) collect(l *Leader, now definer.Instant) *batch {
	b := &batch{leader: l, at: j.end, since: now}
	size := 0
	add := func(records ...definer.Record) {
		for _, record := range records {
			size += len(record.Key) + len(record.Value)
			b.records = append(b.records, record)
		}
	}
	for _, id := range j.remember {
		if listing, ok := l.planner.EndpointListing(id); ok {
			add(journaler.EncodeEndpoint(&listing))
			b.endpoints = append(b.endpoints, id)
		}
	}
	for _, id := range j.forget {
		add(journaler.DropEndpoint(id))
	}
	for _, id := range j.dropped {
		add(journaler.DropJob(id))
	}
	j.remember, j.forget, j.dropped = nil, nil, nil
	for len(j.queue) > 0 && size < batchBytes {
		s := j.queue[0]
		j.queue = j.queue[1:]
		add(journaler.EncodeJob(&s.job))
		b.jobs = append(b.jobs, s)
	}
	for id, c := range j.cancels {
		b.cancels = append(b.cancels, c)
		delete(j.cancels, id)
	}
	b.snapshots, b.ends = l.planner.Dirty()
	b.lives = l.planner.Lives()
	for i := range b.snapshots {
		add(journaler.EncodeProgress(b.snapshots[i])...)
	}
	if len(b.records) == 0 {
		j.beats++
		claim := l.settings.Claim
		claim.Term, claim.Beat = l.settings.Term, j.beats
		add(journaler.EncodeClaim(claim))
	}

	return b
}

// run appends the batch and finds out what became of it.
func (b *batch) run(ctx context.Context) {
	reply, err := Append(ctx, b.leader.store, b.at, b.records)
	if err != nil {
		if ctx.Err() == nil {
			b.leader.logger.Error("append given up", "at", b.at, "error", err)
		}

		return
	}
	b.leader.metrics.Observe("append", definer.Since(b.since))
	b.leader.post(appendedMsg{batch: b, reply: reply})
}

// Append appends records to the state table at an offset and repeats the call
// until the outcome is known. An append that was not answered is read back:
// at most one append lands at an offset.
func Append(ctx context.Context, store definer.Store, at int64, records []definer.Record) (definer.AppendReply, error) {
	uncertain := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		reply, err := store.Append(callCtx, definer.TableState, at, records)
		cancel()
		if err == nil && (reply.Appended || !uncertain) {
			return reply, nil
		}
		if err != nil {
			if notDone := new(definer.RefusedError); errors.As(err, &notDone) {
				if !definer.Sleep(ctx, resolvePause, nil) {
					break
				}

				continue
			}
			uncertain = true
		}
		reply, known, err := readBack(ctx, store, at, records)
		if err == nil && known {
			return reply, nil
		}
		if err != nil && !definer.Sleep(ctx, resolvePause, nil) {
			break
		}
	}

	return definer.AppendReply{}, errors.Wrap(context.Cause(ctx), "append")
}

// readBack reports whether something stands at the offset, and whether it is
// what was appended.
func readBack(ctx context.Context, store definer.Store, at int64, records []definer.Record) (definer.AppendReply, bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	tail, err := store.Read(callCtx, definer.TableState, at, 1, 0)
	if err != nil {
		return definer.AppendReply{}, false, err
	}
	if tail.Truncated {
		// The owner's own heartbeats are newer than what is dropped; a lost position means another owner.
		return definer.AppendReply{End: tail.End}, true, nil
	}
	if tail.End <= at || len(tail.Records) == 0 {
		return definer.AppendReply{}, false, nil
	}
	mine := tail.Records[0].Key == records[0].Key && bytes.Equal(tail.Records[0].Value, records[0].Value)
	reply := definer.AppendReply{Appended: mine, End: tail.End}
	if mine {
		reply.End = at + int64(len(records))
	}

	return reply, true, nil
}

// appendedMsg reports what became of a batch.
type appendedMsg struct {
	batch *batch
	reply definer.AppendReply
}

func (m appendedMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	b := m.batch
	l.journal.outstanding = false
	if !m.reply.Appended {
		l.logger.Warn("another owner has appended", "at", b.at, "end", m.reply.End, "term", l.settings.Term)
		for _, s := range b.jobs {
			delete(l.journal.byID, s.job.ID)
			s.answer(&forwarder.Reply{Outcome: forwarder.OutcomeNotOwner})
		}
		l.cancel(ErrSuperseded)

		return
	}
	l.journal.current = nil
	l.journal.end = b.at + int64(len(b.records))
	l.storedAt.Store(int64(now))
	wall := time.Now()
	for _, s := range b.jobs {
		delete(l.journal.byID, s.job.ID)
		l.planner.Accept(s.job, now, wall)
		s.answer(&forwarder.Reply{Outcome: forwarder.OutcomeDone})
	}
	for _, c := range b.cancels {
		l.planner.CancelStored(c.id, now)
		for _, waiter := range c.waiters {
			waiter <- &forwarder.Reply{Outcome: forwarder.OutcomeDone}
		}
	}
	for _, id := range b.endpoints {
		l.planner.EndpointStored(id)
	}
	l.planner.Acknowledge(b.ends, b.lives)
	for id := range b.ends {
		if r := l.renewal[id]; r != nil && r.due > now {
			r.due = max(min(r.due, r.sent.Add(renewGap)), now)
		}
	}
}

func (s *submission) answer(reply *forwarder.Reply) {
	for _, waiter := range s.waiters {
		waiter <- reply
	}
}

// refuseStale refuses submissions whose append has not begun in time; they
// are in no batch, so that they never run.
func (j *journal) refuseStale(l *Leader, now definer.Instant) {
	kept := j.queue[:0]
	for _, s := range j.queue {
		if now.Sub(s.since) < staleAfter {
			kept = append(kept, s)

			continue
		}
		l.logger.Warn("submission refused", "job", s.job.ID, "reason", "store does not answer", "store age", l.StoreAge().String())
		delete(j.byID, s.job.ID)
		s.answer(&forwarder.Reply{Outcome: forwarder.OutcomeRefused, Retry: retryStore})
	}
	j.queue = kept
}

// refuseAll answers those whose submissions are in no batch when the
// ownership ends. The others learn the outcome from the next owner.
func (l *Leader) refuseAll() {
	for _, s := range l.journal.queue {
		s.answer(&forwarder.Reply{Outcome: forwarder.OutcomeNotOwner})
	}
	l.journal.queue = nil
	for _, c := range l.journal.cancels {
		for _, waiter := range c.waiters {
			waiter <- &forwarder.Reply{Outcome: forwarder.OutcomeNotOwner}
		}
	}
	clear(l.journal.cancels)
}
