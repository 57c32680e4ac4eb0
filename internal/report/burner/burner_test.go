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

// outcome returns an outcome of the team forecasts with the given age.
func outcome(queue modeler.QueueID, age time.Duration, good, bad int64) burner.Outcome {
	return burner.Outcome{Team: "forecasts", Queue: queue, Time: now.Add(-age), Good: good, Bad: bad}
}

// TestReport guards against burn rates over a wrong window or budget, and against
// alerts that are raised after the loss has ended.
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

// jobRecord returns a record of a job with the given age.
func jobRecord(job modeler.JobID, event modeler.Event, age time.Duration) modeler.Record {
	return modeler.Record{Team: "forecasts", Queue: "plumes", Job: job, Event: event, Time: now.Add(-age)}
}

// requestRecord returns a record of a request with the given age.
func requestRecord(id modeler.RequestID, event modeler.Event, age time.Duration) modeler.Record {
	return modeler.Record{Team: "health", Queue: "alerts", Request: id, Event: event, Time: now.Add(-age)}
}

// TestFromRecordsOfRequests guards against records that are attributed to another
// request, and against an unknown outcome that counts as good.
func TestFromRecordsOfRequests(t *testing.T) {
	got := burner.FromRecords(document(), []modeler.Record{
		requestRecord("a", modeler.EventPlaced, 9*time.Second), requestRecord("b", modeler.EventPlaced, 9*time.Second),
		requestRecord("c", modeler.EventPlaced, 9*time.Second),
		requestRecord("a", modeler.EventFinished, 8500*time.Millisecond), requestRecord("b", modeler.EventUnknown, 8500*time.Millisecond),
		requestRecord("c", modeler.EventVoided, 8500*time.Millisecond),
	}, now)
	var good, bad int64
	for _, outcome := range got {
		good, bad = good+outcome.Good, bad+outcome.Bad
	}
	if good != 1 || bad != 1 {
		t.Errorf("%d good and %d bad requests, want 1 and 1: %+v", good, bad, got)
	}
}

// TestFromRecords guards against work that is counted twice, not at all, or as the
// opposite of its outcome.
func TestFromRecords(t *testing.T) {
	refused := jobRecord("", modeler.EventRefused, 9*time.Second)
	refused.Cause = string(modeler.CodeOverload)
	excused := jobRecord("", modeler.EventRefused, 9*time.Second)
	excused.Cause = string(modeler.CodeNeverFits)
	got := burner.FromRecords(document(), []modeler.Record{
		jobRecord("good", modeler.EventStarted, 8*time.Second), jobRecord("good", modeler.EventAdmitted, 10*time.Second),
		jobRecord("good", modeler.EventStarted, 2*time.Second), jobRecord("good", modeler.EventFinished, time.Second),
		jobRecord("late", modeler.EventAdmitted, 10*time.Second), jobRecord("late", modeler.EventStarted, 7*time.Second),
		jobRecord("stuck", modeler.EventAdmitted, 10*time.Second),
		jobRecord("young", modeler.EventAdmitted, time.Second),
		jobRecord("cancelled", modeler.EventAdmitted, 10*time.Second), jobRecord("cancelled", modeler.EventCancelled, 9*time.Second),
		jobRecord("failed", modeler.EventAdmitted, 10*time.Second), jobRecord("failed", modeler.EventFailed, 9*time.Second),
		jobRecord("expired", modeler.EventStarted, 5*time.Second),
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
