package meter

import (
	"context"
	"os"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// TestRun guards against a measurement that fails, places nothing, or passes
// over violated assertions.
func TestRun(t *testing.T) {
	report, err := Run(context.Background(), Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range report.Deployments {
		for _, result := range section.Results {
			if result.Violations != 0 || result.Cost.Placements < 1000 || result.Work[generator.GroupUrgent].Jobs == 0 {
				t.Errorf("%s, %s: %+v", section.Deployment, result.Policy, result)
			}
		}
	}
	if err := report.Table(os.Stdout); err != nil {
		t.Fatal(err)
	}
}
