package demonstrator

import (
	"slices"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Guards against a demo that works with the names of one example only.
func TestReadPlan(t *testing.T) {
	wanted := map[string]struct {
		regions                    []string
		idempotent, once, open     string
		urgent, batch, gang, stale modeler.QueueID
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
		if p.idempotent.Name != want.idempotent || p.once.Name != want.once || p.open.Name != want.open {
			t.Errorf("%s: services %v, %v, %v", name, p.idempotent, p.once, p.open)
		}
		queues := []modeler.QueueID{p.urgent.queue, p.batch.queue, p.gang.queue, p.withdrawn.queue}
		if !slices.Equal(queues, []modeler.QueueID{want.urgent, want.batch, want.gang, want.stale}) {
			t.Errorf("%s: queues %v", name, queues)
		}
	}
}

// Guards against a demo that leaves out a kind of work without saying so.
func TestNewPlan_Incomplete(t *testing.T) {
	if _, err := newPlan(modeler.Document{}, nil); err == nil {
		t.Error("an empty deployment has a plan")
	}
}
