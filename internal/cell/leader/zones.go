package leader

import (
	"context"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

const (
	// zonesTimeout bounds the time without progress while a page of the operators' table is read, and zonesRetryDelay
	// is the delay after a failure.
	zonesTimeout    = time.Second
	zonesRetryDelay = 100 * time.Millisecond
	// maxZonesWait is how long an owner that was suspended begins no rounds until it has read the evacuated zones
	// again. It covers a read on a connection that has ended meanwhile and one on a new connection. An owner without
	// the store then goes on with the zones that it knows.
	maxZonesWait = 2 * zonesTimeout
	// evacuatedRunsGauge is the group of gauges with the runs in each evacuated zone.
	evacuatedRunsGauge = "runs in evacuated zones"
)

// zones is what the owner knows of the evacuated zones.
type zones struct {
	// offset is that of the newest applied set.
	offset int64
	// readAt is when the last read of the owner began that was answered, or 0 before that.
	readAt definer.Instant
	// reading means that a read is outstanding.
	reading bool
	// reported means that gauges of evacuated zones are set.
	reported bool
}

// Evacuate passes the evacuated zones to the owner.
func (l *Leader) Evacuate(evacuations definer.Evacuations) {
	l.post(evacuationsMsg{evacuations: evacuations})
}

// evacuationsMsg reports the evacuated zones.
type evacuationsMsg struct {
	evacuations definer.Evacuations
	// readAt is when the owner's own read began, or 0 if the set comes from the elector.
	readAt definer.Instant
}

func (m evacuationsMsg) apply(_ context.Context, l *Leader, now definer.Instant) {
	if m.readAt != 0 {
		l.zones.reading, l.zones.readAt = false, m.readAt
	}
	if m.evacuations.Offset < l.zones.offset {
		return
	}
	l.zones.offset = m.evacuations.Offset
	l.planner.EvacuateZones(m.evacuations.Zones, now)
}

// readZones reads the evacuated zones from the operators' table, if zones are evacuated in the deployment.
func (l *Leader) readZones(ctx context.Context) {
	if l.settings.Evacuation > 0 && !l.zones.reading {
		l.zones.reading = true
		l.spawn(ctx, &evacuationsRead{leader: l})
	}
}

// evacuationsCurrent reports whether the owner may begin a round: it has read the evacuated zones since its claim and since it
// was last suspended. What it knew before may be out of date by more than the bound of an evacuation.
func (l *Leader) evacuationsCurrent(ctx context.Context, now definer.Instant) bool {
	switch {
	case l.settings.Evacuation <= 0:
		return true
	case l.zones.readAt == 0:
		return false
	case !l.planner.SuspendedSince(l.zones.readAt):
		return true
	}
	l.readZones(ctx)

	return !l.planner.SuspendedSince(now.Add(-maxZonesWait))
}

// reportZones sets the gauges of the evacuated zones.
func (l *Leader) reportZones() {
	statuses := l.planner.EvacuatedZones()
	if len(statuses) == 0 && !l.zones.reported {
		return
	}
	l.zones.reported = len(statuses) > 0
	values := make(map[string]int64, len(statuses))
	for _, status := range statuses {
		values[status.Zone] = int64(status.Runs)
	}
	l.metrics.SetGauges(evacuatedRunsGauge, values)
}

// evacuationsRead reads the evacuated zones and retries until it succeeds.
type evacuationsRead struct{ leader *Leader }

func (r *evacuationsRead) run(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		began := definer.Now()
		evacuations, err := r.read(ctx)
		if err == nil {
			r.leader.post(evacuationsMsg{evacuations: evacuations, readAt: began})

			return
		}
		if !failed && ctx.Err() == nil {
			failed = true
			r.leader.logger.Warn("evacuated zones not read", "term", r.leader.settings.Term, "error", err)
		}
		definer.Sleep(ctx, zonesRetryDelay, nil)
	}
}

// read reads the newest record of each key. The set is as of the end of the table when the first page was read; later
// changes follow from the elector.
func (r *evacuationsRead) read(ctx context.Context) (definer.Evacuations, error) {
	set := definer.NewEvacuationSet(r.leader.decoder)
	var offset int64
	after := ""
	for first, more := true, true; more; first = false {
		page, err := r.readPage(ctx, after)
		if err != nil {
			return definer.Evacuations{}, err
		}
		if first {
			offset = page.End
		}
		before := after
		for _, record := range page.Records {
			set.Apply(record)
			after = record.Key
		}
		// A key that is not valid text is changed on the way, so that the next page may begin with it again.
		more = page.More && after != before
	}

	return set.AsOf(offset), nil
}

func (r *evacuationsRead) readPage(ctx context.Context, after string) (definer.Page, error) {
	callCtx, cancel := definer.WithStallTimeout(ctx, zonesTimeout)
	defer cancel()

	return r.leader.store.Newest(callCtx, definer.TableOperator, after)
}
