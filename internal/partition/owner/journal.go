package owner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

const (
	// sealInterval limits an owner to 40 appends a second.
	sealInterval = 25 * time.Millisecond
	// maxBatchItems limits the items of a batch, so that a backlog after an
	// outage is written in records of moderate size.
	maxBatchItems = 2000
	// maxBacklog limits the items that wait during a log outage. Beyond it
	// nothing is started, and task results stay unacknowledged at the
	// endpoints.
	maxBacklog = 50_000
	// logRetryAfter is the retry hint for callers during a log outage.
	logRetryAfter = time.Second
)

// item is one entry of a batch that has not been sealed. A batch is sealed when
// it is handed to the log, and committed when it was read back from the stream
// as valid.
type item struct {
	job      *modeler.Job
	task     *encoder.TaskChange
	request  *encoder.RequestChange
	cancel   modeler.JobID
	transfer *encoder.Transfer
	record   *modeler.Record
	pending  *pendingWrite
	// removedWith is the pending write of another item, with which this one is
	// removed.
	removedWith *pendingWrite
}

// pendingWrite holds the callers that wait for an item to be committed, and the
// functions to call once it is known whether the item is in the stream.
type pendingWrite struct {
	waiters []Waiter
	// sealed is set once the item is in a batch that was handed to the log.
	sealed  bool
	expires time.Time
	// done is called with true when the item is committed, and with false when
	// it is known or possible that it never will be.
	done func(ok bool)
	// undo is called when the item is removed before it was sealed.
	undo func()
	// irrevocable keeps the item in the batch although its caller stopped waiting.
	// The caller is then never told "not run": the item may still be committed,
	// and the request whose outcome it holds may have run.
	irrevocable bool
}

// chainHead is the end of a team's chain of records.
type chainHead struct {
	digest string
	seq    uint64
	// committed is the digest of the last committed record. Callers get this
	// one, because a batch that is not yet committed may be void.
	committed string
}

// journal collects the items to be written to the stream.
type journal struct {
	seq          uint64
	items        []item
	sealedWrites []*pendingWrite
	inFlight     bool
	lastSeal     time.Time
	snapshotDue  bool
	// nextClaim is a claim of the next epoch that is to be written.
	nextClaim *encoder.Claim
	down      bool
	heads     map[modeler.TeamID]chainHead
	// byWaiter maps a caller to its pending write.
	byWaiter map[Waiter]*pendingWrite
}

// full reports whether the backlog has reached its limit.
func (j *journal) full() bool { return len(j.items) >= maxBacklog }

// empty reports whether everything is committed.
func (j *journal) empty() bool { return len(j.items) == 0 && !j.inFlight }

// write adds an item to the next batch.
func (c *Core) write(it item) {
	if it.pending != nil {
		for _, w := range it.pending.waiters {
			c.journal.byWaiter[w] = it.pending
		}
	}
	c.journal.items = append(c.journal.items, it)
}

// writeBarrier completes a pending write that has no item of its own once
// everything written before it is committed.
func (c *Core) writeBarrier(w *pendingWrite) {
	if c.journal.empty() {
		c.completeWrite(w, true)

		return
	}
	c.write(item{pending: w})
}

// record writes a decision record, which is chained when its batch is sealed.
func (c *Core) record(r modeler.Record) {
	c.write(item{record: c.stamp(r)})
}

// stamp sets the fields that all records of the owner have in common.
func (c *Core) stamp(r modeler.Record) *modeler.Record {
	if r.Time.IsZero() {
		r.Time = c.now
	}
	r.Time = r.Time.UTC().Round(0)
	r.Partition, r.Config, r.Term = c.partition, c.config, c.term

	return &r
}

// seal hands the next batch to the log once the previous one is committed, at
// most every sealInterval.
func (c *Core) seal() {
	j := &c.journal
	if j.inFlight || len(j.items) == 0 && !j.snapshotDue && j.nextClaim == nil || c.now.Sub(j.lastSeal) < sealInterval {
		return
	}
	if !c.claimed() {
		return
	}
	if j.nextClaim != nil {
		j.nextClaim.Endpoints = c.nextRoster()
		claim := encoder.Batch{Term: modeler.NewTerm(c.term.Epoch()+1, 0), Author: c.self, Seq: 1, Claim: j.nextClaim}
		j.nextClaim, j.inFlight, j.lastSeal = nil, true, c.now
		c.emit(AppendCmd{Batch: claim})

		return
	}
	count := min(len(j.items), maxBatchItems)
	j.seq++
	batch := encoder.Batch{Term: c.term, Author: c.self, Seq: j.seq}
	for _, it := range j.items[:count] {
		c.addToBatch(&batch, it)
	}
	j.items = slices.Clone(j.items[count:])
	j.inFlight, j.lastSeal = true, c.now
	c.emit(AppendCmd{Batch: batch, Snapshot: j.snapshotDue})
	j.snapshotDue = false
}

// changeTerm adopts the term of a committed claim of this owner.
func (c *Core) changeTerm(msg TermMsg) {
	c.term, c.journal.seq = msg.Term, msg.Seq
	c.journal.inFlight, c.journal.nextClaim = false, nil
	c.markTransfersClaimed()
	c.applyRoster()
	for _, e := range c.endpoints {
		// The endpoints report these results again; by then the job is either
		// known or void.
		clear(e.orphanResults)
	}
	if c.takeoverComplete && c.holdingJobs {
		c.scheduleHeldJobs()
	}
}

// claimed reports whether the owner's term was claimed in the log. An owner
// that took its term by rank writes nothing until a claim has replaced that
// term.
func (c *Core) claimed() bool { return c.term.Rank() == 0 }

