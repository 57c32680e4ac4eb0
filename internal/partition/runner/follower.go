package runner

import (
	"context"
	"sync/atomic"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// pollWait bounds a long poll. It is shorter than elector.LogTimeout, after
	// which a takeover proceeds without the log.
	pollWait = 300 * time.Millisecond
	// maxPollRecords bounds the records of one read.
	maxPollRecords = 256
	// readTimeout bounds one read.
	readTimeout = pollWait + time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * time.Millisecond
)

// streamName returns the name of a partition's stream.
func streamName(partition modeler.PartitionID) string { return "part-" + string(partition) }

// follower reads the stream with long polls and passes its records to the event
// loop.
type follower struct {
	runner *Runner
	done   chan struct{}
	// lastAnswer is the time of the last answer of the log in Unix nanoseconds.
	lastAnswer atomic.Int64
	// atTail is set once the end of the stream was reached.
	atTail atomic.Bool
}

func newFollower(r *Runner) *follower {
	return &follower{runner: r, done: make(chan struct{})}
}

// run reads the stream until ctx is done.
func (f *follower) run(ctx context.Context) {
	defer close(f.done)
	r := f.runner
	var from modeler.Offset
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := r.settings.Log.Read(attempt, streamName(r.settings.Partition.Name), from, maxPollRecords, pollWait)
		cancel()
		if err != nil {
			r.settings.Logger.Debug("read failed", "partition", r.settings.Partition.Name, "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(readRetryDelay):
			}

			continue
		}
		f.lastAnswer.Store(r.settings.Clock().UnixNano())
		if len(page.Records) > 0 {
			from = page.Records[len(page.Records)-1].Offset + 1
			r.pushEvent(ctx, event{page: &page})
		}
		if from >= page.Next {
			f.atTail.Store(true)
		}
	}
}

// silent reports whether the log has not answered for more than timeout.
func (f *follower) silent(now time.Time, timeout time.Duration) bool {
	return now.UnixNano()-f.lastAnswer.Load() > int64(timeout)
}
