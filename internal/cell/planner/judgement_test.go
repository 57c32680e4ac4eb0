package planner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// The tests of this file guard against two runs of a task at the same time: an
// owner must not take a run for over, or keep a lease alive, on a ground that the
// next owner or the endpoint does not share.

// inheritedJob returns a cell whose owner has taken over job "a" with one task and
// three endpoints, of which none has answered yet.
func inheritedJob(t *testing.T) *testCell {
	t.Helper()

	return restoredCell(t, (&testCell{}).job("a", simpleStep(1)), Progress{})
}

// silentFor advances the time in steps of 100 ms while the given endpoints do not answer.
func (c *testCell) silentFor(d time.Duration, silent ...string) {
	for ; d > 0; d -= 100 * time.Millisecond {
		c.advance(100*time.Millisecond, silent...)
		c.plan()
	}
}

// TestTakeoverNeedsMajorityOfInheritedEndpoints guards against a waiting time that
// begins with a majority of other endpoints than those the previous owner counts.
func TestTakeoverNeedsMajorityOfInheritedEndpoints(t *testing.T) {
	c := inheritedJob(t)
	for _, id := range []string{"e001", "e002"} {
		// They are listed and do not answer this owner.
		c.planner.UpdateListing(c.listing(id), c.now)
	}
	for n := range 4 {
		c.listEndpoint(fmt.Sprintf("new%d", n))
	}
	c.silentFor(2*(testSettings.Freshness+testSettings.LeaseBound()), "e001", "e002")
	if len(c.started) != 0 {
		t.Errorf("run %d started although two of three inherited endpoints may still obey the previous owner", c.started[0].Order.Run)
	}
	c.listEndpoint("e001")
	c.silentFor(testSettings.Freshness+testSettings.LeaseBound()+200*time.Millisecond, "e002")
	if len(c.started) != 1 {
		t.Errorf("%d starts after a majority of the inherited endpoints has accepted the term and all leases have expired, want 1", len(c.started))
	}
}

// expectNoLease reports an error if the planner would extend the lease of endpoint e000 now.
func (c *testCell) expectNoLease(reason string) {
	c.Helper()
	if _, order, _ := c.planner.RenewOrder("e000", c.now); order.Until != 0 {
		c.Errorf("lease of e000 extended until %d %s", order.Until, reason)
	}
}

// TestEndpointsBeingStoredCountForMajority guards against a majority that misses
// endpoints which the next owner finds in the table: the append that stores them
// may have succeeded without an answer.
func TestEndpointsBeingStoredCountForMajority(t *testing.T) {
	c := newCell(t, 3)
	added := make([]string, 0, 4)
	for n := range 4 {
		id := fmt.Sprintf("new%d", n)
		added = append(added, id)
		c.born[id] = 1
		c.planner.UpdateListing(c.listing(id), c.now)
		c.report(id)
	}
	if stored, _ := c.planner.ChangedEndpoints(); len(stored) < len(added) {
		t.Fatalf("%d endpoints to store, want the %d new ones", len(stored), len(added))
	}
	c.now = c.now.Add(testSettings.Freshness)
	c.advance(100*time.Millisecond, added...)
	c.expectNoLease("although the next owner may count 7 endpoints, of which 4 have not answered")
}

// TestEndpointsBeingRemovedCountForMajority guards against a majority of the
// endpoints that are left while the table still names the removed ones.
func TestEndpointsBeingRemovedCountForMajority(t *testing.T) {
	c := newCell(t, 5)
	gone := []string{"e002", "e003", "e004"}
	for _, id := range gone {
		c.planner.RemoveListing(id)
	}
	c.silentFor(testSettings.Freshness+testSettings.LeaseBound()+time.Second, gone...)
	c.expectNoLease("although the table still names 5 endpoints, of which 2 answer")
}

// TestOldMajorityExtendsNoLease guards against leases that an owner extends on the
// ground of a majority that has lapsed since its last tick.
func TestOldMajorityExtendsNoLease(t *testing.T) {
	c := newCell(t, 3)
	lapse := testSettings.Freshness
	for elapsed := time.Duration(0); elapsed < lapse-100*time.Millisecond; elapsed += 100 * time.Millisecond {
		c.advance(100*time.Millisecond, "e001", "e002")
	}
	c.now = c.now.Add(200 * time.Millisecond)
	c.expectNoLease("although most endpoints have not answered within the freshness limit")
}

