package planner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// The tests of this file guard against a cell that stands still after a takeover:
// endpoints that the table names may have been replaced while the owner changed.

// storeEndpoints answers the append of the endpoints whose records are out of date.
func (c *testCell) storeEndpoints() { c.planner.EndpointsStored(c.planner.ChangedEndpoints()) }

// replaceEndpoint ends an endpoint that the table names; another one under a new id
// answers at its address.
func (c *testCell) replaceEndpoint(id, successor string) {
	delete(c.born, id)
	c.born[successor] = 1
	c.planner.UpdateListing(c.listing(successor), c.now)
	c.planner.EndpointReplaced(definer.Target{ID: id, Address: c.listing(id).Address}, c.now)
}

// storeFor advances the time in steps of 100 ms. The store takes all changes, and
// the given ids answer at the addresses of the replaced endpoints.
func (c *testCell) storeFor(d time.Duration, replaced ...string) {
	for ; d > 0; d -= 100 * time.Millisecond {
		c.advance(100 * time.Millisecond)
		for _, id := range replaced {
			c.planner.EndpointReplaced(definer.Target{ID: id, Address: c.listing(id).Address}, c.now)
		}
		c.storeEndpoints()
		c.planner.Appended(c.planner.tableEnd+1, c.now)
		c.plan()
	}
}

// TestTakeoverAfterMostEndpointsWereReplaced guards against a cell that stands
// still for good: most endpoints that the table names have ended, and others
// answer at their addresses.
func TestTakeoverAfterMostEndpointsWereReplaced(t *testing.T) {
	c := inheritedJob(t)
	delete(c.born, "e001")
	delete(c.born, "e002")
	c.listEndpoint("e000")
	c.replaceEndpoint("e001", "new1")
	c.replaceEndpoint("e002", "new2")
	c.storeFor(time.Minute, "e001", "e002")
	if len(c.started) != 1 {
		t.Errorf("%d starts within a minute after two of three endpoints were replaced, want 1", len(c.started))
	}
}

// TestTakeoverAfterMostEndpointsWereLost is the same with endpoints whose addresses
// nobody answers any more.
func TestTakeoverAfterMostEndpointsWereLost(t *testing.T) {
	c := inheritedJob(t)
	delete(c.born, "e001")
	delete(c.born, "e002")
	c.listEndpoint("e000")
	for _, id := range []string{"new1", "new2", "new3"} {
		c.born[id] = 1
		c.planner.UpdateListing(c.listing(id), c.now)
	}
	c.storeFor(time.Minute)
	if len(c.started) != 1 {
		t.Errorf("%d starts within a minute after two of three endpoints were lost and three came, want 1", len(c.started))
	}
}

// TestTakeoverDoesNotWaitForReplacedEndpoint guards against a waiting time of a
// lease after each takeover that follows the replacement of an endpoint.
func TestTakeoverDoesNotWaitForReplacedEndpoint(t *testing.T) {
	c := inheritedJob(t)
	delete(c.born, "e002")
	c.listEndpoint("e000")
	c.listEndpoint("e001")
	c.replaceEndpoint("e002", "new2")
	c.storeFor(time.Second, "e002")
	if len(c.started) != 1 {
		t.Errorf("%d starts a second after all endpoints have answered or were seen to be replaced, want 1", len(c.started))
	}
}
