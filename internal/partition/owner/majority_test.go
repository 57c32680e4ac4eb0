package owner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestTakeover_MajorityIsHeldAtOnce guards against a new owner that adds up
// endpoints which accepted its term one after the other. One that has restarted
// since has forgotten the term, so the earlier owner may still have its majority
// and renew the lease of a task that the new owner takes for expired.
func TestTakeover_MajorityIsHeldAtOnce(t *testing.T) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.answer("e000", "e001")
	h.advance(time.Second)
	h.answer("e002")
	h.advance(2 * time.Second)
	h.answer()
	h.advance(15 * time.Second)
	if !h.holdsTask() {
		t.Fatal("the task lapsed although the owner never held a majority")
	}
	h.answer("e000", "e001", "e002")
	h.advance(takeoverWait + TaskLeaseTTL)
	if !h.holdsTask() || !h.core.ready() {
		t.Fatalf("holds the task %t, ready %t before the lease has ended", h.holdsTask(), h.core.ready())
	}
	h.advance(leaseMargin + time.Second)
	if h.holdsTask() {
		t.Error("the task did not lapse after its lease had ended")
	}
}

// TestTakeover_MajorityOfClaimedEndpoints guards against two owners that count
// their majorities over different sets of endpoints: the list of the new owner
// lacks endpoints of which the earlier owner still holds a majority.
func TestTakeover_MajorityOfClaimedEndpoints(t *testing.T) {
	claimed := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(claimed, []modeler.InstanceID{"e002", "e003"})
	h.answer("e002", "e003")
	h.advance(15 * time.Second)
	if h.core.ready() || !h.holdsTask() {
		t.Errorf("with two of the five claimed endpoints: ready %t, holds the task %t", h.core.ready(), h.holdsTask())
	}
	h.answer("e001", "e002", "e003")
	h.advance(time.Second)
	if !h.core.ready() || !h.holdsTask() {
		t.Errorf("with three of the five claimed endpoints: ready %t, holds the task %t", h.core.ready(), h.holdsTask())
	}
}

// TestReady_ListShrinks guards against an owner that regains its majority because
// the list no longer has the endpoints that it lost: a successor may hold them.
// It also guards against a partition that stands still for good after it has lost
// most of its endpoints.
func TestReady_ListShrinks(t *testing.T) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.answer(all...)
	h.advance(time.Second)
	h.answer("e000", "e001")
	h.list("e000", "e001")
	h.advance(unlistedTTL)
	if h.core.ready() || h.superseded == 0 {
		t.Errorf("with two of the five claimed endpoints: ready %t, superseded %d times", h.core.ready(), h.superseded)
	}
	h.advance(time.Second)
	if !h.core.ready() {
		t.Error("not ready although the other endpoints count as removed")
	}
}

// TestReady_EarlierClaimCounts guards against an owner that goes by the endpoints
// of its new claim alone while a successor of the earlier claim, which has not
// read the new one, can still get a majority of the earlier endpoints.
func TestReady_EarlierClaimCounts(t *testing.T) {
	earlier := []modeler.InstanceID{"e000", "e001", "e004"}
	added := []modeler.InstanceID{"f000", "f001", "f002", "f003"}
	h := newTakeover(earlier, earlier)
	h.answer(append(added, earlier...)...)
	h.list(append(added, earlier...)...)
	h.advance(time.Second)
	h.core.nextRoster()
	h.answer(append(added, "e000")...)
	h.send(TermMsg{Term: modeler.NewTerm(3, 0), Seq: 1})
	h.advance(2 * time.Second)
	if h.core.ready() {
		t.Error("ready with one of the three endpoints of the earlier claim, which has not been replaced")
	}
	h.answer(append(added, "e000", "e001")...)
	h.advance(2 * time.Second)
	h.answer(append(added, "e000")...)
	h.advance(2 * time.Second)
	if !h.core.ready() {
		t.Error("not ready with a majority of the claim that a majority of the earlier one has seen")
	}
}

