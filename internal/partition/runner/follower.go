package runner

import (
	"context"
	"sync/atomic"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// pollWait is shorter than the time after which a log that does not answer
	// is passed over in a takeover.
	pollWait = 300 * time.Millisecond
	// pollLimit bounds the records of one read.
	pollLimit = 256
	// readTimeout bounds one read.
	readTimeout = pollWait + time.Second
	// readPause is the pause after a failed read.
	readPause = 100 * time.Millisecond
)

// stream returns the name of a partition's stream.
func stream(partition modeler.PartitionID) string { return "part-" + string(partition) }

// follower reads the stream with long polls and hands its records to the loop.
type follower struct {
	runner *Runner
	done   chan struct{}
	// answered is the time of the last answer, in nanoseconds.
	answered atomic.Int64
	// tail is set once the end of the stream was reached.
	tail atomic.Bool
}

func newFollower(r *Runner) *follower {
	return &follower{runner: r, done: make(chan struct{})}
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) {
	defer close(f.done)
	r := f.runner
	var from modeler.Offset
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := r.set.Log.Read(attempt, stream(r.set.Partition.Name), from, pollLimit, pollWait)
		cancel()
		if err != nil {
			r.set.Logger.Debug("read failed", "partition", r.set.Partition.Name, "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(readPause):
			}

			continue
		}
		f.answered.Store(r.set.Clock().UnixNano())
		if len(page.Records) > 0 {
			from = page.Records[len(page.Records)-1].Offset + 1
			r.push(ctx, event{page: &page})
		}
		if from >= page.Next {
			f.tail.Store(true)
		}
	}
}

// silent reports whether the log has not answered for the given time.
func (f *follower) silent(now time.Time, patience time.Duration) bool {
	return now.UnixNano()-f.answered.Load() > int64(patience)
}
