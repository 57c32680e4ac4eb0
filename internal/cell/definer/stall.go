package definer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled means that a call made no progress for too long.
var ErrStalled = errors.New("no progress")

// stallTimer ends a context unless it is reset in time.
type stallTimer struct {
	timer      *time.Timer
	timeout    time.Duration
	onProgress func()
}

type stallTimerKey struct{}

// WithStallTimeout returns a context that ends when timeout passes without a call
// of Progressed. It bounds calls whose size and link are not known: one that
// transfers data may take longer, however slow the link is.
func WithStallTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return WithProgress(parent, timeout, func() {})
}

// WithProgress is WithStallTimeout with a function that each call of Progressed calls.
func WithProgress(parent context.Context, timeout time.Duration, onProgress func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stall := &stallTimer{timer: time.AfterFunc(timeout, func() { cancel(ErrStalled) }), timeout: timeout, onProgress: onProgress}

	return context.WithValue(ctx, stallTimerKey{}, stall), func() {
		stall.timer.Stop()
		cancel(context.Canceled)
	}
}

// Progressed extends the time of a context that WithStallTimeout has returned. It
// does nothing for another one, or one that has ended.
func Progressed(ctx context.Context) {
	stall, ok := ctx.Value(stallTimerKey{}).(*stallTimer)
	if ok && ctx.Err() == nil {
		stall.timer.Reset(stall.timeout)
		stall.onProgress()
	}
}
