package owner

import (
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestRoster_NewEndpointNeedsClaim guards against work on an endpoint that no
// claim names: a later owner whose list of instances lags would not know of the
// endpoint and would start the work again.
func TestRoster_NewEndpointNeedsClaim(t *testing.T) {
	h := newHarness(t, noopScheduler{}, 2, 0)
	h.advance(time.Second)
	late := modeler.Instance{ID: "late", Kind: modeler.KindWorker, Region: "costa", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	listed := make([]modeler.Instance, 0, 1+len(h.core.endpoints))
	listed = append(listed, late)
	for _, e := range h.core.endpoints {
		listed = append(listed, e.instance)
	}
	h.send(EndpointsMsg{Instances: listed})
	h.advance(3 * time.Second)
	if e := h.core.endpoints["late"]; e.state != endpointOpen || e.usable(h.now) {
		t.Fatalf("endpoint without a claim: state %s, usable %t", e.state, e.usable(h.now))
	}
	h.core.nextRoster()
	h.send(TermMsg{Term: modeler.NewTerm(2, 0), Seq: 1})
	h.advance(3 * time.Second)
	if e := h.core.endpoints["late"]; !e.usable(h.now) {
		t.Fatalf("endpoint of the claim in force is not usable: admitted %t, term of its claim %s", e.admitted, e.claimTerm)
	}
}

// TestRoster_NewEndpointNeedsMajority guards against work on a new endpoint before
// a majority has seen the claim that names it: a successor of the earlier claim
// could take over without knowing of the endpoint.
func TestRoster_NewEndpointNeedsMajority(t *testing.T) {
	h := newHarness(t, noopScheduler{}, 3, 0)
	h.advance(time.Second)
	late := modeler.Instance{ID: "late", Kind: modeler.KindWorker, Region: "costa", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	listed := append(make([]modeler.Instance, 0, 1+len(h.core.endpoints)), late)
	for _, e := range h.core.endpoints {
		listed = append(listed, e.instance)
	}
	h.send(EndpointsMsg{Instances: listed})
	h.advance(time.Second)
	h.core.nextRoster()
	h.core.Update(TermMsg{Term: modeler.NewTerm(2, 0), Seq: 1}, h.now)
	// The endpoints have not answered the hello of the new term yet.
	h.core.Update(TickMsg{}, h.now)
	if e := h.core.endpoints["late"]; e.state != endpointOpen || e.usable(h.now) {
		t.Errorf("endpoint whose claim no majority has seen: state %s, usable %t", e.state, e.usable(h.now))
	}
}

// TestRoster_RelistedEndpointNeedsClaim guards against work on an endpoint that
// was listed again while a claim that no longer names it was on its way to the
// log: a later owner would not ask that endpoint.
func TestRoster_RelistedEndpointNeedsClaim(t *testing.T) {
	h := newHarness(t, noopScheduler{}, 3, 0)
	h.advance(time.Second)
	var all []modeler.Instance
	for _, e := range ordered(h.core.endpoints) {
		all = append(all, e.instance)
	}
	h.send(EndpointsMsg{Instances: all[:2]})
	h.advance(100 * time.Millisecond)
	if named := h.core.nextRoster(); len(named) != 2 {
		t.Fatalf("the claim names %d endpoints, want the 2 that are listed", len(named))
	}
	h.send(EndpointsMsg{Instances: all})
	for _, step := range []string{"before the claim is read", "after it"} {
		h.advance(time.Second)
		if h.core.endpoints["e002"].usable(h.now) {
			t.Errorf("%s: an endpoint that it does not name is usable", step)
		}
		h.send(TermMsg{Term: modeler.NewTerm(2, 0), Seq: 1})
	}
	h.core.nextRoster()
	h.send(TermMsg{Term: modeler.NewTerm(3, 0), Seq: 1})
	h.advance(time.Second)
	if !h.core.endpoints["e002"].usable(h.now) {
		t.Error("the endpoint is not usable under a claim that names it")
	}
}
