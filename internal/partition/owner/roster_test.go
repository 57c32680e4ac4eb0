package owner

import (
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestRoster_GuardsNewEndpoints guards against work on an endpoint that is in
// no claim: a later owner whose list of instances lags would not know of it and
// start the work again.
func TestRoster_GuardsNewEndpoints(t *testing.T) {
	b := newBench(t, idle{}, 2, 0)
	b.pass(time.Second)
	late := modeler.Instance{ID: "late", Kind: modeler.KindWorker, Region: "costa", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	listed := make([]modeler.Instance, 0, 1+len(b.core.endpoints))
	listed = append(listed, late)
	for _, e := range b.core.endpoints {
		listed = append(listed, e.instance)
	}
	b.send(EndpointsMsg{Instances: listed})
	b.pass(3 * time.Second)
	if e := b.core.endpoints["late"]; e.state != endpointOpen || e.usable(b.now) {
		t.Fatalf("endpoint without a claim: state %s, usable %t", e.state, e.usable(b.now))
	}
	b.core.nextRoster()
	b.send(TermMsg{Term: modeler.NewTerm(2, 0), Seq: 1})
	b.pass(3 * time.Second)
	if e := b.core.endpoints["late"]; !e.usable(b.now) {
		t.Fatalf("endpoint of the claim in force is not usable: admitted %t, enrolled %s", e.admitted, e.enrolled)
	}
}
