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

// tailLines is how much of the trace is kept for the report of a breach.
const tailLines = 400

// errTimeout stands for an answer that did not come in time.
var errTimeout = errors.New("no answer in time")

// host is a process or machine: its events wait while it is frozen and are
// dropped once it is dead.
type host struct {
	name   string
	region int
	dead   bool
	thaw   time.Time
}

// event is something that happens at a time, at a host or to the whole world.
type event struct {
	at   time.Time
	seq  uint64
	host *host
	do   func()
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

// world is the event queue with virtual time, the network and the trace.
type world struct {
	rng    *rand.Rand
	now    time.Time
	queue  eventQueue
	seq    uint64
	steps  int
	digest hash.Hash64
	tail   []string
	trace  io.Writer
	report *Report
	breach *Violation

	// loss and late are the chances that a message is lost, or is late by up
	// to lateBy.
	loss, late float64
	lateBy     time.Duration
	// cut holds the regions that reach no other region.
	cut map[int]bool
}

func newWorld(seed uint64, report *Report) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 0x50a4)), now: time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC),
		digest: xxhash.New(), report: report, cut: map[int]bool{},
	}
}

// after lets something happen at a host, or to the world without one.
func (w *world) after(d time.Duration, h *host, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{at: w.now.Add(max(d, 0)), seq: w.seq, host: h, do: do})
}

// every repeats something at a host with a jitter of a tenth of the period.
func (w *world) every(period time.Duration, h *host, do func()) {
	w.after(period-period/20+w.upTo(period/10), h, func() {
		do()
		w.every(period, h, do)
	})
}

// run handles events until a time, a breach or a number of steps; zero steps
// set no bound.
func (w *world) run(until time.Time, steps int) {
	for len(w.queue) > 0 && w.breach == nil && (steps == 0 || w.steps < steps) {
		if w.queue[0].at.After(until) {
			break
		}
		e := heap.Pop(&w.queue).(*event) //nolint:errcheck,forcetypeassert // Only events are pushed.
		w.now = e.at
		switch {
		case e.host != nil && e.host.dead:
		case e.host != nil && e.host.thaw.After(w.now):
			w.after(e.host.thaw.Sub(w.now), e.host, e.do)
		default:
			w.steps++
			w.do(e)
		}
	}
	if w.now.Before(until) && w.breach == nil {
		w.now = until
	}
}

// do handles an event; a panic of the product is a breach.
func (w *world) do(e *event) {
	defer func() {
		if fault := recover(); fault != nil {
			w.failf(checkHook, "panic: %v\n%s", fault, debug.Stack())
		}
	}()
	e.do()
}

// tracef adds a line to the trace.
func (w *world) tracef(format string, args ...any) {
	line := fmt.Sprintf("%9.3fs ", w.now.Sub(time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = w.digest.Write([]byte(line))
	w.tail = append(w.tail, line)
	if w.trace != nil {
		_, _ = fmt.Fprintln(w.trace, line)
	}
	if len(w.tail) > 2*tailLines {
		w.tail = append(w.tail[:0:0], w.tail[tailLines:]...)
	}
}

// failf ends the run with a breach of an invariant.
func (w *world) failf(check, format string, args ...any) {
	if w.breach != nil {
		return
	}
	detail := fmt.Sprintf(format, args...)
	w.breach = &Violation{Check: check, Detail: detail, Step: w.steps, TraceTail: w.tail[max(0, len(w.tail)-tailLines):]}
}

// checkf counts a check of an invariant and fails unless it holds.
func (w *world) checkf(check string, holds bool, format string, args ...any) {
	w.report.Checks[check]++
	if !holds {
		w.failf(check, format, args...)
	}
}

// faultf counts an injected fault.
func (w *world) faultf(kind string, format string, args ...any) {
	w.report.Faults[kind]++
	w.tracef("fault "+kind+": "+format, args...)
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(max(int64(d), 1)))
}
func (w *world) from(a, b time.Duration) time.Duration { return a + w.upTo(b-a) }

// parted reports whether two hosts cannot reach each other.
func (w *world) parted(a, b *host) bool {
	return a.region != b.region && (w.cut[a.region] || w.cut[b.region])
}

// deliver sends a one-way message; kind names it for the counters of faults.
func (w *world) deliver(from, to *host, kind string, do func()) {
	delay := w.from(200*time.Microsecond, 1500*time.Microsecond)
	if from.region != to.region {
		delay += 30 * time.Millisecond
	}
	switch {
	case w.parted(from, to):
		return
	case w.loss > 0 && w.chance(w.loss):
		w.faultf("lost "+kind, "%s to %s", from.name, to.name)

		return
	case w.late > 0 && w.chance(w.late):
		delay += w.upTo(w.lateBy)
		w.report.Faults["late "+kind]++
	}
	w.after(delay, to, do)
}

// call sends a request and calls done exactly once with the answer, or with
// errTimeout. A dead host refuses half of the requests (messenger.ErrUnsent)
// and leaves the others without an answer.
func (w *world) call(from, to *host, timeout time.Duration, handle func(reply func(any, error)), done func(any, error)) {
	settled := false
	finish := func(value any, err error) {
		if !settled {
			settled = true
			done(value, err)
		}
	}
	w.after(timeout, from, func() { finish(nil, errTimeout) })
	if to.dead {
		if w.chance(0.5) && !w.parted(from, to) {
			w.after(time.Millisecond, from, func() { finish(nil, messenger.ErrUnsent) })
		}

		return
	}
	w.deliver(from, to, "request", func() {
		handle(func(value any, err error) {
			w.deliver(to, from, "answer", func() { finish(value, err) })
		})
	})
}
