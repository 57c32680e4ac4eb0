package burner_test

import (
	"errors"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/report/burner"
)

// TestTally guards against calls that are counted twice or lost at the boundary
// between fine and coarse buckets, and against counts of another team.
func TestTally(t *testing.T) {
	clock := now
	tally := burner.NewTally(func() time.Time { return clock })
	const minutes = 30 * 60
	for range minutes {
		tally.Observe("forecasts", "plumes", true)
		tally.Observe("health", "plumes", false)
		clock = clock.Add(time.Minute)
	}
	for offset := range 20 {
		var good, bad int64
		hour := 0
		for _, outcome := range tally.Outcomes("forecasts") {
			good, bad = good+outcome.Good, bad+outcome.Bad
			if age := clock.Sub(outcome.Time); age < 30*time.Minute {
				hour += int(outcome.Good)
			}
		}
		if good != minutes || bad != 0 {
			t.Fatalf("after %d minutes: %d good and %d bad, want %d and 0", offset, good, bad, minutes)
		}
		if want := 30 - offset; hour != want {
			t.Fatalf("after %d minutes: %d in half an hour, want %d", offset, hour, want)
		}
		clock = clock.Add(time.Minute)
	}
	clock = clock.Add(burner.Period)
	if got := tally.Outcomes("forecasts"); len(got) != 0 {
		t.Fatalf("got %d outcomes after the period", len(got))
	}
}

// TestTallyCall guards against refusals caused by the caller that use the budget, and
// against failed calls that do not.
func TestTallyCall(t *testing.T) {
	tally := burner.NewTally(func() time.Time { return now })
	queue := document().Queues[1]
	for _, err := range []error{
		nil, modeler.NotRun(modeler.CodeOverload, time.Second, ""), modeler.NotRun(modeler.CodeBadRequest, 0, ""), errors.New("lost"),
	} {
		tally.Call("health", queue, queue.Objective.Wait, err)
		tally.Call("health", document().Queues[2], 0, err)
	}
	tally.Call("health", queue, queue.Objective.Wait+1, nil)
	got := tally.Outcomes("health")
	if len(got) != 1 || got[0].Good != 1 || got[0].Bad != 3 {
		t.Errorf("got %+v, want 1 good and 3 bad", got)
	}
}
