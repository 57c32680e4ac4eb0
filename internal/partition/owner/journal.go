package owner

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

const (
	// sealEvery keeps an owner at 40 appends a second at most.
	sealEvery = 25 * time.Millisecond
	// maxItems bounds the items of a batch, so that a backlog after an outage
	// is written in records of a moderate size.
	maxItems = 2000
	// maxBacklog bounds the items that wait during a log outage; beyond it
	// nothing is started and finishes stay unacknowledged at the endpoints.
	maxBacklog = 50_000
	// logRetry is the hint to callers during a log outage.
	logRetry = time.Second
)

// item is one entry of a batch that has not been sealed.
type item struct {
	job     *modeler.Job
	task    *encoder.TaskChange
	request *encoder.RequestChange
	cancel  modeler.JobID
	gift    *encoder.Gift
	record  *modeler.Record
	wait    *wait
	// of names the wait that the item is removed with.
	of *wait
}

// wait is what happens once an item is known to be in the stream or not.
type wait struct {
	waiters []Waiter
	// sealed is set once the item is in a batch that was handed to the log.
	sealed  bool
	expires time.Time
	// done is called with ok when the item was read back, and without when it
	// is certain or possible that it never will be.
	done func(ok bool)
	// undo is called when the item was removed before it was sealed.
	undo func()
	// keep leaves the item in the batch although its caller gave up.
	keep bool
}

// head is the end of a team's chain of records.
type head struct {
	digest string
	seq    uint64
	// read is the digest of the last record that was read back. Callers are
	// given this one, because a batch that was not read back may be void.
	read string
}

// journal collects what is to be written to the stream.
type journal struct {
	seq      uint64
	items    []item
	flight   []*wait
	inFlight bool
	sealed   time.Time
	snapshot bool
	// raise is a claim of the next epoch that is to be written.
	raise *encoder.Claim
	down  bool
	heads map[modeler.TeamID]head
	// waits finds the wait of a caller.
	waits map[Waiter]*wait
}

// full reports whether the backlog has reached its bound.
func (j *journal) full() bool { return len(j.items) >= maxBacklog }

// empty reports whether everything has been read back.
func (j *journal) empty() bool { return len(j.items) == 0 && !j.inFlight }

// write adds an item to the next batch.
func (c *Core) write(it item) {
	if it.wait != nil {
		for _, w := range it.wait.waiters {
			c.journal.waits[w] = it.wait
		}
	}
	c.journal.items = append(c.journal.items, it)
}

// record writes a decision record; it is chained when its batch is sealed.
func (c *Core) record(r modeler.Record) {
	c.write(item{record: c.stamp(r)})
}

// stamp fills in what all records of the owner have in common.
func (c *Core) stamp(r modeler.Record) *modeler.Record {
	if r.Time.IsZero() {
		r.Time = c.now
	}
	r.Time = r.Time.UTC().Round(0)
	r.Partition, r.Config, r.Term = c.partition, c.config, c.term

	return &r
}

// seal hands the next batch to the log when the last one was read back.
func (c *Core) seal() {
	j := &c.journal
	if j.inFlight || len(j.items) == 0 && !j.snapshot && j.raise == nil || c.now.Sub(j.sealed) < sealEvery {
		return
	}
	if !c.claimed() {
		return
	}
	if j.raise != nil {
		j.raise.Endpoints = c.nextRoster()
		claim := encoder.Batch{Term: modeler.NewTerm(c.term.Epoch()+1, 0), Author: c.self, Seq: 1, Claim: j.raise}
		j.raise, j.inFlight, j.sealed = nil, true, c.now
		c.emit(AppendCmd{Batch: claim})

		return
	}
	count := min(len(j.items), maxItems)
	j.seq++
	batch := encoder.Batch{Term: c.term, Author: c.self, Seq: j.seq}
	for _, it := range j.items[:count] {
		c.put(&batch, it)
	}
	j.items = slices.Clone(j.items[count:])
	j.inFlight, j.sealed = true, c.now
	c.emit(AppendCmd{Batch: batch, Snapshot: j.snapshot})
	j.snapshot = false
}

// changeTerm takes the term of a claim of this owner that was read back.
func (c *Core) changeTerm(msg TermMsg) {
	c.term, c.journal.seq = msg.Term, msg.Seq
	c.journal.inFlight, c.journal.raise = false, nil
	c.coverGifts()
	c.takeRoster()
	for _, e := range c.endpoints {
		// The endpoints report these again; by now the job is known or void.
		clear(e.orphans)
	}
	if c.released && c.holding {
		c.releaseAll()
	}
}

// claimed reports whether the owner's term was claimed in the log. A term
// taken by rank writes nothing until it is replaced by a claim.
func (c *Core) claimed() bool { return c.term.Rank() == 0 }

