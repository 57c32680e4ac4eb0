package burner_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/report/burner"
)

var now = time.Date(2026, 8, 7, 6, 0, 0, 0, time.UTC)

func document() modeler.Document {
	return modeler.Document{Queues: []modeler.Queue{
		{Name: "plumes", Objective: modeler.Objective{Wait: 2500 * time.Millisecond, Target: 0.99}},
		{Name: "alerts", Objective: modeler.Objective{Wait: time.Second, Target: 0.9}},
		{Name: "free"},
	}}
}

// outcome counts work at an age.
func outcome(queue modeler.QueueID, age time.Duration, good, bad int64) burner.Outcome {
	return burner.Outcome{Team: "forecasts", Queue: queue, Time: now.Add(-age), Good: good, Bad: bad}
}

// TestReport guards against burn rates that are counted over a wrong window or
// against a wrong budget, and against alerts that are raised after the loss
// has ended.
func TestReport(t *testing.T) {
	report := burner.Compute(document(), []burner.Outcome{
		outcome("plumes", time.Minute, 80, 20),
		outcome("plumes", 45*time.Minute, 80, 20),
		outcome("plumes", 5*time.Hour, 300, 0),
		outcome("plumes", 60*time.Hour, 4500, 0),
		outcome("plumes", 73*time.Hour, 0, 1000),
		outcome("plumes", -time.Second, 0, 1000),
		outcome("alerts", 40*time.Minute, 5, 5),
		outcome("alerts", 50*time.Hour, 990, 0),
		outcome("free", time.Minute, 0, 1),
	}, now)
	g := goldie.New(t)
	g.AssertJson(t, "report", report)
	var text, page bytes.Buffer
	if err := report.Text(&text); err != nil {
		t.Fatal(err)
	}
	g.Assert(t, "text", text.Bytes())
	report.Levels = report.Levels[1:]
	if err := report.HTML(&page); err != nil {
		t.Fatal(err)
	}
	g.Assert(t, "page", page.Bytes())
}

// record makes a record of the job at an age.
func record(job modeler.JobID, event modeler.Event, age time.Duration) modeler.Record {
	return modeler.Record{Team: "forecasts", Queue: "plumes", Job: job, Event: event, Time: now.Add(-age)}
}

// request makes a record of the request at an age.
func request(id modeler.RequestID, event modeler.Event, age time.Duration) modeler.Record {
	return modeler.Record{Team: "health", Queue: "alerts", Request: id, Event: event, Time: now.Add(-age)}
}

// TestFromRecordsOfRequests guards against requests that are taken for one
// another, and against an unknown outcome that counts as good.
func TestFromRecordsOfRequests(t *testing.T) {
	got := burner.FromRecords(document(), []modeler.Record{
		request("a", modeler.EventPlaced, 9*time.Second), request("b", modeler.EventPlaced, 9*time.Second),
		request("c", modeler.EventPlaced, 9*time.Second),
		request("a", modeler.EventFinished, 8500*time.Millisecond), request("b", modeler.EventUnknown, 8500*time.Millisecond),
		request("c", modeler.EventVoided, 8500*time.Millisecond),
	}, now)
	var good, bad int64
	for _, outcome := range got {
		good, bad = good+outcome.Good, bad+outcome.Bad
	}
	if good != 1 || bad != 1 {
		t.Errorf("%d good and %d bad requests, want 1 and 1: %+v", good, bad, got)
	}
}

// TestFromRecords guards against work that is counted twice, not at all or on
// the wrong side of its objective.
func TestFromRecords(t *testing.T) {
	refused := record("", modeler.EventRefused, 9*time.Second)
	refused.Cause = string(modeler.CodeOverload)
	excused := record("", modeler.EventRefused, 9*time.Second)
	excused.Cause = string(modeler.CodeNeverFits)
	got := burner.FromRecords(document(), []modeler.Record{
		record("good", modeler.EventStarted, 8*time.Second), record("good", modeler.EventAdmitted, 10*time.Second),
		record("good", modeler.EventStarted, 2*time.Second), record("good", modeler.EventFinished, time.Second),
		record("late", modeler.EventAdmitted, 10*time.Second), record("late", modeler.EventStarted, 7*time.Second),
		record("stuck", modeler.EventAdmitted, 10*time.Second),
		record("young", modeler.EventAdmitted, time.Second),
		record("cancelled", modeler.EventAdmitted, 10*time.Second), record("cancelled", modeler.EventCancelled, 9*time.Second),
		record("failed", modeler.EventAdmitted, 10*time.Second), record("failed", modeler.EventFailed, 9*time.Second),
		record("expired", modeler.EventStarted, 5*time.Second),
		refused, excused,
	}, now)
	want := []burner.Outcome{
		outcome("plumes", 8*time.Second, 1, 0),
		outcome("plumes", 7500*time.Millisecond, 0, 1),
		outcome("plumes", 7500*time.Millisecond, 0, 1),
		outcome("plumes", 9*time.Second, 0, 1),
		outcome("plumes", 9*time.Second, 0, 1),
	}
	sorted := cmpopts.SortSlices(func(a, b burner.Outcome) bool {
		return a.Time.Before(b.Time) || a.Time.Equal(b.Time) && a.Good > b.Good
	})
	if diff := cmp.Diff(want, got, sorted); diff != "" {
		t.Error(diff)
	}
}
