package disrupter

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
	"gitlab.com/greengagewall/greengagewall/internal/standin/storer"
)

const (
	// evacuateBound is the time from the acknowledgement of an evacuation from which no task may start in the zone, and
	// maxStretch the time by which a store that refuses all calls may extend it.
	evacuateBound = 5 * time.Second
	maxStretch    = 8 * time.Second
	// minEvacuation and maxEvacuation bound the time for which a zone is evacuated.
	minEvacuation = 7 * time.Second
	maxEvacuation = 12 * time.Second
	// minEvacuationInterval and maxEvacuationInterval bound the time from one evacuation to the next. One zone at
	// least stays in use.
	minEvacuationInterval = time.Second
	maxEvacuationInterval = 4 * time.Second
	// strikeShare is the share of the evacuations at which the owner is killed or paused, maxStrikePause bounds the
	// pause, and repeatShare is the share whose record is written again, maxRepeatDelay later at most.
	strikeShare    = 0.4
	maxStrikePause = 8 * time.Second
	repeatShare    = 0.3
	maxRepeatDelay = 4 * time.Second
	// evacuationPrefix is the prefix of the keys of evacuations.
	evacuationPrefix = "evacuate/"
	// The checks of evacuated zones.
	guaranteeEvacuated = "evacuated zone gets no task"
	checkTakenBack     = "zone taken back is used again"
)

// The names of what an evacuator does, in the report.
const (
	faultEvacuate          = "evacuate zone"
	faultKillAtEvacuation  = "kill owner at an evacuation"
	faultPauseAtEvacuation = "pause owner at an evacuation"
)

var evacuationFaults = []string{faultEvacuate, faultKillAtEvacuation, faultPauseAtEvacuation}

// evacuationValues are values of the records of evacuations. None of them changes the meaning.
var evacuationValues = []string{`{"since":"2026-04-10T07:00:00Z"}`, `{}`, `null`, `"x"`, "\x00\xff", `{"zone":"other","evacuated":false}`}

var zoneNames = []string{"costa-lima", "sierra-cusco", "selva-iquitos"}

// evacuation is an evacuation that the store has acknowledged.
type evacuation struct {
	acknowledged time.Time
	// refused is how long the store has refused all calls since.
	refused time.Duration
}

// zoneWatcher checks that no task starts in an evacuated zone.
type zoneWatcher struct {
	ledger *executor.Ledger

	mu sync.Mutex
	// zones holds the zone of each endpoint by its id.
	zones     map[string]string
	evacuated map[string]*evacuation
	// takenBack holds the zones that were taken back and in which no task has started since.
	takenBack map[string]bool
	// refusesSince is when the store began to refuse all calls; it is zero while it does not.
	refusesSince time.Time
}

func newZoneWatcher(ledger *executor.Ledger) *zoneWatcher {
	return &zoneWatcher{ledger: ledger, zones: map[string]string{}, evacuated: map[string]*evacuation{}, takenBack: map[string]bool{}}
}

func (w *zoneWatcher) addEndpoint(id, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zones[id] = zone
}

// evacuate records that the store has acknowledged the evacuation of a zone, which may be a repeated one.
func (w *zoneWatcher) evacuate(zone string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evacuated[zone] == nil {
		w.evacuated[zone] = &evacuation{acknowledged: now}
	}
}

// beginWithdrawal records that an evacuation is about to be withdrawn; tasks may start in the zone from then on.
func (w *zoneWatcher) beginWithdrawal(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.evacuated, zone)
	w.takenBack[zone] = true
}

// isEvacuated reports whether a zone is evacuated.
func (w *zoneWatcher) isEvacuated(zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.evacuated[zone] != nil
}

// storeRefuses records whether the store refuses all calls.
func (w *zoneWatcher) storeRefuses(refuses bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.countRefused(now)
	if w.refusesSince = (time.Time{}); refuses {
		w.refusesSince = now
	}
}

// countRefused adds the time for which the store has refused all calls to the evacuations; the caller holds the lock.
func (w *zoneWatcher) countRefused(now time.Time) {
	if w.refusesSince.IsZero() {
		return
	}
	for _, e := range w.evacuated {
		since := w.refusesSince
		if e.acknowledged.After(since) {
			since = e.acknowledged
		}
		e.refused += max(now.Sub(since), 0)
	}
	w.refusesSince = now
}

