package executor

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// The outcomes of a run, as the endpoint reports them.
const (
	endDone           = "done"
	endFailed         = "failed"
	endStopped        = "stopped"
	endLeaseExpired   = "lapsed"
	endGangBroken     = "broken"
	endGangIncomplete = "alone"
)

// run is a run of a task that is in progress.
type run struct {
	task      string
	number    int
	startedAt time.Time
	duration  time.Duration
	need      modeler.Resources
	gang      bool
	// allMembersRunning means that all members of the gang have started. startedAt
	// is then the time at which the last one did.
	allMembersRunning bool
}

// jobID returns the id of the job that a task belongs to.
func jobID(task string) string {
	id, _, _ := strings.Cut(task, ".")

	return id
}

// listedEnd is the end of a run, which the endpoint lists until the owner
// acknowledges it.
type listedEnd struct {
	number int64
	task   string
	run    int
	result *runResult
	// leaseExpired means that the lease expired before the end was acknowledged.
	leaseExpired bool
}

// Endpoint is an endpoint of a host. Its clock starts at zero with each restart.
type Endpoint struct {
	ID       string
	Capacity modeler.Resources
	host     *Host
	born     time.Time
	// token is the highest fencing token that the endpoint has received.
	token int64
	// leaseEnd is a time on the endpoint's clock.
	leaseEnd time.Duration
	running  map[string]*run
	ends     []listedEnd
	// lastEnd is the number of the last end.
	lastEnd int64
	// lastFinishedRun holds, by task, the highest run that has ended or that the
	// owner has stopped; runs up to it are refused.
	lastFinishedRun map[string]int
	removed         bool
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

// clock returns the time since the endpoint's last restart.
func (e *Endpoint) clock() time.Duration { return time.Since(e.born) }

// Host holds all endpoints, so that a gang can start its work on several of
// them at the same time.
type Host struct {
	ledger    *Ledger
	leaseMax  time.Duration
	gangWait  time.Duration
	mu        sync.Mutex
	endpoints []*Endpoint
	done      chan struct{}
	onStart   func(endpoint, task string)
	// began is the start of the clock of the tickets.
	began time.Time
}

// checkInterval is the interval of the checks for expired leases and completed
// runs.
const checkInterval = 10 * time.Millisecond

// NewHost returns a host without endpoints. A lease extends at most leaseMax
// from the present, and a gang whose members have not all started within
// gangWait ends. Run must be called for tasks to end.
func NewHost(ledger *Ledger, leaseMax, gangWait time.Duration) *Host {
	return &Host{ledger: ledger, leaseMax: leaseMax, gangWait: gangWait, began: time.Now(), done: make(chan struct{})}
}

// SetOnStart sets a function that is called at each start of a run. It must not call the host. It is set before the
// first endpoint is added.
func (h *Host) SetOnStart(call func(endpoint, task string)) { h.onStart = call }

// Add adds an endpoint to the host.
func (h *Host) Add(id string, capacity modeler.Resources) *Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &Endpoint{ID: id, Capacity: capacity, host: h}
	e.reset()
	h.endpoints = append(h.endpoints, e)

	return e
}

// reset restarts the endpoint without its previous state; the caller holds the
// lock.
func (e *Endpoint) reset() {
	e.born, e.token, e.leaseEnd, e.lastEnd = time.Now(), 0, 0, 0
	e.running, e.ends, e.lastFinishedRun = map[string]*run{}, nil, map[string]int{}
	e.changed = make(chan struct{})
}

// Born returns the time of the endpoint's last restart.
func (e *Endpoint) Born() time.Time {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()

	return e.born
}

// Crash ends all runs on the endpoint and drops its state. The endpoint restarts
// at once if restart is set, and is removed permanently otherwise.
func (e *Endpoint) Crash(restart bool) {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()
	for _, r := range e.running {
		e.host.ledger.recordEnd(jobID(r.task), r.task, e.describe(r), "crashed")
	}
	e.reset()
	e.removed = !restart
}

// HoldsEnds reports whether the endpoint lists ends of runs that the owner has not
// acknowledged.
func (e *Endpoint) HoldsEnds() bool {
	e.host.mu.Lock()
	defer e.host.mu.Unlock()

	return len(e.ends) > 0
}

// Run ends runs whose duration has passed or whose lease has expired, until stop
// is closed.
func (h *Host) Run(stop <-chan struct{}) {
	defer close(h.done)
	ticker := time.NewTicker(checkInterval)
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

// Idle reports whether no task is running on any endpoint.
func (h *Host) Idle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.endpoints {
		if len(e.running) > 0 {
			return false
		}
	}

	return true
}

// advance ends expired and completed runs, and the runs of gangs whose members have
// not all started in time.
func (h *Host) advance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireLeases()
	now := time.Now()
	for _, e := range h.endpoints {
		for _, r := range e.running {
			switch {
			case r.gang && !r.allMembersRunning:
				if now.Sub(r.startedAt) > h.gangWait {
					e.finish(r, endGangIncomplete)
				}
			case now.Sub(r.startedAt) >= r.duration:
				outcome := endDone
				if h.ledger.currentRunFails(jobID(r.task), r.task) {
					outcome = endFailed
				}
				e.finish(r, outcome)
			}
		}
	}
}

// expireLeases ends the runs of endpoints whose leases have expired, and marks
// their listed ends; the caller holds the lock. start and hold call it before
// they renew the lease, because Run may be late on a busy machine.
func (h *Host) expireLeases() {
	for _, e := range h.endpoints {
		if e.clock() <= e.leaseEnd {
			continue
		}
		for i := range e.ends {
			e.ends[i].leaseExpired = true
		}
		for _, r := range e.running {
			e.finish(r, endLeaseExpired)
		}
	}
}

// finish ends a run and, once all members of its gang run, the other members
// too; the caller holds the lock.
func (e *Endpoint) finish(r *run, outcome string) {
	if e.running[r.task] != r {
		return
	}
	delete(e.running, r.task)
	e.lastFinishedRun[r.task] = max(e.lastFinishedRun[r.task], r.number)
	e.lastEnd++
	result := e.host.ledger.recordEnd(jobID(r.task), r.task, e.describe(r), outcome)
	e.ends = append(e.ends, listedEnd{number: e.lastEnd, task: r.task, run: r.number, result: result})
	close(e.changed)
	e.changed = make(chan struct{})
	if !r.gang || !r.allMembersRunning {
		return
	}
	others := endGangBroken
	if outcome == endDone {
		others = endDone
	}
	for _, peer := range e.host.endpoints {
		for _, member := range peer.running {
			if stepID(member.task) == stepID(r.task) && member.number == r.number {
				member.allMembersRunning = false
				peer.finish(member, others)
			}
		}
	}
}

// describe returns the text for a run in the history of its task.
func (e *Endpoint) describe(r *run) string {
	return fmt.Sprintf("run %d on %s by %d", r.number, e.ID, e.token)
}

// startGangWork starts the work of the gang of a run if all count members are
// running; the caller holds the lock.
func (h *Host) startGangWork(r *run, count int) {
	var members []*run
	for _, e := range h.endpoints {
		for _, member := range e.running {
			if stepID(member.task) == stepID(r.task) && member.number == r.number {
				members = append(members, member)
			}
		}
	}
	if len(members) < count {
		return
	}
	for _, member := range members {
		member.allMembersRunning, member.startedAt = true, time.Now()
	}
}
