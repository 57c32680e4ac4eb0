package admitter

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// BenchmarkAdmit measures the admission of a call with 390 teams in flight.
func BenchmarkAdmit(b *testing.B) {
	a := New()
	teams := make([]modeler.TeamID, 390)
	for i := range teams {
		teams[i] = modeler.TeamID(fmt.Sprintf("team-%d", i))
	}
	i := 0
	for b.Loop() {
		permit, err := a.Admit(Request{Service: "air-quality", Team: teams[i%len(teams)], Class: modeler.ClassUrgent, Timeout: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		permit.Done(nil)
		i++
	}
}
