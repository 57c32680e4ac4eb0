package disrupter

import (
	"fmt"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/standin/executor"
)

const (
	// standBound is how long an accepted job may have nothing running beside room for its tasks, and calmBound the
	// time from the end of the last fault from which this is checked.
	standBound = 3 * time.Second
	calmBound  = 4 * time.Second
	// standInterval is the interval of the check.
	standInterval = 100 * time.Millisecond
	// maxLoadShare is the share of the limit of the account, and of the capacity of the service, up to which a job
	// that stands is a violation.
	maxLoadShare = 0.5
	// guaranteeStands is the check that accepted jobs do not stand beside room.
	guaranteeStands = "job stands"
)

// disturbance counts the faults that are under way.
type disturbance struct {
	mu      sync.Mutex
	open    int
	lastEnd time.Time
}

// begin and end mark the duration of a fault, touch a fault without a duration.
func (d *disturbance) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open++
}

func (d *disturbance) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	d.lastEnd = time.Now()
}

func (d *disturbance) touch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastEnd = time.Now()
}

// clear marks the end of all faults.
func (d *disturbance) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open, d.lastEnd = 0, time.Now()
}

// calmFor returns how long ago the last fault ended, or 0 while one is under way.
func (d *disturbance) calmFor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open > 0 {
		return 0
	}

	return now.Sub(d.lastEnd)
}

// spell is a time during which a job stands.
type spell struct {
	since time.Time
	// lightSince is since when, in addition, little of the account's limit and of the service is in use; it is zero
	// while more is.
	lightSince time.Time
	starts     int
	// reported and noted mean that the violation was recorded, and that the log says so for a busy service.
	reported, noted bool
}

// light reports whether so little is in use that the job should have something running.
func light(s *executor.Stand) bool {
	return s.AccountShare < maxLoadShare && s.ServiceShare < maxLoadShare
}

// standWatcher records a violation for each accepted job that stands beside room for standBound.
type standWatcher struct {
	cluster     *cluster
	disturbance *disturbance
	logf        func(format string, args ...any)
	// spells holds the jobs that stand now.
	spells map[string]*spell
	// longest and longestLight are the longest spells, of any and of those under a light load.
	longest, longestLight time.Duration
}

// loop checks the jobs at standInterval until stop is closed.
func (w *standWatcher) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(standInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			w.logf("longest time for which a job stood beside room: %s, with less than half in use %s", w.longest, w.longestLight)

			return
		case now := <-ticker.C:
			if w.disturbance.calmFor(now) < calmBound {
				clear(w.spells)

				continue
			}
			w.cluster.ledger.CountCheck(guaranteeStands)
			violations, notes := w.check(w.cluster.executors.Standing(w.cluster.usable()), now)
			for _, text := range violations {
				w.cluster.ledger.RecordViolation(guaranteeStands, text)
				w.logf("%s %s", guaranteeStands, text)
			}
			for _, text := range notes {
				w.logf("job stands in a busy service %s", text)
			}
		}
	}
}

// check follows the jobs that stand now. It returns the violations, and notes on jobs that stand while more than
// maxLoadShare is in use. A job with a run since the last check has not stood, however short the run was.
func (w *standWatcher) check(stands []executor.Stand, now time.Time) (violations, notes []string) {
	previous := w.spells
	w.spells = make(map[string]*spell, len(stands))
	long := 0
	for i := range stands {
		known := w.follow(previous[stands[i].Job], &stands[i], now)
		w.spells[stands[i].Job] = known
		if now.Sub(known.since) >= standBound {
			long++
		}
	}
	for i := range stands {
		s := &stands[i]
		known := w.spells[s.Job]
		text := fmt.Sprintf("%s; %d jobs stand, %d as long", s, len(stands), long)
		switch {
		case !known.lightSince.IsZero() && now.Sub(known.lightSince) >= standBound && !known.reported:
			known.reported = true
			violations = append(violations, text)
		case now.Sub(known.since) >= standBound && !known.noted && !light(s):
			known.noted = true
			notes = append(notes, text)
		}
	}

	return violations, notes
}

// follow returns the spell of a job that stands now; known is its spell at the last check, or nil.
func (w *standWatcher) follow(known *spell, s *executor.Stand, now time.Time) *spell {
	if known == nil || known.starts != s.Starts {
		known = &spell{since: now, starts: s.Starts}
	}
	switch {
	case !light(s):
		known.lightSince = time.Time{}
	case known.lightSince.IsZero():
		known.lightSince = now
	default:
		w.longestLight = max(w.longestLight, now.Sub(known.lightSince))
	}
	w.longest = max(w.longest, now.Sub(known.since))

	return known
}
