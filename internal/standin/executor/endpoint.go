package executor

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// The ways in which a run ends.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endLapsed  = "lapsed"
	endBroken  = "broken"
	endAlone   = "alone"
)

// run is a run of a task.
type run struct {
	task     string
	number   int
	began    time.Time
	length   time.Duration
	need     modeler.Resources
	gang     bool
	together bool
}

// job returns the id of the job of a task.
func job(task string) string {
	id, _, _ := strings.Cut(task, ".")

	return id
}

// end is an end that is listed until it is acknowledged.
type end struct {
	number int64
	task   string
	run    int
	ending *ending
	// lapsed means that the lease ran out before the end was acknowledged.
	lapsed bool
}

// Endpoint is one endpoint of a host.
type Endpoint struct {
	ID       string
	Capacity modeler.Resources
	host     *Host
	born     time.Time
	fence    int64
	// until is the end of the lease on the endpoint's clock.
	until   time.Duration
	running map[string]*run
	ended   []end
	last    int64
	// settled holds the highest run of each task that was stopped or has ended.
	settled map[string]int
	gone    bool
	changed chan struct{}
}

// clock returns the time since the endpoint's birth.
func (e *Endpoint) clock() time.Duration { return time.Since(e.born) }

// Host holds all endpoints, whose gangs start together.
type Host struct {
	ledger   *Ledger
	leaseMax time.Duration
	gangWait time.Duration
	mu       sync.Mutex
	all      []*Endpoint
	done     chan struct{}
}

// tick is how often leases and ends are looked at.
const tick = 10 * time.Millisecond

// NewHost returns a host without endpoints; Run makes their tasks end.
func NewHost(ledger *Ledger, leaseMax, gangWait time.Duration) *Host {
	return &Host{ledger: ledger, leaseMax: leaseMax, gangWait: gangWait, done: make(chan struct{})}
}

// Add adds an endpoint.
func (h *Host) Add(id string, capacity modeler.Resources) *Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &Endpoint{ID: id, Capacity: capacity, host: h}
	e.reset()
	h.all = append(h.all, e)

	return e
}

// reset gives the endpoint a new life; the caller holds the lock.
func (e *Endpoint) reset() {
	e.born, e.fence, e.until, e.last = time.Now(), 0, 0, 0
	e.running, e.ended, e.settled = map[string]*run{}, nil, map[string]int{}
	e.changed = make(chan struct{})
}

// Born returns when the endpoint's life began.
func (e *Endpoint) Born() time.Time {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()

	return e.born
}

// Crash ends all that runs on the endpoint, which forgets everything; it is
// back at once with a new life when again is set, and gone for good otherwise.
func (e *Endpoint) Crash(again bool) {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()
	for _, r := range e.running {
		e.host.ledger.ended(job(r.task), r.task, e.describe(r), "crashed")
	}
	e.reset()
	e.gone = !again
}

// Run ends tasks when their time has come, until done is closed.
func (h *Host) Run(stop <-chan struct{}) {
	defer close(h.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			h.advance()
		}
	}
}

// Done is closed when Run has returned.
func (h *Host) Done() <-chan struct{} { return h.done }

// Idle reports whether no task runs.
func (h *Host) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.all {
		if len(e.running) > 0 {
			return false
		}
	}

	return true
}

func (h *Host) advance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lapse()
	now := time.Now()
	for _, e := range h.all {
		for _, r := range e.running {
			switch {
			case r.gang && !r.together:
				if now.Sub(r.began) > h.gangWait {
					e.finish(r, endAlone)
				}
			case now.Sub(r.began) >= r.length:
				how := endDone
				if h.ledger.fails(job(r.task), r.task) {
					how = endFailed
				}
				e.finish(r, how)
			}
		}
	}
}

// lapse ends what runs on endpoints whose leases have run out; the caller holds
// the lock. Starts are judged after it, however late Run is on a busy machine.
func (h *Host) lapse() {
	for _, e := range h.all {
		if e.clock() <= e.until {
			continue
		}
		for i := range e.ended {
			e.ended[i].lapsed = true
		}
		for _, r := range e.running {
			e.finish(r, endLapsed)
		}
	}
}

// finish ends a run, and with it the others of its gang; the caller holds the lock.
func (e *Endpoint) finish(r *run, how string) {
	if e.running[r.task] != r {
		return
	}
	delete(e.running, r.task)
	e.settled[r.task] = max(e.settled[r.task], r.number)
	e.last++
	ending := e.host.ledger.ended(job(r.task), r.task, e.describe(r), how)
	e.ended = append(e.ended, end{number: e.last, task: r.task, run: r.number, ending: ending})
	close(e.changed)
	e.changed = make(chan struct{})
	if !r.gang || !r.together {
		return
	}
	others := endBroken
	if how == endDone {
		others = endDone
	}
	for _, peer := range e.host.all {
		for _, member := range peer.running {
			if job(member.task) == job(r.task) && member.number == r.number {
				member.together = false
				peer.finish(member, others)
			}
		}
	}
}

// describe names a run in the history of its task.
func (e *Endpoint) describe(r *run) string {
	return fmt.Sprintf("run %d on %s by %d", r.number, e.ID, e.fence)
}

// gather starts the work of a gang when all of its members are there; the
// caller holds the lock.
func (h *Host) gather(r *run, count int) {
	var members []*run
	for _, e := range h.all {
		for _, member := range e.running {
			if job(member.task) == job(r.task) && member.number == r.number {
				members = append(members, member)
			}
		}
	}
	if len(members) < count {
		return
	}
	for _, member := range members {
		member.together, member.began = true, time.Now()
	}
}
