package courier

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

var errSilent = errors.New("courier does not reply")

// watchdog ends a link whose courier does not reply. It is needed because a
// connection whose peer is frozen or unreachable reports no error.
type watchdog struct {
	link   *link
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func (w *watchdog) loop(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(watchdogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silent := w.link.silentFor(definer.Now())
		if silent > silenceTimeout {
			w.cancel(errSilent)

			return
		}
		if silent > probeAfter {
			w.link.requestProbe()
		}
	}
}