// addToBatch adds an item to a batch.
func (c *Core) addToBatch(batch *encoder.Batch, it item) {
	switch {
	case it.job != nil:
		batch.Jobs = append(batch.Jobs, *it.job)
	case it.task != nil:
		batch.Tasks = append(batch.Tasks, *it.task)
	case it.request != nil:
		batch.Requests = append(batch.Requests, *it.request)
	case it.cancel != "":
		batch.Cancels = append(batch.Cancels, it.cancel)
	case it.transfer != nil:
		batch.Transfers = append(batch.Transfers, *it.transfer)
	case it.record != nil:
		c.chainRecord(it.record)
		batch.Records = append(batch.Records, *it.record)
	}
	if it.pending != nil {
		it.pending.sealed = true
		c.journal.sealedWrites = append(c.journal.sealedWrites, it.pending)
	}
}

// chainRecord links a record to its team's previous one.
func (c *Core) chainRecord(record *modeler.Record) {
	h := c.journal.heads[record.Team]
	record.Seq, record.Term = h.seq+1, c.term
	if err := chainer.Append(h.digest, record); err != nil {
		// A record consists of strings, numbers and a time, which always
		// encode.
		panic(err)
	}
	c.journal.heads[record.Team] = chainHead{digest: record.Digest, seq: record.Seq, committed: h.committed}
}

// batchCommitted completes the pending writes of the batch that was read back.
func (c *Core) batchCommitted(msg CommittedMsg) {
	j := &c.journal
	if !j.inFlight || msg.Seq != j.seq {
		return
	}
	sealed := j.sealedWrites
	j.sealedWrites, j.inFlight, j.down = nil, false, false
	for team, h := range j.heads {
		h.committed = h.digest
		j.heads[team] = h
	}
	for _, w := range sealed {
		c.completeWrite(w, true)
	}
}

// completeWrite ends a pending write.
func (c *Core) completeWrite(w *pendingWrite, ok bool) {
	for _, waiter := range w.waiters {
		delete(c.journal.byWaiter, waiter)
	}
	if w.done != nil {
		w.done(ok)
	}
}

// logStatus handles a report of whether the log answers. Callers whose items
// have not been handed to the log are refused at once, because these items are
// certainly not in the stream.
func (c *Core) logStatus(msg LogStatusMsg) {
	c.journal.down = msg.Down && c.journal.inFlight
	if !c.journal.down {
		return
	}
	for waiter, w := range ordered(c.journal.byWaiter) {
		if !w.sealed {
			c.withdrawWrite(waiter, w, "the log does not answer")
		}
	}
}

// withdrawWrite refuses a caller whose item was not sealed, and removes the
// item unless other callers wait for it or it is irrevocable.
func (c *Core) withdrawWrite(waiter Waiter, w *pendingWrite, reason string) {
	delete(c.journal.byWaiter, waiter)
	w.waiters = slices.DeleteFunc(w.waiters, func(o Waiter) bool { return o == waiter })
	if w.irrevocable {
		c.answer(waiter, nil, modeler.Unknown(modeler.CodeLogDown, logRetryAfter, "partition %s: %s", c.partition, reason))

		return
	}
	c.answer(waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetryAfter, "partition %s: %s", c.partition, reason))
	if len(w.waiters) > 0 {
		return
	}
	c.journal.items = slices.DeleteFunc(c.journal.items, func(it item) bool { return it.pending == w || it.removedWith == w })
	if w.undo != nil {
		w.undo()
	}
}

// expireWrites answers callers that have waited too long for the log.
func (c *Core) expireWrites() {
	for waiter, w := range ordered(c.journal.byWaiter) {
		if c.now.After(w.expires) {
			c.abandonWrite(waiter, w)
		}
	}
}

// abandonWrite answers a caller that waits no longer for an item that is not
// known to be in the stream.
func (c *Core) abandonWrite(waiter Waiter, w *pendingWrite) {
	if !w.sealed {
		c.withdrawWrite(waiter, w, "the request was not handed to the log in time")

		return
	}
	delete(c.journal.byWaiter, waiter)
	w.waiters = slices.DeleteFunc(w.waiters, func(o Waiter) bool { return o == waiter })
	c.answer(waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, logRetryAfter,
		"partition %s: the log did not confirm the request; repeat it under the same request key", c.partition))
}

// abandon answers a caller that stops waiting.
func (c *Core) abandon(msg AbandonMsg) {
	if w, ok := c.journal.byWaiter[msg.Waiter]; ok {
		c.abandonWrite(msg.Waiter, w)

		return
	}
	c.abandonCall(msg.Waiter)
}

// failWrites completes all pending writes without success. If void is set, no
// open batch is or will become valid; otherwise a sealed batch may be valid.
func (c *Core) failWrites(void bool) {
	j := &c.journal
	for waiter, w := range ordered(j.byWaiter) {
		refusal := modeler.NotRun(modeler.CodeNotOwner, notOwnerRetryAfter, "partition %s has another owner", c.partition)
		if w.irrevocable || w.sealed && !void {
			refusal = modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetryAfter,
				"partition %s has another owner; repeat the request under the same request key", c.partition)
		}
		c.answer(waiter, nil, refusal)
		w.waiters = nil
	}
	clear(j.byWaiter)
	sealed, items := j.sealedWrites, j.items
	j.sealedWrites, j.items, j.inFlight = nil, nil, false
	for _, w := range sealed {
		c.completeWrite(w, false)
	}
	for _, it := range items {
		if it.pending != nil {
			c.completeWrite(it.pending, false)
		}
	}
}