// TestRestartedEndpointGetsNoLeaseByOldClock guards against a lease that lasts
// longer than the owner assumes: a new life has a new clock.
func TestRestartedEndpointGetsNoLeaseByOldClock(t *testing.T) {
	c := newCell(t, 1)
	c.advance(100 * time.Millisecond)
	listing := c.listing("e000")
	listing.Born = 2
	c.planner.UpdateListing(listing, c.now)
	c.expectNoLease("by the clock of its earlier life")
	c.accept(c.job("a", simpleStep(1)))
	c.plan()
	if len(c.started) != 0 {
		t.Errorf("run started with a lease until %d by the clock of the endpoint's earlier life", c.started[0].Order.Until)
	}
	c.born["e000"] = 2
	c.report("e000")
	c.planner.Tick(c.now, c.wall)
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts once the new life has reported its clock, want 1", len(c.started))
	}
}

// TestClockOfNewLifeCounts guards against the clock of an earlier life that stays
// in use because the report of the new life was requested earlier.
func TestClockOfNewLifeCounts(t *testing.T) {
	c := newCell(t, 1)
	requested := c.now
	c.now = c.now.Add(time.Second)
	c.planner.Report("e000", c.now, c.now, definer.Report{Clock: 900_000, Born: 1})
	c.planner.Report("e000", requested, c.now, definer.Report{Clock: 10, Born: 2})
	c.planner.Tick(c.now, c.wall)
	latest := 10 + testSettings.Lease.Milliseconds()
	if _, order, _ := c.planner.RenewOrder("e000", c.now); order.Until > latest {
		t.Errorf("lease until %d by the endpoint's clock, want %d at most", order.Until, latest)
	}
}

// TestNewAddressIsStoredBeforeUse guards against an endpoint that is taken for gone
// because another one answers at the address which the table has from long ago: a
// task must not start at an address that the next owner does not know.
func TestNewAddressIsStoredBeforeUse(t *testing.T) {
	c := newCell(t, 1)
	moved := c.listing("e000")
	moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
	c.planner.UpdateListing(moved, c.now)
	c.accept(c.job("a", simpleStep(1)))
	c.advance(100 * time.Millisecond)
	c.plan()
	c.expectNoLease("at an address that the table does not have")
	c.planner.EndpointsStored([]definer.Listing{c.listing("e000")}, nil)
	c.advance(100 * time.Millisecond)
	c.plan()
	if len(c.started) != 0 {
		t.Error("run started at an address that the table does not have")
	}
	c.planner.EndpointsStored(c.planner.ChangedEndpoints())
	c.advance(100 * time.Millisecond)
	c.plan()
	if len(c.started) != 1 || c.started[0].Target.Address != moved.Address {
		t.Errorf("starts %+v once the new address is stored, want one there", c.started)
	}
}

// TestOtherEndpointAtOldAddress guards against an endpoint that is taken for gone
// because another one answers at the address that it had before it moved.
func TestOtherEndpointAtOldAddress(t *testing.T) {
	c := inheritedJob(t)
	c.listEndpoint("e000")
	c.listEndpoint("e001")
	moved, old := c.listing("e002"), c.listing("e002")
	moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
	c.planner.UpdateListing(moved, c.now)
	c.planner.EndpointReplaced(definer.Target{ID: "e002", Address: old.Address}, c.now)
	c.advance(100*time.Millisecond, "e002")
	c.plan()
	if len(c.started) != 0 {
		t.Error("run started before the endpoint was asked at its own address")
	}
	c.running["e002"] = []definer.RunningTask{{Task: definer.TaskName{Job: "a"}, Run: 1}}
	c.advance(100 * time.Millisecond)
	c.plan()
	if len(c.started)+len(c.stopped) != 0 {
		t.Errorf("%d starts and %d stops of a task that runs at the endpoint's new address", len(c.started), len(c.stopped))
	}
}

// TestMajorityBeginsWithAnswer guards against a waiting time that begins before the
// owner was suspended, while the majority came about afterwards.
func TestMajorityBeginsWithAnswer(t *testing.T) {
	c := inheritedJob(t)
	c.listEndpoint("e000")
	c.planner.UpdateListing(c.listing("e001"), c.now)
	c.planner.Tick(c.now, c.wall)
	c.now, c.wall = c.now.Add(5*time.Second), c.wall.Add(5*time.Second)
	c.planner.EndpointReplaced(c.planner.endpoints["e001"].target(), c.now)
	c.storeEndpoints()
	delete(c.born, "e001")
	delete(c.born, "e002")
	c.listEndpoint("new1")
	c.listEndpoint("new2")
	c.silentFor(testSettings.Freshness + testSettings.LeaseBound() - 200*time.Millisecond)
	if len(c.started) != 0 {
		t.Error("run started although the majority has not lasted for the freshness limit and a lease")
	}
	c.silentFor(time.Second)
	if len(c.started) != 1 {
		t.Errorf("%d starts once all leases have expired, want 1", len(c.started))
	}
}