// TestLease_LateRenewals guards against a lease that the owner takes for expired
// while renewals that it had given up on have reached the endpoint late, each one
// within the session that the one before it had prolonged.
func TestLease_LateRenewals(t *testing.T) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.answer(all...)
	h.advance(2 * time.Second)
	h.late = true
	h.answer("e000", "e001", "e002", "e003")
	h.advance(2 * time.Second)
	h.advance(h.renewedAt.Add(TaskLeaseTTL).Sub(h.now))
	if !h.holdsTask() {
		t.Error("the task lapsed before its lease at the endpoint had ended")
	}
	h.advance(3 * time.Second)
	if h.holdsTask() {
		t.Error("the task did not lapse after its lease had ended")
	}
}

// fiveEndpoints returns a new owner of five endpoints that has held all of them
// for longer than displacedWindow.
func fiveEndpoints() (*takeover, []modeler.InstanceID) {
	all := []modeler.InstanceID{"e000", "e001", "e002", "e003", "e004"}
	h := newTakeover(all, all)
	h.answer(all...)
	h.advance(2 * displacedWindow)

	return h, all
}

// TestRenew_NeedsMajority guards against an owner that goes on renewing leases
// after it has lost its majority.
func TestRenew_NeedsMajority(t *testing.T) {
	h, _ := fiveEndpoints()
	h.answer("e000")
	h.advance(MaxRenewalAge + SessionTTL + time.Second)
	before := h.renewals["e000"]
	h.advance(5 * time.Second)
	if sent := h.renewals["e000"] - before; sent > 0 {
		t.Errorf("%d renewals without a majority", sent)
	}
}

// TestDisplaced_SessionGaps guards against an owner that keeps the partition after
// another one has held a majority of its endpoints for a moment, which shows only
// in sessions that ended early or whose numbers have a gap.
func TestDisplaced_SessionGaps(t *testing.T) {
	for name, displace := range map[string]func(*takeover, modeler.InstanceID){
		"session ended": func(h *takeover, id modeler.InstanceID) { h.expired[id] = true },
		"gap": func(h *takeover, id modeler.InstanceID) {
			h.sessions[id]++
			h.core.endpoints[id].needsSession = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, all := fiveEndpoints()
			for i, id := range all[:3] {
				if h.superseded > 0 {
					t.Fatalf("gave up the partition with %d of 5 endpoints displaced", i)
				}
				displace(h, id)
				h.advance(500 * time.Millisecond)
			}
			if h.superseded == 0 {
				t.Error("kept the partition with 3 of 5 endpoints displaced")
			}
		})
	}
}

// TestLaterTerm_IsHeeded guards against an owner that ignores endpoints which have
// seen a later term.
func TestLaterTerm_IsHeeded(t *testing.T) {
	h, all := fiveEndpoints()
	h.stale["e000"], h.expired["e000"] = true, true
	h.advance(5 * time.Second)
	if h.laterTerms == 0 || h.superseded > 0 {
		t.Errorf("one endpoint of five: %d claims, superseded %d times", h.laterTerms, h.superseded)
	}
	h = newTakeover(all, all)
	h.answer(all...)
	for _, id := range all {
		h.stale[id] = true
	}
	h.advance(time.Second)
	if h.superseded == 0 {
		t.Error("a new owner that every endpoint refuses keeps the partition")
	}
}

// TestRoster_KeepsUnlistedEndpoint guards against a claim without an endpoint that
// still runs work although it is no longer listed.
func TestRoster_KeepsUnlistedEndpoint(t *testing.T) {
	h, all := fiveEndpoints()
	h.list(all[:4]...)
	h.advance(time.Second)
	if named := h.core.nextRoster(); len(named) != len(all) {
		t.Errorf("the claim names %d endpoints, want %d", len(named), len(all))
	}
}

// TestLease_RenewalUnderWay guards against a lease that the owner takes for expired
// while it does not know the result of a renewal, as after a pause.
func TestLease_RenewalUnderWay(t *testing.T) {
	h, all := fiveEndpoints()
	h.late, h.lateBy = true, time.Minute
	h.answer(all[:4]...)
	h.advance(30 * time.Second)
	if !h.holdsTask() {
		t.Error("the task lapsed while a renewal was under way")
	}
}
