// Package follower follows the stream "config" of the platform's log: it folds
// the publications by the parent rule, keeps the document in force at this
// instance with the proof of its freshness, and publishes new documents.
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

// pageLimit bounds the records of one read; documents can be large.
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
	log       messenger.Log
	logger    hclog.Logger
	now       func() time.Time
	jitter    func() float64
	check     func(modeler.Document) error
	retention time.Duration
	settle    time.Duration
	wait      time.Duration
	pause     time.Duration
	done      chan struct{}

	// publishing admits one Publish at a time.
	publishing sync.Mutex

	mu     sync.Mutex
	state  state
	force  *accepted
	proved time.Time
	// attempted is the time of the last repetition that this instance tried.
	attempted time.Time
	spread    time.Duration
	pending   *pending
	listeners []chan struct{}
}

// New returns a follower that holds no document yet; call Run to follow.
func New(opts ...Option) *Follower {
	f := defaults()
	for _, opt := range opts {
		opt(f)
	}
	f.draw()

	return f
}

// Run follows the stream until ctx ends.
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
	if f.force == nil {
		return modeler.Document{}, none, false
	}

	return f.force.doc, f.force.offset, true
}

// Origin tells who published the document in force and when; both are zero
// when it came from a peer.
func (f *Follower) Origin() (operator string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.force == nil {
		return "", time.Time{}
	}

	return f.force.operator, f.force.time
}

// ConfigAge returns the time since the document in force was last proved to be the
// newest, by reaching the tail of the log or through a peer that did. It
// reports false while there is no such proof.
func (f *Follower) ConfigAge(now time.Time) (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.force == nil || f.proved.IsZero() {
		return 0, false
	}

	return max(now.Sub(f.proved), 0), true
}

// Confirm takes the proof of a peer at which offset is in force and which
// reached the tail age ago. It has no effect when offset is higher than the
// one in force here.
func (f *Follower) Confirm(offset modeler.Offset, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.force == nil || offset > f.force.offset || age < 0 {
		return
	}
	f.prove(f.now().Add(-age))
}

// Offer takes a document that was pulled from a peer and reports whether it is
// now in force. An offset at or below the one in force is refused.
func (f *Follower) Offer(offset modeler.Offset, doc modeler.Document) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset < 0 {
		return false
	}

	return f.apply(&accepted{doc: doc, offset: offset, parent: offset})
}

// Changes returns a channel that is signalled after the document in force has
// changed. Every call registers a listener of its own; signals coalesce.
func (f *Follower) Changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	listener := make(chan struct{}, 1)
	f.listeners = append(f.listeners, listener)

	return listener
}

// apply puts a document in force unless it is not newer; the caller holds mu.
func (f *Follower) apply(next *accepted) bool {
	if f.force != nil && next.offset <= f.force.offset {
		return false
	}
	f.force = next
	f.logger.Info("configuration in force", "offset", next.offset, "operator", next.operator)
	for _, listener := range f.listeners {
		select {
		case listener <- struct{}{}:
		default:
		}
	}

	return true
}

// prove moves the time of the last proof forward; the caller holds mu.
func (f *Follower) prove(at time.Time) {
	if at.After(f.proved) {
		f.proved = at
	}
}
