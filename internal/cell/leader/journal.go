package leader

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/estimator"
	"gitlab.com/greengagewall/greengagewall/internal/cell/forwarder"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
)

const (
	// urgentAppendInterval is the minimum time between two appends when a submission, cancellation or new
	// endpoint is pending, progressAppendInterval when only progress is.
	urgentAppendInterval   = 15 * time.Millisecond
	progressAppendInterval = 80 * time.Millisecond
	// heartbeatInterval is how often the owner appends a heartbeat when it has nothing else to append;
	// without appends, other instances take over.
	heartbeatInterval = 300 * time.Millisecond
	// maxBatchSize is the size in bytes from which no more jobs are added to a batch; it is well below the
	// store's limit for one call.
	maxBatchSize = 256 << 10
	// learnedInterval is the time between two batches with learned run times, and maxLearnedBatch bounds
	// these in bytes.
	learnedInterval = 10 * time.Second
	maxLearnedBatch = 32 << 10
)

// journal holds the changes to append to the state table and the batch being appended.
type journal struct {
	// end is the offset of the next append.
	end int64
	// submissions are the jobs that are not part of a batch yet.
	submissions []*submission
	// submissionsByID also holds the submissions of the batch being appended.
	submissionsByID map[string]*submission
	cancellations   map[string]*cancellation
	// confirmations are the replies that wait for a batch.
	confirmations []confirmation
	jobsToRemove  []string
	outstanding   bool
	// current is the batch whose append is outstanding.
	current *batch
	// lastAppend is when the last append was started.
	lastAppend definer.Instant
	heartbeats int64
	// lastLearned is when learned run times were last part of a batch.
	lastLearned definer.Instant
}

func newJournal() journal {
	return journal{submissionsByID: map[string]*submission{}, cancellations: map[string]*cancellation{}}
}

// batch is the content of one append.
type batch struct {
	leader        *Leader
	offset        int64
	records       []definer.Record
	submissions   []*submission
	cancellations []*cancellation
	confirmations []confirmation
	// snapshots, ends and lives are the progress to store and the arguments of planner.Acknowledge.
	snapshots []planner.Snapshot
	ends      map[string]int64
	lives     map[string]int64
	// storedEndpoints and removedEndpoints are the result of planner.ChangedEndpoints.
	storedEndpoints  []definer.Listing
	removedEndpoints []string
	created          definer.Instant
}

// appendIfDue starts the next append if one is due and none is outstanding.
func (j *journal) appendIfDue(ctx context.Context, l *Leader, now definer.Instant) {
	if j.outstanding || l.handoverRequested || ctx.Err() != nil {
		return
	}
	elapsed := now.Sub(j.lastAppend)
	urgent := len(j.submissions) > 0 || len(j.cancellations) > 0 || len(j.confirmations) > 0 || l.planner.HasChangedEndpoints()
	switch {
	case urgent && elapsed >= urgentAppendInterval:
	case l.planner.HasUnstoredProgress() && elapsed >= progressAppendInterval:
	case elapsed >= heartbeatInterval:
	default:
		return
	}
	b := j.newBatch(l, now)
	j.outstanding, j.current, j.lastAppend = true, b, now
	l.spawn(ctx, b)
}

// newBatch collects the pending records into a batch; if there are none, it adds a heartbeat.
func (j *journal) newBatch(l *Leader, now definer.Instant) *batch {
	b := &batch{leader: l, offset: j.end, created: now}
	size := 0
	add := func(records ...definer.Record) {
		for _, record := range records {
			size += record.Size()
			b.records = append(b.records, record)
		}
	}
	b.storedEndpoints, b.removedEndpoints = l.planner.ChangedEndpoints()
	for i := range b.storedEndpoints {
		add(journaler.EncodeEndpoint(&b.storedEndpoints[i]))
	}
	for _, id := range b.removedEndpoints {
		add(journaler.EncodeEndpointRemoval(id))
	}
	for _, id := range j.jobsToRemove {
		add(journaler.EncodeJobRemoval(id))
	}
	j.jobsToRemove = nil
	for len(j.submissions) > 0 && size < maxBatchSize {
		s := j.submissions[0]
		j.submissions = j.submissions[1:]
		add(s.record)
		b.submissions = append(b.submissions, s)
	}
	b.snapshots, b.ends = l.planner.Dirty()
	b.lives = l.planner.Lives()
	for i := range b.snapshots {
		add(journaler.EncodeProgress(b.snapshots[i])...)
	}
	b.cancellations, b.confirmations = j.takeAnswerable(l.planner.IsDirty)
	if len(b.records) == 0 {
		j.heartbeats++
		claim := l.settings.Claim
		claim.Term, claim.Beat = l.settings.Term, j.heartbeats
		add(journaler.EncodeClaim(claim))
	}
	// They come last: a batch is recognised by its first record, and those of two owners could be equal.
	if now.Sub(j.lastLearned) >= learnedInterval {
		j.lastLearned = now
		add(learnedRecords(l.planner.NextLearned, l.planner.LearnedLeft)...)
	}

	return b
}

