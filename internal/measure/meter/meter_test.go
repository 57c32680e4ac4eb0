package meter

import (
	"strings"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

// TestRun guards against a measurement that fails, places no work, ignores
// violated assertions, or omits a policy from the table.
func TestRun(t *testing.T) {
	short := generator.SixTeams(3)
	short.Length = time.Hour
	report, err := Run(t.Context(), Options{Seed: 1, Deployments: []generator.Deployment{short}})
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	if err := report.WriteTable(&text); err != nil {
		t.Fatal(err)
	}
	for _, result := range report.Deployments[0].Results {
		if result.Violations != 0 || result.Cost.Placements < 100 || result.Work[generator.GroupUrgent].Jobs == 0 || result.Packing <= 0 {
			t.Errorf("%s: %+v", result.Policy, result)
		}
		if !strings.Contains(text.String(), result.Policy) {
			t.Errorf("%s is missing from the table", result.Policy)
		}
	}
}

// TestRun_Repeatable guards against results that differ between runs with the
// same seed.
func TestRun_Repeatable(t *testing.T) {
	waits := make([]Work, 0, 2)
	for range 2 {
		short := generator.Forecast(7)
		short.Length = time.Hour
		report, err := Run(t.Context(), Options{Deployments: []generator.Deployment{short}, Policies: Policies()[:1]})
		if err != nil {
			t.Fatal(err)
		}
		waits = append(waits, report.Deployments[0].Results[0].Work[generator.GroupBatch])
	}
	if waits[0] != waits[1] {
		t.Errorf("same seed, different results: %+v and %+v", waits[0], waits[1])
	}
}
