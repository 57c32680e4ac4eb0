package courier

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

var errSilent = errors.New("courier is silent")

// silence ends a link whose courier does not answer; a connection that has
// gone silent shows no error of its own.
type silence struct {
	link   *link
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func (s *silence) loop(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silent := s.link.silentFor(definer.Now())
		if silent > silentAfter {
			s.cancel(errSilent)

			return
		}
		if silent > probeAfter {
			s.link.probe()
		}
	}
}
