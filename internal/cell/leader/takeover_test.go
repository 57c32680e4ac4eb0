package leader

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/cell/journaler"
	"gitlab.com/greengagewall/greengagewall/internal/cell/planner"
	"gitlab.com/greengagewall/greengagewall/internal/cell/recorder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// owner returns an owner with the given term that has loaded the state table.
func owner(term int64, state *journaler.State, now definer.Instant) *Leader {
	settings := Settings{Planner: planner.Settings{Lease: 3 * time.Second, Freshness: time.Second}, Term: term, End: term}
	config := &definer.Configuration{Routes: []definer.Route{{Queue: definer.Queue{Name: "queue", Service: "service"}}}}
	l := New(settings, nil, nil, &recordingClient{}, nil, config, hclog.NewNullLogger(), recorder.NewMetrics())
	l.planner.Configure(config)
	state.Restore(l.planner, now, time.Now())

	return l
}

func listing(id string) definer.Listing {
	return definer.Listing{ID: id, Service: "service", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1, Capacity: modeler.Resources{Millis: 8000, Memory: 1 << 30}}
}

// appendNext executes the planner's commands and writes the next batch to the table.
func appendNext(t *testing.T, l *Leader, table *journaler.State, now definer.Instant) {
	t.Helper()
	b := l.journal.newBatch(l, now)
	for _, record := range b.records {
		if err := table.Apply(record); err != nil {
			t.Fatal(err)
		}
	}
	l.planner.EndpointsStored(b.storedEndpoints, b.removedEndpoints)
}

// TestEndpointThatReturnsIsNamedInTable guards against two runs of a task at the
// same time: the next owner asks only the endpoints that the table names, so the
// table must name one that was removed and listed again between two appends.
func TestEndpointThatReturnsIsNamedInTable(t *testing.T) {
	now := definer.Now()
	table := journaler.NewState()
	l := owner(1, table, now)
	l.planner.UpdateListing(listing("e"), now)
	l.planner.Report("e", now, now, definer.Report{Clock: 1, Born: 1})
	appendNext(t, l, table, now)
	l.planner.RemoveListing("e")
	now = now.Add(time.Minute)
	l.planner.Tick(now, time.Now())
	l.planner.UpdateListing(listing("e"), now)
	appendNext(t, l, table, now)
	if table.Endpoints["e"] == nil {
		t.Error("the table does not name an endpoint that the owner uses")
	}
}

// TestOwnersInARowGiveDifferentRunNumbers guards against two starts of a task with
// the same run number, when owners follow one another without storing anything.
func TestOwnersInARowGiveDifferentRunNumbers(t *testing.T) {
	table := journaler.NewState()
	job := definer.Job{ID: "job", Account: "account", Queue: definer.Queue{Name: "queue", Service: "service"}, Steps: []definer.Step{{Count: 1, Need: modeler.Resources{Millis: 1000}}}}
	table.Jobs["job"] = &job
	e := listing("e")
	table.Endpoints["e"] = &e
	given := map[int]int64{}
	for _, term := range []int64{2, 3, 4, 9} {
		now := definer.Now()
		l := owner(term, table, now)
		l.planner.UpdateListing(e, now)
		l.planner.Report("e", now, now, definer.Report{Clock: 1, Born: term})
		l.planner.Tick(now, time.Now())
		l.planner.Plan(now)
		for _, command := range l.planner.Commands() {
			if start, ok := command.(planner.StartCmd); ok {
				if earlier, dup := given[start.Order.Run]; dup {
					t.Errorf("run number %d given by the owners of terms %d and %d", start.Order.Run, earlier, term)
				}
				given[start.Order.Run] = term
			}
		}
	}
	if len(given) == 0 {
		t.Error("no start")
	}
}

// TestTableHasCapacityOfEndpoints guards against an account above its limit: the
// next owner bounds what runs on an endpoint that has not answered by the capacity
// of the endpoint, which the endpoint list may not contain at that time.
func TestTableHasCapacityOfEndpoints(t *testing.T) {
	now := definer.Now()
	table := journaler.NewState()
	l := owner(1, table, now)
	for _, id := range []string{"e0", "e1", "e2"} {
		l.planner.UpdateListing(listing(id), now)
	}
	appendNext(t, l, table, now)
	step := definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}}
	job := definer.Job{ID: "job", Account: "account", Queue: definer.Queue{Name: "queue", Service: "service"}, Steps: []definer.Step{step}}
	table.Jobs["job"] = &job
	l = owner(9, table, now)
	l.planner.Configure(&definer.Configuration{Accounts: []definer.Account{{Name: "account", Limit: step.Need}}})
	for _, id := range []string{"e0", "e1"} {
		l.planner.UpdateListing(listing(id), now)
		l.planner.Report(id, now, now, definer.Report{Clock: 1, Born: 1})
	}
	added := job
	added.ID = "added"
	l.planner.Accept(added, now, time.Now())
	l.planner.Plan(now)
	for _, command := range l.planner.Commands() {
		if _, ok := command.(planner.StartCmd); ok {
			t.Error("task started beside an inherited one that may run on an endpoint without an answer, within a limit of one task")
		}
	}
}
