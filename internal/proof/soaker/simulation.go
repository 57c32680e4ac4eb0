package soaker

import (
	"container/heap"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// traceTailLines is the number of trace lines kept for the report of a violation.
const traceTailLines = 400

// errTimeout means that no answer arrived in time.
var errTimeout = errors.New("no answer in time")

// host is a process or machine. Its events are deferred while it is frozen and
// dropped once it is dead.
type host struct {
	name        string
	region      int
	dead        bool
	frozenUntil time.Time
}

// event is an action at a time, at a host or, if host is nil, of the simulation.
type event struct {
	at     time.Time
	seq    uint64
	host   *host
	action func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}

	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(*event)) } //nolint:errcheck,forcetypeassert // Only events are pushed.

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]

	return e
}

// simulation holds the event queue with virtual time, the network and the trace.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	queue     eventQueue
	seq       uint64
	steps     int
	digest    hash.Hash64
	traceTail []string
	trace     io.Writer
	report    *Report
	violation *Violation

	// lossShare and lateShare are the probabilities that a message is lost, or is
	// late by up to lateDelay.
	lossShare, lateShare float64
	lateDelay            time.Duration
	// cutRegions holds the regions that cannot reach any other region.
	cutRegions map[int]bool
}

func newSimulation(seed uint64, report *Report) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 0x50a4)), now: time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC),
		digest: xxhash.New(), report: report, cutRegions: map[int]bool{},
	}
}

// after schedules an action after a delay, at a host or, if h is nil, of the
// simulation.
func (sim *simulation) after(d time.Duration, h *host, do func()) {
	sim.seq++
	heap.Push(&sim.queue, &event{at: sim.now.Add(max(d, 0)), seq: sim.seq, host: h, action: do})
}

// every repeats an action at a host, with a jitter of a tenth of the period.
func (sim *simulation) every(period time.Duration, h *host, do func()) {
	sim.after(period-period/20+sim.upTo(period/10), h, func() {
		do()
		sim.every(period, h, do)
	})
}

// run handles events until a time, a violation or a total number of steps; zero
// steps set no bound.
func (sim *simulation) run(until time.Time, steps int) {
	for len(sim.queue) > 0 && sim.violation == nil && (steps == 0 || sim.steps < steps) {
		if sim.queue[0].at.After(until) {
			break
		}
		e := heap.Pop(&sim.queue).(*event) //nolint:errcheck,forcetypeassert // Only events are pushed.
		sim.now = e.at
		switch {
		case e.host != nil && e.host.dead:
		case e.host != nil && e.host.frozenUntil.After(sim.now):
			sim.after(e.host.frozenUntil.Sub(sim.now), e.host, e.action)
		default:
			sim.steps++
			sim.handle(e)
		}
	}
	if sim.now.Before(until) && sim.violation == nil {
		sim.now = until
	}
}

// handle handles an event. A panic is recorded as a violation.
func (sim *simulation) handle(e *event) {
	defer func() {
		if recovered := recover(); recovered != nil {
			sim.failf(checkHook, "panic: %v\n%s", recovered, debug.Stack())
		}
	}()
	e.action()
}

// tracef adds a line to the trace.
func (sim *simulation) tracef(format string, args ...any) {
	line := fmt.Sprintf("%9.3fs ", sim.now.Sub(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = sim.digest.Write([]byte(line))
	sim.traceTail = append(sim.traceTail, line)
	if sim.trace != nil {
		_, _ = fmt.Fprintln(sim.trace, line)
	}
	if len(sim.traceTail) > 2*traceTailLines {
		sim.traceTail = append(sim.traceTail[:0:0], sim.traceTail[traceTailLines:]...)
	}
}

// failf records a violation of an invariant, which ends the run.
func (sim *simulation) failf(check, format string, args ...any) {
	if sim.violation != nil {
		return
	}
	detail := fmt.Sprintf(format, args...)
	sim.violation = &Violation{Check: check, Detail: detail, Step: sim.steps, TraceTail: sim.traceTail[max(0, len(sim.traceTail)-traceTailLines):]}
}

// checkf counts a check of an invariant and records a violation unless it holds.
func (sim *simulation) checkf(check string, holds bool, format string, args ...any) {
	sim.report.Checks[check]++
	if !holds {
		sim.failf(check, format, args...)
	}
}

// faultf counts an injected fault.
func (sim *simulation) faultf(kind string, format string, args ...any) {
	sim.report.Faults[kind]++
	sim.tracef("fault "+kind+": "+format, args...)
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }
func (sim *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(max(int64(d), 1)))
}
func (sim *simulation) between(a, b time.Duration) time.Duration { return a + sim.upTo(b-a) }

// disconnected reports whether two hosts cannot reach each other.
func (sim *simulation) disconnected(a, b *host) bool {
	return a.region != b.region && (sim.cutRegions[a.region] || sim.cutRegions[b.region])
}

// deliver sends a one-way message; kind names it for the counters of faults.
func (sim *simulation) deliver(from, to *host, kind string, do func()) {
	delay := sim.between(200*time.Microsecond, 1500*time.Microsecond)
	if from.region != to.region {
		delay += 30 * time.Millisecond
	}
	switch {
	case sim.disconnected(from, to):
		return
	case sim.lossShare > 0 && sim.chance(sim.lossShare):
		sim.faultf("lost "+kind, "%s to %s", from.name, to.name)

		return
	case sim.lateShare > 0 && sim.chance(sim.lateShare):
		delay += sim.upTo(sim.lateDelay)
		sim.report.Faults["late "+kind]++
	}
	sim.after(delay, to, do)
}

// call sends a request and calls done exactly once, with the answer or with
// errTimeout. A dead host refuses half of the requests (messenger.ErrUnsent)
// and leaves the others without an answer.
func (sim *simulation) call(from, to *host, timeout time.Duration, handle func(reply func(any, error)), done func(any, error)) {
	settled := false
	finish := func(value any, err error) {
		if !settled {
			settled = true
			done(value, err)
		}
	}
	sim.after(timeout, from, func() { finish(nil, errTimeout) })
	if to.dead {
		if sim.chance(0.5) && !sim.disconnected(from, to) {
			sim.after(time.Millisecond, from, func() { finish(nil, messenger.ErrUnsent) })
		}

		return
	}
	sim.deliver(from, to, "request", func() {
		handle(func(value any, err error) {
			sim.deliver(to, from, "answer", func() { finish(value, err) })
		})
	})
}
