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
	since    time.Time
	starts   int
	reported bool
}

// standWatcher records a violation for each accepted job that stands beside room for standBound.
type standWatcher struct {
	cluster     *cluster
	disturbance *disturbance
	logf        func(format string, args ...any)
	// spells holds the jobs that stand now.
	spells map[string]*spell
}

// loop checks the jobs at standInterval until stop is closed.
func (w *standWatcher) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(standInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			if w.disturbance.calmFor(now) < calmBound {
				clear(w.spells)

				continue
			}
			w.cluster.ledger.CountCheck(guaranteeStands)
			for _, text := range w.check(w.cluster.executors.Standing(w.cluster.usable()), now) {
				w.cluster.ledger.RecordViolation(guaranteeStands, text)
				w.logf("%s %s", guaranteeStands, text)
			}
		}
	}
}

// check follows the jobs that stand now and returns the violations. A job with a run since the last check has not
// stood, however short the run was.
func (w *standWatcher) check(stands []executor.Stand, now time.Time) (violations []string) {
	previous := w.spells
	w.spells = map[string]*spell{}
	var found []executor.Stand
	for _, s := range stands {
		if s.AccountShare >= maxLoadShare || s.ServiceShare >= maxLoadShare {
			continue
		}
		known := previous[s.Job]
		if known == nil || known.starts != s.Starts {
			known = &spell{since: now, starts: s.Starts}
		}
		w.spells[s.Job] = known
		if now.Sub(known.since) >= standBound {
			found = append(found, s)
		}
	}
	for _, s := range found {
		if known := w.spells[s.Job]; !known.reported {
			known.reported = true
			violations = append(violations, fmt.Sprintf("%s; %d jobs stand, %d as long", s.String(), len(w.spells), len(found)))
		}
	}

	return violations
}