// checkStart checks the start of a task on an endpoint.
func (w *zoneWatcher) checkStart(endpoint, task string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.evacuated) == 0 && len(w.takenBack) == 0 {
		return
	}
	w.countRefused(now)
	zone := w.zones[endpoint]
	if w.takenBack[zone] && w.evacuated[zone] == nil {
		delete(w.takenBack, zone)
		w.ledger.CountCheck(checkTakenBack)
	}
	for _, e := range w.evacuated {
		if now.Sub(e.acknowledged) > e.bound() {
			w.ledger.CountCheck(guaranteeEvacuated)

			break
		}
	}
	if e := w.evacuated[zone]; e != nil && now.Sub(e.acknowledged) > e.bound() {
		w.ledger.RecordViolation(guaranteeEvacuated, fmt.Sprintf("%s on %s in %s, %s after the acknowledgement, store refused calls for %s of it",
			task, endpoint, zone, now.Sub(e.acknowledged), e.refused))
	}
}

// bound returns the time from the acknowledgement from which no task may start.
func (e *evacuation) bound() time.Duration { return evacuateBound + min(e.refused, maxStretch) }

// evacuator evacuates zones and takes them back, beside the faults of a run.
type evacuator struct {
	injector *faultInjector
	// random is a source of its own, so that the faults of a seed stay the same.
	random *rand.Rand
}

// scheduleNext schedules the next evacuation.
func (v *evacuator) scheduleNext() {
	v.injector.callAfter(v.between(minEvacuationInterval, maxEvacuationInterval), v.evacuateNext)
}

func (v *evacuator) between(least, most time.Duration) time.Duration {
	return least + randomDuration(v.random, most-least)
}

// evacuateNext evacuates a random zone, unless only one is in use.
func (v *evacuator) evacuateNext() {
	defer v.scheduleNext()
	var inUse []string
	for _, zone := range zoneNames {
		if !v.injector.cluster.zones.isEvacuated(zone) {
			inUse = append(inUse, zone)
		}
	}
	if len(inUse) <= 1 {
		return
	}
	zone := inUse[v.random.IntN(len(inUse))]
	duration := v.between(minEvacuation, maxEvacuation)
	v.injector.logf("%s evacuated for %s", zone, duration.Round(time.Millisecond))
	v.injector.counts[faultEvacuate]++
	v.write(zone)
	v.strike()
	if v.random.Float64() < repeatShare {
		v.injector.callAfter(v.between(0, maxRepeatDelay), func() { v.write(zone) })
	}
	v.injector.callAfter(duration, func() { v.withdraw(zone) })
}

// write writes the record of an evacuation.
func (v *evacuator) write(zone string) {
	v.injector.cluster.store.Put(storer.TopicOperators, evacuationPrefix+zone, []byte(evacuationValues[v.random.IntN(len(evacuationValues))]))
	v.injector.cluster.zones.evacuate(zone, time.Now())
}

// strike kills or pauses the owner, or does neither.
func (v *evacuator) strike() {
	if v.random.Float64() >= strikeShare {
		return
	}
	owner := v.injector.owner()
	if v.random.IntN(2) == 0 {
		v.injector.counts[faultKillAtEvacuation]++
		v.injector.stopProcess(owner, syscall.SIGKILL)

		return
	}
	v.injector.counts[faultPauseAtEvacuation]++
	v.injector.pause(owner, v.between(time.Second, maxStrikePause))
}

func (v *evacuator) withdraw(zone string) {
	if !v.injector.cluster.zones.isEvacuated(zone) {
		return
	}
	v.injector.logf("%s taken back", zone)
	v.injector.cluster.zones.beginWithdrawal(zone)
	v.injector.cluster.store.Put(storer.TopicOperators, evacuationPrefix+zone, nil)
}

// withdrawAll withdraws all evacuations.
func (v *evacuator) withdrawAll() {
	for _, zone := range zoneNames {
		v.withdraw(zone)
	}
}
