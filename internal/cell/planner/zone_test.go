package planner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// newZonedCell returns a cell with endpoints in turn in the zones "a", "b" and "c".
func newZonedCell(t *testing.T, endpoints int) *testCell {
	t.Helper()
	c := newCell(t, endpoints)
	for n := range endpoints {
		c.listInZone(fmt.Sprintf("e%03d", n), zoneOf(n))
	}

	return c
}

func zoneOf(number int) string { return string(rune('a' + number%3)) }

func (c *testCell) listInZone(id, zone string, labels ...string) {
	listing := c.listing(id)
	listing.Zone, listing.Labels = zone, append(listing.Labels, labels...)
	c.planner.UpdateListing(listing, c.now)
}

func (c *testCell) evacuate(zones ...string) { c.planner.EvacuateZones(zones, c.now) }

// zonesStarted returns the zones in which tasks were started since the last call, sorted.
func (c *testCell) zonesStarted() []string {
	zones := map[string]bool{}
	for _, start := range c.started {
		zones[start.Target.Zone] = true
	}
	c.started = nil

	return slices.Sorted(maps.Keys(zones))
}

// hasNote reports whether the planner has noted the event, with the argument if it is not nil.
func (c *testCell) hasNote(event string, arg any) bool {
	return slices.ContainsFunc(c.planner.Notes(), func(n Note) bool {
		return n.Event == event && (arg == nil || slices.Contains(n.Args, arg))
	})
}

// TestEvacuatedZoneGetsNothing guards against starts in an evacuated zone, against one that
// stays unused after it was taken back, and against a second zone that replaces the first.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	c := newZonedCell(t, 6)
	for i, test := range []struct {
		evacuated, used []string
	}{
		{nil, []string{"a", "b", "c"}},
		{[]string{"a"}, []string{"b", "c"}},
		{[]string{"", "a", "b"}, []string{"c"}},
		{[]string{"a", "b", "c"}, nil},
		{[]string{"b"}, []string{"a", "c"}},
		{[]string{"b", "unknown"}, []string{"a", "c"}},
		{nil, []string{"a", "b", "c"}},
	} {
		c.evacuate(test.evacuated...)
		id := fmt.Sprint("job", i)
		c.accept(c.job(id, simpleStep(24)))
		c.plan()
		if diff := cmp.Diff(test.used, c.zonesStarted()); diff != "" {
			t.Errorf("zones used while %q are evacuated (-want +got):\n%s", test.evacuated, diff)
		}
		c.planner.Cancel(id)
		for _, e := range c.planner.ordered {
			for _, r := range e.runs {
				c.planner.release(r)
			}
		}
		c.planner.readySteps = map[*step]struct{}{}
	}
}

// TestEndpointListedInEvacuatedZone guards against work on an endpoint that appears in an
// evacuated zone, or moves into one, and against an empty name that evacuates the endpoints
// without a zone.
func TestEndpointListedInEvacuatedZone(t *testing.T) {
	c := newZonedCell(t, 3)
	c.evacuate("", "a")
	c.listEndpoint("e100")
	c.listInZone("e100", "a")
	c.listEndpoint("e101")
	c.listInZone("e001", "a")
	c.accept(c.job("a", simpleStep(24)))
	c.plan()
	if diff := cmp.Diff([]string{"", "c"}, c.zonesStarted()); diff != "" {
		t.Errorf("zones used (-want +got):\n%s", diff)
	}
}

// TestUnansweredStartIsNotRepeatedInEvacuatedZone guards against a start that was sent before
// the evacuation, was refused after it, and is sent to the zone again.
func TestUnansweredStartIsNotRepeatedInEvacuatedZone(t *testing.T) {
	c := newZonedCell(t, 1)
	c.accept(c.job("a", simpleStep(1)))
	c.plan()
	sent := c.started
	if len(sent) != 1 {
		t.Fatalf("%d starts, want 1", len(sent))
	}
	c.started = nil
	c.evacuate("a")
	c.planner.StartAnswered(sent[0].Target.ID, sent[0].Order, definer.VerdictRefused, c.now)
	for range 20 {
		c.advance(500 * time.Millisecond)
		c.plan()
	}
	if len(c.started) != 0 {
		t.Fatalf("%d starts in the evacuated zone, want none", len(c.started))
	}
	c.evacuate()
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts in the round after the zone was taken back, want 1", len(c.started))
	}
}