// TestEndsOfNewLifeAreNotAcknowledgedUnseen guards against an end that an endpoint
// forgets before anybody has seen it: a new life numbers its ends anew, so the
// number that the earlier life was told covers them.
func TestEndsOfNewLifeAreNotAcknowledgedUnseen(t *testing.T) {
	c := newCell(t, 1)
	first := c.startOne()
	c.endRun("e000", first.Order.Task, first.Order.Run, definer.EndFailed)
	c.storeProgress()
	if _, order, _ := c.planner.RenewOrder("e000", c.now); order.Acknowledged != 1 {
		t.Errorf("ends acknowledged up to %d, want 1, which is stored and was listed last", order.Acknowledged)
	}
	c.planner.RenewalFailed("e000")
	if _, order, _ := c.planner.RenewOrder("e000", c.now); order.Acknowledged != 0 {
		t.Errorf("ends acknowledged up to %d after a renewal without an answer, when the process may be another one", order.Acknowledged)
	}
	c.advance(100 * time.Millisecond)
	if _, order, _ := c.planner.RenewOrder("e000", c.now); order.Acknowledged != 0 {
		t.Errorf("ends acknowledged up to %d although the last report listed none", order.Acknowledged)
	}
}

// TestLeaseBeforeRestartIsKnownMayBeLonger guards against a run that is taken for
// over while it lasts: a start that reached the new life before the owner knew of
// the restart got the longest lease, because its end lies far ahead of the new clock.
func TestLeaseBeforeRestartIsKnownMayBeLonger(t *testing.T) {
	c := newCell(t, 3)
	c.planner.settings.MaxLease = 10 * time.Second
	first := c.startOne()
	c.born[first.Target.ID] = 2
	c.report(first.Target.ID)
	c.silentFor(10*time.Second, first.Target.ID)
	if len(c.started) != 0 {
		t.Errorf("run %d started within the longest lease of the run before it", c.started[0].Order.Run)
	}
	c.silentFor(time.Second, first.Target.ID)
	if len(c.started) != 1 {
		t.Errorf("%d starts after the longest lease, want 1", len(c.started))
	}
}

// TestTakeoverMajorityIsHeldAtOnce guards against a waiting time that begins with
// endpoints that accept the term one after the other: one that restarts in between
// obeys the previous owner again.
func TestTakeoverMajorityIsHeldAtOnce(t *testing.T) {
	c := inheritedJob(t)
	for _, id := range []string{"e000", "e001", "e002"} {
		c.planner.UpdateListing(c.listing(id), c.now)
	}
	c.report("e000")
	c.silentFor(testSettings.Freshness+time.Second, "e000", "e001", "e002")
	c.report("e001")
	c.silentFor(testSettings.Freshness+testSettings.LeaseBound()+time.Second, "e000", "e001", "e002")
	for n := range 3 {
		c.listEndpoint(fmt.Sprintf("new%d", n))
	}
	c.listEndpoint("e000")
	c.listEndpoint("e001")
	c.silentFor(time.Second, "e002")
	if len(c.started) != 0 {
		t.Errorf("run %d started although no majority was held for the time of a lease", c.started[0].Order.Run)
	}
}

// TestTableIsNotChangedBeforeMajority guards against two later owners that count
// different endpoints: an owner without the majority of the inherited ones must not
// add or remove any.
func TestTableIsNotChangedBeforeMajority(t *testing.T) {
	c := inheritedJob(t)
	c.listEndpoint("e000")
	c.born["new1"] = 1
	c.planner.UpdateListing(c.listing("new1"), c.now)
	c.report("new1")
	c.planner.Tick(c.now, c.wall)
	if stored, removed := c.planner.ChangedEndpoints(); c.planner.HasChangedEndpoints() || len(stored)+len(removed) != 0 {
		t.Errorf("%d endpoints stored and %d removed by an owner that holds one of three inherited endpoints", len(stored), len(removed))
	}
	c.listEndpoint("e001")
	c.planner.Tick(c.now, c.wall)
	if stored, _ := c.planner.ChangedEndpoints(); len(stored) != 1 {
		t.Errorf("%d endpoints stored with the majority, want 1", len(stored))
	}
}

