package reporter_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/report/reporter"
)

var now = time.Date(2026, 8, 7, 6, 0, 0, 0, time.UTC)

// TestMeasures guards against loads of a former owner that count in addition to those
// of its successor, idle teams that distort the shares, and waits that are measured
// from a wrong record.
func TestMeasures(t *testing.T) {
	doc := modeler.Document{Teams: []modeler.Team{{Name: "a", Share: 3}, {Name: "b", Share: 1}, {Name: "idle", Share: 96}}}
	whole := modeler.Resources{Millis: 16000, Memory: 64 << 30, Slots: 8}
	state := reporter.State{
		Config: 7,
		Loads: []modeler.Load{{
			Partition: "costa-1", Term: modeler.NewTerm(3, 0), Capacity: whole, Free: modeler.Resources{Memory: 32 << 30, Slots: 8},
			Queued: 4, Usage: map[modeler.TeamID]modeler.Resources{"a": {Millis: 16000, Memory: 32 << 30}},
		}},
		Peers: []modeler.Peer{{Loads: []modeler.Load{
			{Partition: "costa-1", Term: modeler.NewTerm(2, 1), Capacity: whole, Free: whole},
			{Partition: "sierra-1", Term: modeler.NewTerm(1, 0), Capacity: whole, Free: modeler.Resources{Memory: 48 << 30, Slots: 4},
				Usage: map[modeler.TeamID]modeler.Resources{"b": {Millis: 16000, Memory: 16 << 30, Slots: 4}}},
		}}},
	}
	at := func(job modeler.JobID, event modeler.Event, age time.Duration) modeler.Record {
		return modeler.Record{Team: "a", Queue: "plumes", Job: job, Event: event, Time: now.Add(-age)}
	}
	waits := reporter.Waits([]modeler.Record{
		at("1", modeler.EventAdmitted, 9*time.Second), at("1", modeler.EventStarted, 7*time.Second),
		at("1", modeler.EventStarted, time.Second),
		at("2", modeler.EventAdmitted, 9*time.Second), at("2", modeler.EventStarted, 8500*time.Millisecond),
		at("3", modeler.EventAdmitted, 5*time.Second),
		at("4", modeler.EventAdmitted, 9*time.Second), at("4", modeler.EventCancelled, 5*time.Second),
		at("5", modeler.EventStarted, 5*time.Second),
	})
	var before, after reporter.Vars
	before.Process, after.Process = &reporter.ProcessUsage{CPU: 2}, &reporter.ProcessUsage{CPU: 2.25}
	after.Memstats.TotalAlloc, after.Memstats.HeapInuse, after.Memstats.Sys = 2<<20, 8<<20, 20<<20
	costs := []reporter.Cost{
		reporter.CostOf("entry-1", before, after, 2*time.Second),
		reporter.CostOf("entry-2", reporter.Vars{}, reporter.Vars{}, 2*time.Second),
		{Instance: "entry-3", Error: "connection refused"},
	}
	measures := reporter.Compute(doc, state, waits, costs, now)
	var text bytes.Buffer
	if err := measures.Text(&text); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "text", text.Bytes())
	goldie.New(t).AssertJson(t, "measures", measures)
}

// TestMeasureProcess guards against a process usage that stays at zero.
func TestMeasureProcess(t *testing.T) {
	for deadline := time.Now().Add(5 * time.Second); reporter.MeasureProcess().CPU == 0; {
		if time.Now().After(deadline) {
			t.Fatal("no processor time")
		}
	}
	if reporter.MeasureProcess().Resident < 1<<20 {
		t.Errorf("resident memory %d", reporter.MeasureProcess().Resident)
	}
}