// TestRunsInEvacuatedZone guards against ordinary runs that are stopped by an evacuation,
// long-running ones that stay, and a missing note when the last run has ended.
func TestRunsInEvacuatedZone(t *testing.T) {
	c := newZonedCell(t, 3)
	serving, ordinary := simpleStep(3), simpleStep(3)
	serving.LongRunning, serving.PerEndpoint, ordinary.PerEndpoint = true, 1, 1
	serving.Estimate, ordinary.Estimate = 0, time.Minute
	c.accept(c.job("serving", serving))
	c.accept(c.job("ordinary", ordinary))
	c.planAndRun()
	c.evacuate("a")
	c.advance(time.Second)
	c.plan()
	if len(c.stopped) != 1 || c.stopped[0].Order.Task.Job != "serving" || c.stopped[0].Target.Zone != "a" {
		t.Fatalf("stops %+v, want one of the long-running task in the zone", c.stopped)
	}
	if diff := cmp.Diff([]ZoneStatus{{Zone: "a", Endpoints: 1, Runs: 2}}, c.planner.EvacuatedZones()); diff != "" {
		t.Errorf("evacuated zones (-want +got):\n%s", diff)
	}
	stop := c.stopped[0]
	c.planner.StopAnswered(stop.Target.ID, stop.Order, c.now)
	c.endRun(stop.Target.ID, stop.Order.Task, stop.Order.Run, definer.EndStopped)
	if c.advance(time.Second); c.hasNote("last run in evacuated zone has ended", nil) {
		t.Error("a note says that the last run has ended while one is left")
	}
	c.finishAllRuns()
	if c.advance(time.Second); !c.hasNote("last run in evacuated zone has ended", "a") {
		t.Error("no note says that the last run has ended")
	}
	if c.advance(time.Second); c.hasNote("last run in evacuated zone has ended", "a") {
		t.Error("the end of the last run is noted again")
	}
	// A set that was read again changes nothing.
	if c.evacuate("a"); c.hasNote("zone evacuated", nil) {
		t.Error("a repeated record counts as another evacuation")
	}
	if c.advance(time.Second); c.hasNote("last run in evacuated zone has ended", nil) {
		t.Error("the end of the last run is noted again after a repeated record")
	}
	if c.evacuate(); !c.hasNote("zone in use again", "a") {
		t.Error("no note says that the zone is in use again")
	}
}

// TestRunsOfInheritedEndpointCount guards against a note that the last run in a zone has ended
// while an endpoint of which only the state table is known, without its zone, has one.
func TestRunsOfInheritedEndpointCount(t *testing.T) {
	c := newZonedCell(t, 3)
	c.accept(c.job("a", simpleStep(1)))
	c.planner.RestoreEndpoint("e900", c.listing("e900"))
	c.born["e900"] = 1
	c.running["e900"] = []definer.RunningTask{{Task: definer.TaskName{Job: "a"}, Run: 1}}
	c.evacuate("a")
	if c.advance(time.Second); c.hasNote("last run in evacuated zone has ended", nil) {
		t.Error("a note says that the last run has ended although the zone of a run is not known")
	}
	c.listInZone("e900", "b")
	if c.advance(time.Second); !c.hasNote("last run in evacuated zone has ended", "a") {
		t.Error("no note says that the last run has ended once the zone of the other run is known")
	}
}

// TestGangReleasesEvacuatedEndpoints guards against a gang that keeps its reservation in an
// evacuated zone and never starts.
func TestGangReleasesEvacuatedEndpoints(t *testing.T) {
	c := newZonedCell(t, 3)
	long := simpleStep(12)
	long.Estimate = time.Minute
	c.accept(c.job("filler", long))
	c.planAndRun()
	gang := simpleStep(4)
	gang.Gang = true
	c.accept(c.job("gang", gang))
	c.plan()
	var reserved []*endpoint
	for s := range c.planner.readySteps {
		reserved = append(reserved, s.plannedOn()...)
	}
	if len(reserved) != 1 {
		t.Fatalf("%d endpoints reserved, want 1", len(reserved))
	}
	from := reserved[0]
	c.evacuate(from.Zone)
	c.plan()
	for s := range c.planner.readySteps {
		if held := s.plannedOn(); len(held) != 1 || held[0] == from {
			t.Errorf("endpoints reserved in the round after the evacuation: %d, want another one", len(held))
		}
	}
}

// plannedOn returns the endpoints on which room is held for the gang.
func (s *step) plannedOn() []*endpoint {
	endpoints := make([]*endpoint, 0, len(s.plan.parts))
	for _, part := range s.plan.parts {
		endpoints = append(endpoints, part.endpoint)
	}

	return endpoints
}

