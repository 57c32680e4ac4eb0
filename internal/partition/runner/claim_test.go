package runner

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestClaimEndpoints_KeepsThoseOfEarlierClaim guards against a takeover that goes
// by other endpoints than the earlier owner, so that the majorities of both need
// not have one in common.
func TestClaimEndpoints_KeepsThoseOfEarlierClaim(t *testing.T) {
	at := func(id modeler.InstanceID, port string) modeler.Instance {
		return modeler.Instance{ID: id, Address: netip.MustParseAddrPort("127.0.0.1:" + port)}
	}
	listed := []modeler.Instance{at("b", "3"), at("new", "4")}
	got := claimEndpoints(listed, []modeler.Instance{at("a", "1"), at("b", "2")})
	if diff := cmp.Diff([]modeler.Instance{at("a", "1"), at("b", "3")}, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("endpoints of the claim differ (-want +got):\n%s", diff)
	}
	if got := claimEndpoints(listed, nil); len(got) != len(listed) {
		t.Errorf("the first claim names %d endpoints, want the %d listed ones", len(got), len(listed))
	}
}
