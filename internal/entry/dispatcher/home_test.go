package dispatcher

import (
	"context"
	"fmt"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// newFakeCellWithServiceLists returns a cell whose partitions list different services.
func newFakeCellWithServiceLists() *fakeCell {
	workers, recalls, alerts := costa, costa2, selva
	workers.Services, recalls.Services, alerts.Services = []string{}, []string{"recall"}, []string{"alert", "recall"}
	c := newFakeCell(workers, recalls, alerts)
	c.doc.Services = []modeler.Service{{Name: "recall"}, {Name: "alert"}, {Name: "lookup", Idempotent: true}}

	return c
}

// TestHomeOfCall_Listed guards against sending a non-idempotent call to a
// partition without executors for its service, which would always refuse it.
func TestHomeOfCall_Listed(t *testing.T) {
	c, homes := newFakeCellWithServiceLists(), map[modeler.InstanceID]int{}
	for n := range 100 {
		msg := modeler.CallMsg{Team: "t", Service: "recall", Request: modeler.RequestID(fmt.Sprint("r", n))}
		reply, err := c.dispatcher().Call(context.Background(), msg)
		if err != nil {
			t.Fatal(err)
		}
		homes[reply.Endpoint]++
		msg.Service = "alert"
		if reply, err := c.dispatcher().Call(context.Background(), msg); err != nil || reply.Endpoint != "i-selva-1" {
			t.Fatalf("alert: got %v, %v", reply, err)
		}
	}
	if len(homes) != 2 || homes["i-costa-2"] < 30 || homes["i-selva-1"] < 30 {
		t.Errorf("homes of recall: %v", homes)
	}
	if before, after := Home(c.doc.Partitions, "t", "r"), HomeOfCall([]modeler.Partition{costa, costa2, selva}, "recall", "t", "r"); before != after {
		t.Errorf("without lists the home moved from %s to %s", before, after)
	}
}

// TestResolve_EveryHome guards against the outcome "not run" for a request that
// ran in the home of another service, and for a request that one of its possible
// homes gave no answer about.
func TestResolve_EveryHome(t *testing.T) {
	request := modeler.RequestID("r0")
	for n := 0; HomeOfCall(newFakeCellWithServiceLists().doc.Partitions, "recall", "t", request) != "costa-2"; n++ {
		request = modeler.RequestID(fmt.Sprint("r", n))
	}
	for _, test := range []struct {
		recalls, alerts, want modeler.Outcome
	}{
		{modeler.OutcomeNotRun, modeler.OutcomeNotRun, modeler.OutcomeNotRun},
		{modeler.OutcomeNotRun, modeler.OutcomeRan, modeler.OutcomeRan},
		{modeler.OutcomeRan, modeler.OutcomeNotRun, modeler.OutcomeRan},
		{modeler.OutcomeUnknown, modeler.OutcomeNotRun, modeler.OutcomeUnknown},
		{modeler.OutcomeNotRun, modeler.OutcomeUnknown, modeler.OutcomeUnknown},
	} {
		c := newFakeCellWithServiceLists()
		c.outcomes = map[modeler.InstanceID]modeler.Outcome{"i-costa-2": test.recalls, "i-selva-1": test.alerts}
		reply, err := c.dispatcher().Resolve(context.Background(), "t", request)
		if err != nil || reply.Outcome != test.want {
			t.Errorf("%s and %s: got %v, %v", test.recalls, test.alerts, reply, err)
		}
	}
	c := newFakeCellWithServiceLists()
	c.outcomes = map[modeler.InstanceID]modeler.Outcome{"i-costa-2": modeler.OutcomeNotRun, "i-selva-1": modeler.OutcomeNotRun}
	c.answers["i-costa-2"] = []error{modeler.Unknown(modeler.CodeInternal, 0, "no answer")}
	if reply, err := c.dispatcher().Resolve(context.Background(), "t", request); err == nil {
		t.Errorf("one home gave no answer: got %v", reply)
	}
}
