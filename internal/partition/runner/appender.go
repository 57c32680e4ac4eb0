package runner

import (
	"context"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/container/buffer"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
)

const (
	// appendTimeout bounds one append. If the log does not answer within this
	// time, it is considered down.
	appendTimeout = time.Second
	// appendBackoff is the delay after the first failed append of a batch. It
	// doubles with each further failure, up to maxAppendBackoff.
	appendBackoff    = 50 * time.Millisecond
	maxAppendBackoff = time.Second
)

// appender appends batches to the stream, one at a time. A batch whose append
// failed may still be in the stream, so the same batch is appended again until
// it was read back or can no longer become valid. Readers drop duplicates.
type appender struct {
	runner *Runner
	queue  *buffer.Ring[pendingBatch]
	done   chan struct{}

	mu     sync.Mutex
	cancel context.CancelFunc
}

// pendingBatch is a batch and the context that is cancelled when the batch no
// longer needs to be appended.
type pendingBatch struct {
	ctx   context.Context
	batch encoder.Batch
}

func newAppender(r *Runner) *appender {
	return &appender{runner: r, queue: buffer.NewRing[pendingBatch](4), done: make(chan struct{})}
}

// enqueue queues a batch and stops the attempts to append the previous one.
func (a *appender) enqueue(batch encoder.Batch) {
	a.stopAppend()
	if a.runner.driver != nil {
		a.runner.driver.Append(batch)

		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock()
	a.cancel = cancel
	a.mu.Unlock()
	a.queue.Push(pendingBatch{ctx: ctx, batch: batch})
}

// stopAppend stops the attempts to append the current batch, because it was
// read back or can no longer become valid.
func (a *appender) stopAppend() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runner.driver != nil {
		a.runner.driver.StopAppend()
	}
	if a.cancel != nil {
		a.cancel()
		a.cancel = nil
	}
}

// run appends batches until ctx is done.
func (a *appender) run(ctx context.Context) {
	defer close(a.done)
	for {
		next, ok := a.queue.Pop(ctx)
		if !ok {
			return
		}
		a.appendBatch(ctx, next)
	}
}

// appendBatch appends a batch until the log confirms it or its context is
// cancelled.
func (a *appender) appendBatch(ctx context.Context, next pendingBatch) {
	r := a.runner
	data, err := encoder.Marshal(&next.batch)
	if err != nil {
		r.settings.Logger.Error("batch cannot be encoded", "partition", r.settings.Partition.Name, "error", err)

		return
	}
	for backoff := appendBackoff; next.ctx.Err() == nil; backoff = min(2*backoff, maxAppendBackoff) {
		// Cancelling the batch also ends a running attempt.
		attempt, cancel := context.WithTimeout(next.ctx, appendTimeout)
		release := context.AfterFunc(ctx, cancel)
		_, err := r.settings.Log.Append(attempt, streamName(r.settings.Partition.Name), data)
		release()
		cancel()
		if err == nil || ctx.Err() != nil || next.ctx.Err() != nil {
			return
		}
		r.settings.Logger.Debug("append failed", "partition", r.settings.Partition.Name, "seq", next.batch.Seq, "error", err)
		r.pushEvent(ctx, event{msg: owner.LogStatusMsg{Down: true}})
		select {
		case <-ctx.Done():
		case <-next.ctx.Done():
		case <-time.After(backoff):
		}
	}
}
