package leader

import (
	"bytes"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
)

// TestEndpointStoredAndRemovedIsNoted guards against an append that leaves out of
// the state table an endpoint that the owner takes for stored, without a trace.
func TestEndpointStoredAndRemovedIsNoted(t *testing.T) {
	var log bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &log, DisableTime: true})
	settings := Settings{Planner: planner.Settings{Lease: 3 * time.Second, Freshness: time.Second}, Term: 7, End: 8}
	l := New(settings, nil, nil, nil, nil, &definer.Configuration{}, logger, recorder.NewMetrics())
	now := definer.Now()
	for _, id := range []string{"both", "stored"} {
		l.planner.UpdateListing(definer.Listing{ID: id}, now)
	}
	l.journal.endpointsToStore = []string{"both", "stored"}
	l.journal.endpointsToRemove = []string{"removed", "both"}
	l.journal.newBatch(l, now)
	goldie.New(t).Assert(t, "conflict", log.Bytes())
}