// learnedRecords returns the records of the parts of the learned run times that next returns, up to maxLearnedBatch.
// The part that exceeds it goes to left.
func learnedRecords(next func() (estimator.Shard, bool), left func(estimator.Shard)) []definer.Record {
	var records []definer.Record
	size := 0
	for {
		shard, changed := next()
		if !changed {
			return records
		}
		record := journaler.EncodeLearned(&shard)
		if size += len(record.Key) + len(record.Value); size > maxLearnedBatch {
			left(shard)

			return records
		}
		records = append(records, record)
	}
}

// run appends the batch and posts the outcome.
func (b *batch) run(ctx context.Context) {
	reply, err := Append(ctx, b.leader.store, b.offset, b.records)
	if err != nil {
		if ctx.Err() == nil {
			b.leader.logger.Error("append given up", "at", b.offset, "error", err)
		}

		return
	}
	b.leader.metrics.Observe("append", definer.Since(b.created))
	b.leader.post(appendedMsg{batch: b, reply: reply})
}

// appendedMsg reports the outcome of an append.
type appendedMsg struct {
	batch *batch
	reply definer.AppendReply
}

func (m appendedMsg) apply(ctx context.Context, l *Leader, now definer.Instant) {
	b := m.batch
	l.journal.outstanding = false
	if !m.reply.Appended {
		l.logger.Warn("another owner has appended", "at", b.offset, "end", m.reply.End, "term", l.settings.Term)
		for _, s := range b.submissions {
			delete(l.journal.submissionsByID, s.job.ID)
			s.passOn()
		}
		l.cancel(ErrSuperseded)

		return
	}
	l.journal.current = nil
	l.journal.end = b.offset + int64(len(b.records))
	l.planner.Appended(l.journal.end, b.created)
	l.lastStoreReply.Store(int64(now))
	l.ownedAt = b.created
	wall := time.Now()
	for _, s := range b.submissions {
		delete(l.journal.submissionsByID, s.job.ID)
		l.planner.Accept(s.job, now, wall)
		s.answer(&forwarder.Reply{Outcome: forwarder.OutcomeDone})
		s.applyCancels(ctx, l, now)
	}
	for _, c := range b.cancellations {
		l.planner.CancelStored(c.id, now)
		l.logger.Info("cancellation stored", "job", c.id, "term", l.settings.Term, "at", b.offset, "records", len(b.records), "took", now.Sub(c.received).String())
		for _, waiter := range c.waiters {
			waiter <- &forwarder.Reply{Outcome: forwarder.OutcomeDone}
		}
	}
	for _, c := range b.confirmations {
		c.waiter <- c.reply
	}
	l.planner.EndpointsStored(b.storedEndpoints, b.removedEndpoints)
	for _, id := range b.removedEndpoints {
		delete(l.renewals, id)
	}
	l.planner.Stored(b.snapshots)
	l.planner.Acknowledge(b.ends, b.lives)
	if len(b.ends) > 0 {
		l.logger.Info("ends stored", "term", l.settings.Term, "at", b.offset, "records", len(b.records), "ends", b.ends)
	}
	for id := range b.ends {
		if r := l.renewals[id]; r != nil && r.due > now {
			r.due = max(min(r.due, r.sent.Add(minRenewInterval)), now)
		}
	}
}