// put moves an item into a batch.
func (c *Core) put(batch *encoder.Batch, it item) {
	switch {
	case it.job != nil:
		batch.Jobs = append(batch.Jobs, *it.job)
	case it.task != nil:
		batch.Tasks = append(batch.Tasks, *it.task)
	case it.request != nil:
		batch.Requests = append(batch.Requests, *it.request)
	case it.cancel != "":
		batch.Cancels = append(batch.Cancels, it.cancel)
	case it.gift != nil:
		batch.Gifts = append(batch.Gifts, *it.gift)
	case it.record != nil:
		c.chain(it.record)
		batch.Records = append(batch.Records, *it.record)
	}
	if it.wait != nil {
		it.wait.sealed = true
		c.journal.flight = append(c.journal.flight, it.wait)
	}
}

// chain links a record to its team's previous one.
func (c *Core) chain(record *modeler.Record) {
	h := c.journal.heads[record.Team]
	record.Seq, record.Term = h.seq+1, c.term
	if err := chainer.Append(h.digest, record); err != nil {
		// A record consists of strings, numbers and a time, which always encode.
		panic(err)
	}
	c.journal.heads[record.Team] = head{digest: record.Digest, seq: record.Seq, read: h.read}
}

// read completes the waits of the batch that was read back.
func (c *Core) read(msg CommittedMsg) {
	j := &c.journal
	if !j.inFlight || msg.Seq != j.seq {
		return
	}
	flight := j.flight
	j.flight, j.inFlight, j.down = nil, false, false
	for team, h := range j.heads {
		h.read = h.digest
		j.heads[team] = h
	}
	for _, w := range flight {
		c.complete(w, true)
	}
}

// complete ends a wait.
func (c *Core) complete(w *wait, ok bool) {
	for _, waiter := range w.waiters {
		delete(c.journal.waits, waiter)
	}
	if w.done != nil {
		w.done(ok)
	}
}

// logState takes the news whether the log answers. Callers whose items have
// not been handed to the log are refused at once: these items are certainly
// not in the stream.
func (c *Core) logState(msg LogStatusMsg) {
	c.journal.down = msg.Down && c.journal.inFlight
	if !c.journal.down {
		return
	}
	for waiter, w := range ordered(c.journal.waits) {
		if !w.sealed {
			c.withdraw(waiter, w, "the log does not answer")
		}
	}
}

// withdraw removes a caller's item that was not sealed and refuses the caller.
func (c *Core) withdraw(waiter Waiter, w *wait, why string) {
	delete(c.journal.waits, waiter)
	w.waiters = slices.DeleteFunc(w.waiters, func(o Waiter) bool { return o == waiter })
	c.answer(waiter, nil, modeler.NotRun(modeler.CodeLogDown, logRetry, "partition %s: %s", c.partition, why))
	if len(w.waiters) > 0 || w.keep {
		return
	}
	c.journal.items = slices.DeleteFunc(c.journal.items, func(it item) bool { return it.wait == w || it.of == w })
	if w.undo != nil {
		w.undo()
	}
}

// expireWaits answers callers that have waited for the log for too long.
func (c *Core) expireWaits() {
	for waiter, w := range ordered(c.journal.waits) {
		if c.now.After(w.expires) {
			c.giveUp(waiter, w)
		}
	}
}

// giveUp answers a caller whose item is not known to be in the stream.
func (c *Core) giveUp(waiter Waiter, w *wait) {
	if !w.sealed {
		c.withdraw(waiter, w, "the request was not handed to the log in time")

		return
	}
	delete(c.journal.waits, waiter)
	w.waiters = slices.DeleteFunc(w.waiters, func(o Waiter) bool { return o == waiter })
	c.answer(waiter, nil, modeler.Unknown(modeler.CodeLostAnswer, logRetry,
		"partition %s: the log did not confirm the request; repeat it under the same request key", c.partition))
}

// abandon answers a caller that stops waiting.
func (c *Core) abandon(msg AbandonMsg) {
	if w, ok := c.journal.waits[msg.Waiter]; ok {
		c.giveUp(msg.Waiter, w)

		return
	}
	c.abandonCall(msg.Waiter)
}

// loseJournal completes all waits without success. With void it is certain
// that no open batch is or will be valid; otherwise a sealed one may be.
func (c *Core) loseJournal(void bool) {
	j := &c.journal
	for waiter, w := range ordered(j.waits) {
		refusal := modeler.NotRun(modeler.CodeNotOwner, notOwnerRetry, "partition %s has another owner", c.partition)
		if w.sealed && !void {
			refusal = modeler.Unknown(modeler.CodeLostAnswer, notOwnerRetry,
				"partition %s has another owner; repeat the request under the same request key", c.partition)
		}
		c.answer(waiter, nil, refusal)
		w.waiters = nil
	}
	clear(j.waits)
	flight, items := j.flight, j.items
	j.flight, j.items, j.inFlight = nil, nil, false
	for _, w := range flight {
		c.complete(w, false)
	}
	for _, it := range items {
		if it.wait != nil {
			c.complete(it.wait, false)
		}
	}
}