// TestGangWithQuestionReleasesEvacuatedEndpoints guards against a reservation that a gang keeps
// in an evacuated zone until its policy has answered.
func TestGangWithQuestionReleasesEvacuatedEndpoints(t *testing.T) {
	c := newZonedCell(t, 3)
	gang := simpleStep(4)
	gang.Gang = true
	job := c.job("gang", gang)
	job.Queue.Policy = &definer.Policy{Decide: 100 * time.Millisecond, Validity: time.Second}
	c.accept(job)
	c.plan()
	for _, ask := range c.takeAsked() {
		var tickets []definer.Ticket
		for _, id := range ask.Endpoints {
			tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "ticket"})
		}
		c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: c.now}, c.now)
	}
	c.advance(2 * time.Second)
	c.plan()
	for s := range c.planner.readySteps {
		held := s.plannedOn()
		if len(held) != 1 || len(c.asked) != 1 || len(c.started) != 0 {
			t.Fatalf("%d endpoints reserved, %d questions, %d starts, want 1, 1, 0", len(held), len(c.asked), len(c.started))
		}
		c.evacuate(held[0].Zone)
		c.plan()
		if slices.ContainsFunc(s.plannedOn(), func(e *endpoint) bool { return e.cordoned }) {
			t.Error("the gang keeps an endpoint in the evacuated zone reserved")
		}
	}
}

// TestEvacuatedCapacityIsNotFree guards against reservations that yield to other work because
// the free endpoints of an evacuated zone count as free capacity of the service.
func TestEvacuatedCapacityIsNotFree(t *testing.T) {
	c := newZonedCell(t, 3)
	c.evacuate("a", "b")
	c.accept(c.job("filler", simpleStep(4)))
	c.planAndRun()
	ps := &pass{planner: c.planner, now: c.now}
	if ps.measureServices(); !ps.services["service"].busy() {
		t.Error("a service whose usable capacity is all in use does not count as busy")
	}
}

// TestAdmissionWithoutEvacuatedZone guards against admission that counts the processors of
// an evacuated zone, and against one without bound when all zones are evacuated.
func TestAdmissionWithoutEvacuatedZone(t *testing.T) {
	c := newZonedCell(t, 3)
	c.accept(c.job("a", simpleStep(40)))
	c.advance(time.Second)
	job := c.job("b", simpleStep(1))
	for _, test := range []struct {
		evacuated  []string
		processors float64
		refused    bool
	}{{nil, 48, false}, {[]string{"a"}, 32, false}, {[]string{"a", "b", "c"}, 0, true}, {nil, 48, false}} {
		c.evacuate(test.evacuated...)
		_, processors := c.planner.Backlog(1, c.now)
		if refused := c.planner.Admit(&job, c.now) != nil; processors != test.processors || refused != test.refused {
			t.Errorf("with %q evacuated: %v processors, refused %v, want %v, %v", test.evacuated, processors, refused, test.processors, test.refused)
		}
	}
}

// TestSoleZoneWithLabel guards against work that stands without a reason in the log because
// the only endpoints with its label are in an evacuated zone, and against work that stays
// there when the zone is taken back.
func TestSoleZoneWithLabel(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := newZonedCell(t, 3)
		c.listInZone("e001", zoneOf(1), "disk")
		c.evacuate(zoneOf(1))
		step := simpleStep(2)
		step.Requires, step.Gang = "disk", gang
		c.accept(c.job("a", step))
		noted := false
		for range 4 {
			c.advance(500 * time.Millisecond)
			c.plan()
			noted = c.hasNote("job stands", string(standEvacuated)) || noted
		}
		if len(c.started) != 0 || !noted {
			t.Errorf("gang %v: %d starts, reason in the log %v, want none and the reason", gang, len(c.started), noted)
		}
		c.evacuate()
		if c.plan(); len(c.started) != 2 {
			t.Errorf("gang %v: %d starts after the zone was taken back, want 2", gang, len(c.started))
		}
	}
}

// TestEvacuatedZoneCountsForMajority guards against a cell that loses its majority with the
// evacuation of a zone, or leases that lapse there.
func TestEvacuatedZoneCountsForMajority(t *testing.T) {
	c := newZonedCell(t, 3)
	c.evacuate("a", "b")
	c.advance(time.Second)
	if !c.planner.HasMajority(c.now) {
		t.Error("no majority while two of three zones are evacuated")
	}
	if _, order, ok := c.planner.RenewOrder("e000", c.now); !ok || order.Until == 0 {
		t.Error("the lease of an endpoint in an evacuated zone is not extended")
	}
}
