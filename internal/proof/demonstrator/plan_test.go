package demonstrator

import (
	"slices"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestReadPlan guards against a demo that works with one of the examples only.
func TestReadPlan(t *testing.T) {
	wanted := map[string]struct {
		regions                         []string
		idempotent, nonIdempotent, open string
		urgent, batch, gang, withdrawn  modeler.QueueID
	}{
		"humo-andino": {
			[]string{"costa", "sierra", "selva"}, "air-quality", "health-alert", "air-quality-public",
			"plumes", "reanalyses", "ensembles", "plumes",
		},
		"brine-ledger": {
			[]string{"sask", "alta", "mb"}, "label-check", "recall-notice", "certificate",
			"screenings", "certifications", "models", "certifications",
		},
	}
	for name, want := range wanted {
		p, err := readPlan("../../../examples/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(p.regions, want.regions) {
			t.Errorf("%s: regions %v, want %v", name, p.regions, want.regions)
		}
		if p.idempotent.Name != want.idempotent || p.nonIdempotent.Name != want.nonIdempotent || p.open.Name != want.open {
			t.Errorf("%s: services %v, %v, %v", name, p.idempotent, p.nonIdempotent, p.open)
		}
		queues := []modeler.QueueID{p.urgent.queue, p.batch.queue, p.gang.queue, p.withdrawn.queue}
		if !slices.Equal(queues, []modeler.QueueID{want.urgent, want.batch, want.gang, want.withdrawn}) {
			t.Errorf("%s: queues %v", name, queues)
		}
	}
}

// TestNewPlan_Incomplete guards against a demo that silently omits a kind of
// work.
func TestNewPlan_Incomplete(t *testing.T) {
	if _, err := newPlan(modeler.Document{}, nil); err == nil {
		t.Error("an empty deployment has a plan")
	}
}
