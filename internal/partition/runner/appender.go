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
	// appendTimeout bounds one append; the log is taken to be down when it
	// does not answer within this time.
	appendTimeout = time.Second
	// appendPause is the first pause after a failed append, doubled up to
	// maxAppendPause.
	appendPause    = 50 * time.Millisecond
	maxAppendPause = time.Second
)

// appender writes batches to the stream, one at a time. A batch whose append
// failed may be in the stream all the same, so it is appended again unchanged
// until it is known to be settled; readers drop repetitions.
type appender struct {
	runner *Runner
	ring   *buffer.Ring[job]
	done   chan struct{}

	mu      sync.Mutex
	settled context.CancelFunc
}

// job is a batch with the context that ends when the batch is settled.
type job struct {
	ctx   context.Context
	batch encoder.Batch
}

func newAppender(r *Runner) *appender {
	return &appender{runner: r, ring: buffer.NewRing[job](4), done: make(chan struct{})}
}

// put hands over a batch; it settles the one before.
func (a *appender) put(batch encoder.Batch) {
	a.settle()
	if a.runner.driver != nil {
		a.runner.driver.Append(batch)

		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock()
	a.settled = cancel
	a.mu.Unlock()
	a.ring.Push(job{ctx: ctx, batch: batch})
}

// settle ends the attempts to append the present batch: it was read back, or
// can no longer become valid.
func (a *appender) settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runner.driver != nil {
		a.runner.driver.StopAppend()
	}
	if a.settled != nil {
		a.settled()
		a.settled = nil
	}
}

// run appends batches until ctx ends.
func (a *appender) run(ctx context.Context) {
	defer close(a.done)
	for {
		next, ok := a.ring.Pop(ctx)
		if !ok {
			return
		}
		a.write(ctx, next)
	}
}

// write appends a batch until the log confirms it or it is settled.
func (a *appender) write(ctx context.Context, next job) {
	r := a.runner
	data, err := encoder.Marshal(&next.batch)
	if err != nil {
		r.set.Logger.Error("batch cannot be encoded", "partition", r.set.Partition.Name, "error", err)

		return
	}
	for pause := appendPause; next.ctx.Err() == nil; pause = min(2*pause, maxAppendPause) {
		// A settled batch needs no answer any more.
		attempt, cancel := context.WithTimeout(next.ctx, appendTimeout)
		release := context.AfterFunc(ctx, cancel)
		_, err := r.set.Log.Append(attempt, stream(r.set.Partition.Name), data)
		release()
		cancel()
		if err == nil || ctx.Err() != nil || next.ctx.Err() != nil {
			return
		}
		r.set.Logger.Debug("append failed", "partition", r.set.Partition.Name, "seq", next.batch.Seq, "error", err)
		r.push(ctx, event{msg: owner.LogStatusMsg{Down: true}})
		select {
		case <-ctx.Done():
		case <-next.ctx.Done():
		case <-time.After(pause):
		}
	}
}