// expectStartOnceStored accepts a job that only the endpoint with the label may run,
// and expects its start when the pending changes of the table are stored.
func (c *testCell) expectStartOnceStored(label, reason string) {
	c.Helper()
	step := simpleStep(1)
	step.Requires = label
	c.accept(c.job("a", step))
	c.planner.Tick(c.now, c.wall)
	c.plan()
	if len(c.started) != 0 {
		c.Errorf("run started %s", reason)
	}
	c.storeEndpoints()
	c.advance(100 * time.Millisecond)
	c.plan()
	if len(c.started) != 1 {
		c.Errorf("%d starts once the table is up to date, want 1", len(c.started))
	}
}

// TestEndpointIsStoredBeforeUse guards against runs on an endpoint that the next
// owner does not ask, because the table does not name it.
func TestEndpointIsStoredBeforeUse(t *testing.T) {
	c := newCell(t, 3)
	c.storeEndpoints()
	c.born["new9"] = 1
	c.planner.UpdateListing(c.listing("new9"), c.now)
	c.report("new9")
	c.expectStartOnceStored("r1-9", "on an endpoint that the table does not name")
}

// TestMovedEndpointIsStoredBeforeUse is the same with the address of an endpoint.
func TestMovedEndpointIsStoredBeforeUse(t *testing.T) {
	c := newCell(t, 3)
	c.storeEndpoints()
	moved := c.listing("e000")
	moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
	c.planner.UpdateListing(moved, c.now)
	c.expectStartOnceStored("r1-0", "at an address that the table does not have")
}

// TestSilentEndpointGetsNoLease guards against a lease that never expires: the owner
// waits for the end of the lease of an endpoint that does not answer.
func TestSilentEndpointGetsNoLease(t *testing.T) {
	c := newCell(t, 3)
	c.silentFor(testSettings.Freshness, "e000")
	c.expectNoLease("although the endpoint has not answered within the freshness limit")
}

// TestMissingEndpointIsWaitedFor guards against a wait that is cut short by endpoints
// that count as gone: they are not listed and do not answer, but may still run tasks.
func TestMissingEndpointIsWaitedFor(t *testing.T) {
	c := inheritedJob(t)
	delete(c.born, "e001")
	delete(c.born, "e002")
	c.listEndpoint("e000")
	c.storeFor(listReturn + 2*testSettings.Freshness + testSettings.LeaseBound() - time.Second)
	if len(c.started) != 0 {
		t.Errorf("run %d started before the leases of the missing endpoints had expired", c.started[0].Order.Run)
	}
	c.storeFor(2 * time.Second)
	if len(c.started) != 1 {
		t.Errorf("%d starts after the leases of the missing endpoints, want 1", len(c.started))
	}
}

// TestExpiredRunIsRepeatedAfterAppend guards against a start after an acknowledged
// end: while an owner is cut off with a majority, a newer one may keep the lease of
// a silent endpoint alive and acknowledge the end of a run there.
func TestExpiredRunIsRepeatedAfterAppend(t *testing.T) {
	c := newCell(t, 3)
	first := c.startOne()
	for elapsed := time.Duration(0); elapsed < testSettings.Freshness+testSettings.LeaseBound()+time.Second; elapsed += 100 * time.Millisecond {
		c.now, c.wall = c.now.Add(100*time.Millisecond), c.wall.Add(100*time.Millisecond)
		for id := range c.born {
			if id != first.Target.ID {
				c.report(id)
			}
		}
		c.planner.Tick(c.now, c.wall)
		c.plan()
	}
	if len(c.started) != 0 {
		t.Errorf("run %d started by an owner that has not appended since the lease of the run before it expired", c.started[0].Order.Run)
	}
	c.advance(100*time.Millisecond, first.Target.ID)
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts after an append, want 1", len(c.started))
	}
}

// TestTakeoverIsSettledByAppend is the same for the runs of a previous owner.
func TestTakeoverIsSettledByAppend(t *testing.T) {
	c := inheritedJob(t)
	for elapsed := time.Duration(0); elapsed < testSettings.Freshness+testSettings.LeaseBound()+time.Second; elapsed += 100 * time.Millisecond {
		c.now, c.wall = c.now.Add(100*time.Millisecond), c.wall.Add(100*time.Millisecond)
		c.listEndpoint("e000")
		c.listEndpoint("e001")
		c.planner.Tick(c.now, c.wall)
		c.plan()
	}
	if len(c.started) != 0 {
		t.Errorf("run %d started by an owner that has not appended since the leases of the previous one expired", c.started[0].Order.Run)
	}
	c.storeProgress()
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts after an append, want 1", len(c.started))
	}
}
