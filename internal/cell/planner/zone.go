package planner

import (
	"math"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// Operators evacuate a zone before they work on it. Its endpoints are then cordoned: they
// get no new work, and otherwise are endpoints as before, which hold leases, report and
// count for the majority.

// evacuatedZone is a zone that gets no new work.
type evacuatedZone struct {
	since definer.Instant
	// endpoints and runs are the numbers of the zone's endpoints and of the runs there, as of the last tick.
	endpoints, runs int
	// emptyNoted means that a note says that the last run has ended.
	emptyNoted bool
}

// ZoneStatus is the state of an evacuated zone.
type ZoneStatus struct {
	Zone            string
	Endpoints, Runs int
}

// EvacuateZones replaces the set of zones that get no new work. Zones that are in it
// already stay as they are, and an empty name is ignored.
func (p *Planner) EvacuateZones(zones []string, now definer.Instant) {
	p.now = now
	before := p.zones
	p.zones = make(map[string]*evacuatedZone, len(zones))
	for _, name := range zones {
		if name == "" {
			continue
		}
		zone := before[name]
		if zone == nil {
			zone = &evacuatedZone{since: now}
		}
		p.zones[name] = zone
	}
	for _, e := range p.ordered {
		e.cordoned = p.isEvacuated(e.Zone)
	}
	p.countZones()
	for _, status := range p.EvacuatedZones() {
		if before[status.Zone] == nil {
			p.note("zone evacuated", "", "zone", status.Zone, "endpoints", status.Endpoints, "runs", status.Runs)
		}
	}
	for name, zone := range before {
		if !p.isEvacuated(name) {
			p.note("zone in use again", "", "zone", name, "evacuated for", now.Sub(zone.since))
		}
	}
	// The next admission measures the processors that are left.
	p.backlog = backlog{}
}

// EvacuatedZones returns the evacuated zones, sorted by name, as of the last tick.
func (p *Planner) EvacuatedZones() []ZoneStatus {
	statuses := make([]ZoneStatus, 0, len(p.zones))
	for name, zone := range p.zones {
		statuses = append(statuses, ZoneStatus{Zone: name, Endpoints: zone.endpoints, Runs: zone.runs})
	}
	slices.SortFunc(statuses, func(a, b ZoneStatus) int { return strings.Compare(a.Zone, b.Zone) })

	return statuses
}

func (p *Planner) isEvacuated(zone string) bool { return p.zones[zone] != nil }

// countZones counts the endpoints and runs of the evacuated zones.
func (p *Planner) countZones() {
	for _, zone := range p.zones {
		zone.endpoints, zone.runs = 0, 0
	}
	for _, e := range p.ordered {
		if zone := p.zones[e.Zone]; zone != nil {
			zone.endpoints++
			zone.runs += len(e.runs)
		}
	}
}

// clearZones moves the long-running tasks out of evacuated zones, and notes when the last
// run of a zone has ended. Other runs continue to their end.
func (p *Planner) clearZones(now definer.Instant) {
	if len(p.zones) == 0 {
		return
	}
	for _, e := range p.ordered {
		if e.cordoned && e.acceptedTerm {
			p.moveLongRunning(e)
		}
	}
	p.countZones()
	if p.listReadAt == 0 || !p.takeoverSettled() || slices.ContainsFunc(p.ordered, (*endpoint).runsInUnknownZone) {
		// There may be runs that are not counted.
		return
	}
	for name, zone := range p.zones {
		if zone.runs == 0 && !zone.emptyNoted {
			p.note("last run in evacuated zone has ended", "", "zone", name, "endpoints", zone.endpoints, "after", now.Sub(zone.since))
		}
		zone.emptyNoted = zone.runs == 0
	}
}

// runsInUnknownZone reports whether e has runs and the owner has not read its entry of the
// endpoint list, which names its zone.
func (e *endpoint) runsInUnknownZone() bool { return len(e.runs) > 0 && !e.listed && e.Zone == "" }

// moveLongRunning stops the long-running tasks on a cordoned endpoint, so that they start
// again elsewhere.
func (p *Planner) moveLongRunning(e *endpoint) {
	for _, r := range e.runs {
		if r.phase == phaseRunning && r.task != nil && r.task.step.def.LongRunning {
			p.note("task leaves evacuated zone", r.name.Job, "zone", e.Zone, "endpoint", e.ID, "step", r.name.Step, "index", r.name.Index, "run", r.number)
			p.stopRun(r)
		}
	}
}

// dropCordonedReservations releases the reservations of gangs that include a cordoned
// endpoint, so that these gangs reserve others.
func (ps *pass) dropCordonedReservations(steps []*step) {
	if len(ps.planner.zones) == 0 {
		return
	}
	for _, s := range steps {
		if slices.ContainsFunc(s.plan.parts, func(part planPart) bool { return part.endpoint.cordoned }) {
			s.dropReservation()
		}
	}
}

// needsCordoned reports whether the usable endpoints can't hold the tasks of s even when
// they are empty, and could together with the cordoned ones.
func (ps *pass) needsCordoned(s *step) bool {
	if len(ps.planner.zones) == 0 {
		return false
	}
	pool := ps.poolFor(s)
	if s.fitsOn(pool) {
		return false
	}
	pool = slices.Clone(pool)
	for _, e := range ps.planner.ordered {
		if e.isUsableButCordoned() {
			pool = append(pool, e)
		}
	}

	return s.fitsOn(pool)
}

// waitForZones returns the expected wait for work in a cell without processors. Work waits
// without an end in sight while all endpoints are in evacuated zones. A new owner that has
// not read the whole endpoint list does not know that yet.
func (p *Planner) waitForZones(work float64, now definer.Instant) time.Duration {
	if work == 0 || p.listReadAt == 0 || now.Sub(p.listReadAt) < listingLag || !slices.ContainsFunc(p.ordered, (*endpoint).isUsableButCordoned) {
		return 0
	}

	return math.MaxInt64
}

// isUsableButCordoned reports whether e would take work if its zone were not evacuated.
func (e *endpoint) isUsableButCordoned() bool { return e.cordoned && e.listed && !e.Draining }
