package follower

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// loop reads the stream page by page and republishes the document in force when
// its repetition is due.
func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		tail, err := f.readPage(ctx, f.pollWait)
		if err != nil {
			f.logger.Debug("configuration not read", "error", err)
			f.sleep(ctx, f.retryPause)

			continue
		}
		if tail {
			f.repeatIfDue(ctx)
		}
	}
}

// readPage reads and applies one page. It reports whether the page reached the
// tail.
func (f *Follower) readPage(ctx context.Context, wait time.Duration) (tail bool, err error) {
	f.mu.Lock()
	next := f.state.next
	f.mu.Unlock()
	sent := f.now()
	page, err := f.log.Read(ctx, Stream, next, pageLimit, wait)
	if err != nil {
		return false, err
	}
	if page.Next < next {
		// The tail of a log that has lost records does not show that the document
		// is the newest, and readers would ignore records appended to it because
		// their offsets were read before.
		return false, errors.Errorf("the log has gone back from offset %d to %d", next, page.Next)
	}

	return f.applyPage(page, sent), nil
}

// applyPage applies a page that was requested at sent. Pages may overlap, because
// Publish reads concurrently with the loop. A document comes into force only at
// the tail: before that, a reader that started in the middle of the stream can
// hold a document that a later record shows to be void.
func (f *Follower) applyPage(page messenger.Page, sent time.Time) (tail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, _ = f.state.update(TruncatedMsg{First: page.First})
	for _, record := range page.Records {
		if record.Offset < f.state.next {
			continue
		}
		var result verdict
		f.state, result = f.state.update(RecordMsg{Record: record})
		f.observe(record, result)
	}
	if f.state.next < page.Next {
		return false
	}
	if f.applyTail() {
		f.advanceConfirmedAt(sent)
	}

	return true
}

// applyTail puts the document at the tail in force and reports whether the
// document in force is the newest. The caller holds mu.
func (f *Follower) applyTail() bool {
	current := f.state.current
	if current == nil {
		return true
	}
	if !current.hasDocument {
		if f.inForce == nil || f.inForce.offset != current.offset {
			f.logger.Warn("configuration document is missing until it is repeated or pulled from a peer", "offset", current.offset)

			return false
		}
		pulled := *current
		pulled.resolve(f.inForce.offset, f.inForce.doc)
		f.state.current, current = &pulled, &pulled
	}
	f.apply(current)
	if current.offset == f.inForce.offset || f.state.next <= f.inForce.offset {
		return true
	}
	// Offsets in the log only grow, so a lower offset at the tail means that a peer
	// offered a document that is not in the log.
	loweredCount.Add(1)
	f.logger.Error("configuration in force is not in the log", "offset", f.inForce.offset, "log", current.offset)

	return false
}

// observe counts a void record, and records the outcome of the pending
// publication if record is that publication. The caller holds mu.
func (f *Follower) observe(record messenger.LogRecord, result verdict) {
	if result == verdictVoid || result == verdictMalformed {
		voidCount.Add(1)
		f.logger.Warn("void configuration record", "offset", record.Offset, "malformed", result == verdictMalformed)
	}
	if f.pending == nil || f.pending.state != publicationPending || !bytes.Equal(record.Data, f.pending.data) {
		return
	}
	f.pending.state = publicationVoid
	if result == verdictAccepted {
		f.pending.state, f.pending.offset = publicationAccepted, record.Offset
	}
}

// repeatIfDue publishes the document in force again when its record is a third of
// the retention old, before the record expires. A random delay lets one of the
// instances publish first; the others read its record and do not repeat it.
func (f *Follower) repeatIfDue(ctx context.Context) {
	doc := f.repetitionDue()
	if doc == nil {
		return
	}
	data, err := encoder.Marshal(encoder.Publication{
		Parent: doc.offset, Document: doc.doc, Operator: doc.operator, Time: doc.publishedAt, Original: doc.offset,
	})
	if err != nil {
		f.logger.Error("configuration not encoded", "error", err)

		return
	}
	if _, err := f.log.Append(ctx, Stream, data); err != nil {
		f.logger.Warn("configuration not repeated", "offset", doc.offset, "error", err)

		return
	}
	repeatedCount.Add(1)
	f.logger.Info("configuration repeated", "offset", doc.offset)
}

// repetitionDue returns the document to repeat, or nil, and records the attempt.
func (f *Follower) repetitionDue() *acceptedDocument {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retention <= 0 || f.inForce == nil {
		return nil
	}
	now := f.now()
	if now.Sub(f.lastRepeat) < f.retention/24 {
		return nil
	}
	if current := f.state.current; current != nil {
		// A document from a peer is repeated only once it was read from the log.
		if current.offset != f.inForce.offset || now.Sub(current.renewedAt) < f.retention/3+f.repeatDelay {
			return nil
		}
	} else if f.state.start <= f.inForce.offset {
		// The document came from a peer, and the log does not show that its
		// record has expired.
		return nil
	}
	f.lastRepeat = now
	f.drawRepeatDelay()

	return f.inForce
}

// drawRepeatDelay draws a random delay for the next repetition.
func (f *Follower) drawRepeatDelay() {
	f.repeatDelay = time.Duration(f.jitter() * float64(f.retention) / 12)
}

// sleep waits for pause or until ctx is done.
func (f *Follower) sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// catchUp reads the stream up to its tail.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		tail, err := f.readPage(ctx, 0)
		if err != nil || tail {
			return err
		}
	}
}

// offsetInForce returns the offset of the document in force, which the next
// document must name as parent, or none.
func (f *Follower) offsetInForce() modeler.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce == nil {
		return none
	}

	return f.inForce.offset
}
