package follower

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/config/checker"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Option changes a setting of a Follower.
type Option func(*Follower)

// WithLog sets the platform's log. It is required.
func WithLog(log messenger.Log) Option { return func(f *Follower) { f.log = log } }

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger hclog.Logger) Option { return func(f *Follower) { f.logger = logger } }

// WithClock sets the clock; the default is time.Now. It should be monotonic,
// because ages are differences of its readings.
func WithClock(now func() time.Time) Option { return func(f *Follower) { f.now = now } }

// WithRetention sets how long the log retains a record. A document is published
// again when its record has reached a third of that age. Zero, the default,
// disables this.
func WithRetention(retention time.Duration) Option {
	return func(f *Follower) { f.retention = retention }
}

// WithPublishTimeout limits how long Publish waits for the outcome of an append;
// the default is 5 s.
func WithPublishTimeout(timeout time.Duration) Option {
	return func(f *Follower) { f.publishTimeout = timeout }
}

// WithPoll sets how long a read waits for a new record (default 500 ms) and
// the pause after a failed read (default 200 ms).
func WithPoll(wait, pause time.Duration) Option {
	return func(f *Follower) { f.pollWait, f.retryPause = wait, pause }
}

// WithJitter sets the source of the random factor in [0, 1) that spreads the
// repetitions of several instances; the default is math/rand.
func WithJitter(jitter func() float64) Option { return func(f *Follower) { f.jitter = jitter } }

// WithCheck sets the check of a document before it is published; the default is
// checker.Check. A document that fails is refused with the code bad-config.
func WithCheck(check func(modeler.Document) error) Option {
	return func(f *Follower) { f.check = check }
}

// defaults returns a follower with the default settings.
func defaults() *Follower {
	return &Follower{
		logger:         hclog.NewNullLogger(),
		now:            time.Now,
		jitter:         rand.Float64,
		check:          checker.Check,
		publishTimeout: 5 * time.Second,
		pollWait:       500 * time.Millisecond,
		retryPause:     200 * time.Millisecond,
		done:           make(chan struct{}),
	}
}
