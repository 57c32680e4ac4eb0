// Package follower reads the stream "config" of the platform's log and publishes
// new documents to it. A publication is valid only if it names the document in
// force as its parent. A Follower holds the document in force at this instance
// and the time at which it was last confirmed to be the newest.
package follower

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// Stream is the name of the stream that holds the configuration.
const Stream = "config"

// pageLimit is the maximum number of records in one read. It is small because a
// document can be large.
const pageLimit = 64

var (
	voidCount     = expvar.NewInt("config.void")
	loweredCount  = expvar.NewInt("config.lowered")
	repeatedCount = expvar.NewInt("config.repetitions")
)

var _ modeler.Configuration = (*Follower)(nil)

// Follower keeps the configuration in force at this instance. It is safe for
// concurrent use.
type Follower struct {
	log            messenger.Log
	logger         hclog.Logger
	now            func() time.Time
	jitter         func() float64
	check          func(modeler.Document) error
	retention      time.Duration
	publishTimeout time.Duration
	pollWait       time.Duration
	retryPause     time.Duration
	done           chan struct{}

	// publishMu serializes calls of Publish.
	publishMu sync.Mutex

	mu      sync.Mutex
	state   state
	inForce *acceptedDocument
	// confirmedAt is when the document in force was last confirmed to be the
	// newest; zero if it never was.
	confirmedAt time.Time
	// lastRepeat is when this instance last attempted a repetition.
	lastRepeat time.Time
	// repeatDelay is the random delay of the next repetition.
	repeatDelay time.Duration
	// pending is the publication that Publish waits to read back, or nil.
	pending   *pendingPublication
	listeners []chan struct{}
}

// New returns a follower without a document. Run starts reading the stream.
func New(opts ...Option) *Follower {
	f := defaults()
	for _, opt := range opts {
		opt(f)
	}
	f.drawRepeatDelay()

	return f
}

// Run reads the stream until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	f.loop(ctx)
}

// Done is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// InForce implements modeler.Configuration.
func (f *Follower) InForce() (modeler.Document, modeler.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce == nil {
		return modeler.Document{}, none, false
	}

	return f.inForce.doc, f.inForce.offset, true
}

// Origin returns the operator who published the document in force and the time
// of the publication. Both are zero if the document came from a peer.
func (f *Follower) Origin() (operator string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce == nil {
		return "", time.Time{}
	}

	return f.inForce.operator, f.inForce.publishedAt
}

// ConfigAge returns the time since the document in force was last confirmed to be
// the newest, because this instance or a peer had reached the tail of the log. It
// reports false if that has not happened yet.
func (f *Follower) ConfigAge(now time.Time) (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce == nil || f.confirmedAt.IsZero() {
		return 0, false
	}

	return max(now.Sub(f.confirmedAt), 0), true
}

// Confirm records that a peer with the document at offset in force reached the
// tail of the log age ago. It has no effect if the document in force here is
// older than that of the peer.
func (f *Follower) Confirm(offset modeler.Offset, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce == nil || offset > f.inForce.offset || age < 0 {
		return
	}
	f.advanceConfirmedAt(f.now().Add(-age))
}

// Offer passes in a document that was pulled from a peer and reports whether it
// came into force. It is ignored unless its offset is above the one in force.
func (f *Follower) Offer(offset modeler.Offset, doc modeler.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset < 0 {
		return false
	}

	return f.apply(&acceptedDocument{doc: doc, offset: offset, parent: offset})
}

// Changes returns a channel that is signalled after the document in force has
// changed. Each call registers a new listener. Signals that were not yet received
// coalesce.
func (f *Follower) Changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	listener := make(chan struct{}, 1)
	f.listeners = append(f.listeners, listener)

	return listener
}

// apply puts next in force if it is newer than the document in force. The caller
// holds mu.
func (f *Follower) apply(next *acceptedDocument) bool {
	if f.inForce != nil && next.offset <= f.inForce.offset {
		return false
	}
	f.inForce = next
	f.logger.Info("configuration in force", "offset", next.offset, "operator", next.operator)
	for _, listener := range f.listeners {
		select {
		case listener <- struct{}{}:
		default:
		}
	}

	return true
}

// advanceConfirmedAt sets confirmedAt to at if that is later. The caller holds mu.
func (f *Follower) advanceConfirmedAt(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}
