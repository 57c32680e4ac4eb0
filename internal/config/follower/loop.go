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

// loop reads page after page and repeats the document when it is due.
func (f *Follower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		tail, err := f.read(ctx, f.wait)
		if err != nil {
			f.logger.Debug("configuration not read", "error", err)
			f.rest(ctx, f.pause)

			continue
		}
		if tail {
			f.repeat(ctx)
		}
	}
}

// read folds one page and reports whether it reached the tail.
func (f *Follower) read(ctx context.Context, wait time.Duration) (tail bool, err error) {
	f.mu.Lock()
	next := f.state.next
	f.mu.Unlock()
	sent := f.now()
	page, err := f.log.Read(ctx, Stream, next, pageLimit, wait)
	if err != nil {
		return false, err
	}
	if page.Next < next {
		// A log that lost records proves nothing, and what is appended to it
		// would be taken for old.
		return false, errors.Errorf("the log has gone back from offset %d to %d", next, page.Next)
	}

	return f.fold(page, sent), nil
}

// fold folds a page that was asked for at sent. Pages may overlap, since
// Publish reads beside the loop. The document goes in force at the tail only:
// before it, a reader that starts in the middle of the stream can hold a
// document that a later record shows to be void.
func (f *Follower) fold(page messenger.Page, sent time.Time) (tail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, _ = f.state.update(TruncatedMsg{First: page.First})
	for _, entry := range page.Records {
		if entry.Offset < f.state.next {
			continue
		}
		var result verdict
		f.state, result = f.state.update(RecordMsg{Record: entry})
		f.note(entry, result)
	}
	if f.state.next < page.Next {
		return false
	}
	if f.settleTail() {
		f.prove(sent)
	}

	return true
}

// settleTail puts the document at the tail in force and reports whether the
// document in force is the newest one; the caller holds mu.
func (f *Follower) settleTail() bool {
	current := f.state.current
	if current == nil {
		return true
	}
	if !current.known {
		if f.force == nil || f.force.offset != current.offset {
			f.logger.Warn("configuration not known until it is repeated or pulled from a peer", "offset", current.offset)

			return false
		}
		pulled := *current
		pulled.resolve(f.force.offset, f.force.doc)
		f.state.current, current = &pulled, &pulled
	}
	f.apply(current)
	if current.offset == f.force.offset || f.state.next <= f.force.offset {
		return true
	}
	// The log never goes back, so a lower document at the tail means that a
	// peer offered one that is not in the log.
	loweredCount.Add(1)
	f.logger.Error("configuration in force is not in the log", "offset", f.force.offset, "log", current.offset)

	return false
}

// note counts a void record and settles the pending publication; the caller
// holds mu.
func (f *Follower) note(entry messenger.LogRecord, result verdict) {
	if result == verdictVoid || result == verdictMalformed {
		voidCount.Add(1)
		f.logger.Warn("void configuration record", "offset", entry.Offset, "malformed", result == verdictMalformed)
	}
	if f.pending == nil || f.pending.settled != pendingOpen || !bytes.Equal(entry.Data, f.pending.data) {
		return
	}
	f.pending.settled = pendingVoid
	if result == verdictAccepted {
		f.pending.settled, f.pending.offset = pendingAccepted, entry.Offset
	}
}

// repeat publishes the document in force again when its record is a third of
// the retention old. A random delay lets one of the instances go first; the
// others see its record.
func (f *Follower) repeat(ctx context.Context) {
	doc := f.due()
	if doc == nil {
		return
	}
	data, err := encoder.Marshal(encoder.Publication{
		Parent: doc.offset, Document: doc.doc, Operator: doc.operator, Time: doc.time, Original: doc.offset,
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

// due returns the document to repeat, if any, and counts the attempt.
func (f *Follower) due() *accepted {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retention <= 0 || f.force == nil {
		return nil
	}
	now := f.now()
	if now.Sub(f.attempted) < f.retention/24 {
		return nil
	}
	if current := f.state.current; current != nil {
		// A peer's document is read from the log first.
		if current.offset != f.force.offset || now.Sub(current.renewed) < f.retention/3+f.spread {
			return nil
		}
	} else if f.state.start <= f.force.offset {
		// The document came from a peer, and the log does not show that its
		// record has expired.
		return nil
	}
	f.attempted = now
	f.draw()

	return f.force
}

// draw sets the delay of the next repetition.
func (f *Follower) draw() {
	f.spread = time.Duration(f.jitter() * float64(f.retention) / 12)
}

// rest pauses the loop.
func (f *Follower) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// catchUp reads until the tail.
func (f *Follower) catchUp(ctx context.Context) error {
	for {
		tail, err := f.read(ctx, 0)
		if err != nil || tail {
			return err
		}
	}
}

// parentInForce returns the offset that the next document must name as parent.
func (f *Follower) parentInForce() modeler.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.force == nil {
		return none
	}

	return f.force.offset
}
