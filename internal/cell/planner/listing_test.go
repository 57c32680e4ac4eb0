package planner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// listUnanswered writes entries of a service at addresses where no endpoint answers.
func (c *testCell) listUnanswered(count int, service string) {
	for n := range count {
		listing := c.listing(fmt.Sprintf("x%03d", n))
		listing.Service, listing.Address = service, netip.MustParseAddrPort("10.9.9.9:9")
		c.planner.UpdateListing(listing, c.now)
	}
}

// expectStartsFor expects that a job of one task starts at the end of the time, while
// only the endpoints in born answer.
func (c *testCell) expectStartsFor(d time.Duration) {
	c.Helper()
	for began := c.now; c.now.Sub(began) < d; {
		c.advance(100 * time.Millisecond)
		c.storeEndpoints()
		c.plan()
	}
	c.accept(c.job(fmt.Sprint("j", c.now), simpleStep(1)))
	before := len(c.started)
	c.plan()
	if len(c.started) != before+1 {
		c.Errorf("%d starts of a job of one task, want 1", len(c.started)-before)
	}
}

// TestEntriesOfOtherServiceStopNothing guards against a cell that starts nothing any
// more because another system's entries stand in the endpoint list (review/2).
func TestEntriesOfOtherServiceStopNothing(t *testing.T) {
	c := newCell(t, 3)
	c.listUnanswered(3, "other")
	c.expectStartsFor(testSettings.Freshness + time.Second)
	for _, id := range c.planner.Endpoints() {
		if id[0] == 'x' {
			t.Errorf("endpoint %s of an unused service gets orders", id)
		}
	}
}

// TestEntriesWithoutEndpointStopNothing is the same for entries of the cell's service
// at whose addresses nothing has ever answered, also after a takeover.
func TestEntriesWithoutEndpointStopNothing(t *testing.T) {
	c := newCell(t, 3)
	c.listUnanswered(3, "service")
	c.expectStartsFor(testSettings.Freshness + time.Second)

	c = restoredCell(t, (&testCell{}).job("a", simpleStep(1)), Progress{})
	c.listUnanswered(6, "service")
	for id := range c.born {
		c.listEndpoint(id)
	}
	c.planner.RemoveListing("x000")
	c.expectStartsFor(testSettings.Freshness + time.Second)
	for id := range c.planner.endpoints {
		if e := c.planner.endpoints[id]; id[0] == 'x' && e.entry != entryAbsent {
			t.Errorf("endpoint %s, which has never answered, is in state %d of the table", id, e.entry)
		}
	}
}

// TestEndpointsOfLaterServiceAreUsed guards against endpoints that stay unused because
// their entries were read before the configuration, or a job, needed their service.
func TestEndpointsOfLaterServiceAreUsed(t *testing.T) {
	for _, use := range []func(*testCell){
		func(c *testCell) {
			c.planner.Configure(&definer.Configuration{Routes: append([]definer.Route{{Queue: definer.Queue{Service: "later"}}}, testRoutes...)})
		},
		func(c *testCell) {
			job := c.job("a", simpleStep(1))
			job.Queue.Service = "later"
			c.planner.Accept(job, c.now, c.wall)
		},
	} {
		c := newCell(t, 3)
		listing := c.listing("l000")
		listing.Service, listing.Draining, listing.Remaining = "later", true, 4*time.Second
		c.planner.UpdateListing(listing, c.now)
		c.advance(time.Second)
		use(c)
		e := c.planner.endpoints["l000"]
		if e == nil || !e.listed {
			t.Fatalf("endpoint of a service that is used now: %+v, want it listed", e)
		}
		if left := e.departsAt.Sub(c.now); left > 3*time.Second {
			t.Errorf("endpoint leaves in %v, want at most 3s, since its entry was read a second ago", left)
		}
		c.planner.RemoveListing("l000")
		if len(c.planner.Endpoints()) != 3 {
			t.Errorf("endpoints %v after the entry was removed, want the three others", c.planner.Endpoints())
		}
	}
}

// TestEntryInPlaceOfEndpointIsNotUsed guards against orders to another system that has
// written its entry under the id of an endpoint, and against the loss of the endpoint
// once it writes its own entry again.
func TestEntryInPlaceOfEndpointIsNotUsed(t *testing.T) {
	c := newCell(t, 3)
	foreign := c.listing("e000")
	foreign.Service, foreign.Address = "other", netip.MustParseAddrPort("10.9.9.9:9")
	c.planner.UpdateListing(foreign, c.now)
	e := c.planner.endpoints["e000"]
	if e.listed || e.Address == foreign.Address {
		t.Errorf("entry of another service is in place of the endpoint's: listed %v, address %v", e.listed, e.Address)
	}
	c.planner.UpdateListing(c.listing("e000"), c.now)
	if !e.listed || len(c.planner.unusedListings) != 0 {
		t.Errorf("after the endpoint has written its entry: listed %v, %d unused entries", e.listed, len(c.planner.unusedListings))
	}
}

// TestEntriesWithoutEndpointAreNoRoom guards against jobs that are accepted although
// they can't be done in time, because room is expected where nothing answers.
func TestEntriesWithoutEndpointAreNoRoom(t *testing.T) {
	c := newCell(t, 3)
	_, before := c.planner.Backlog(1, c.now)
	c.listUnanswered(3, "service")
	c.now = c.now.Add(backlogAge)
	if _, after := c.planner.Backlog(1, c.now); after != before {
		t.Errorf("%v cores with entries at which nothing answers, %v before", after, before)
	}
}
