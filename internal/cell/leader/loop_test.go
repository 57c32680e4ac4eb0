package leader

import (
	"context"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
)

// slowMessage takes a while to apply.
type slowMessage struct{ until *definer.Instant }

func (m slowMessage) apply(context.Context, *Leader, definer.Instant) {
	time.Sleep(5 * time.Millisecond)
	*m.until = definer.Now()
}

// timeMessage records the time at which it is applied.
type timeMessage struct{ at *definer.Instant }

func (m timeMessage) apply(_ context.Context, _ *Leader, now definer.Instant) { *m.at = now }

// TestMessagesAreAppliedAtTheirTime guards against two runs of a task at the same time:
// if the answer to a start counted as received when the messages before it were begun,
// a report that was requested meanwhile, and does not list the run yet, would count as
// later than the start (seen as TWICE on large trouble-3, whose owner was overloaded).
func TestMessagesAreAppliedAtTheirTime(t *testing.T) {
	l := owner(1, journaler.NewState(), definer.Now())
	var slowUntil, at definer.Instant
	l.post(slowMessage{&slowUntil})
	l.post(timeMessage{&at})
	ctx, cancel := context.WithCancelCause(context.Background())
	l.cancel = cancel
	go l.loop(ctx)
	l.post(endMsg{ErrSuperseded})
	<-ctx.Done()
	if at < slowUntil {
		t.Errorf("a message was applied with a time %v before the one before it was done", slowUntil.Sub(at))
	}
}
