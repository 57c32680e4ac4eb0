package planner_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// world simulates a cell: the state table, the endpoint list, the endpoints, the
// network and the owners. Everything happens in one goroutine in simulated time.
type world struct {
	rng   *rand.Rand
	now   definer.Instant
	queue eventQueue
	// kinds holds the kinds of faults that may happen, and quiet means that no more faults happen.
	kinds map[string]bool
	quiet bool
	// holdMax bounds the leases of the endpoints.
	holdMax time.Duration
	// listedEnds is how many ends an endpoint lists at a time.
	listedEnds int
	// setup draws what a seed's faults do not depend on; soleShare is the share of the jobs that require labelSole.
	setup     *rand.Rand
	soleShare float64

	store    store
	machines []*machine
	// lives holds the endpoint that answers at each address.
	lives map[netip.AddrPort]*life
	// listings is the endpoint list.
	listings map[string]definer.Listing
	owners   []*owner
	// onlyReachedBy holds the endpoints that only one owner reaches.
	onlyReachedBy map[string]*owner
	// claiming counts the claims without an outcome.
	claiming int
	clients  []*client
	tasks    map[definer.TaskName]*history

	trace      []event
	violations []violation
}

// timer is a function that the world runs at a time.
type timer struct {
	at    definer.Instant
	order int
	run   func()
}

// eventQueue is a heap of timers, the earliest first; timers of one time keep their order.
type eventQueue struct {
	timers []timer
	added  int
}

func (q *eventQueue) Len() int      { return len(q.timers) }
func (q *eventQueue) Swap(i, j int) { q.timers[i], q.timers[j] = q.timers[j], q.timers[i] }
func (q *eventQueue) Push(x any)    { q.timers = append(q.timers, x.(timer)) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.timers[i], &q.timers[j]

	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) < 0
}

func (q *eventQueue) Pop() any {
	last := q.timers[len(q.timers)-1]
	q.timers = q.timers[:len(q.timers)-1]

	return last
}

// after runs f after d.
func (w *world) after(d time.Duration, f func()) {
	w.queue.added++
	heap.Push(&w.queue, timer{at: w.now.Add(max(d, 0)), order: w.queue.added, run: f})
}

// runUntil runs everything that is due until the end or until done returns true.
func (w *world) runUntil(end definer.Instant, done func() bool) {
	for w.queue.Len() > 0 && w.queue.timers[0].at <= end && !done() {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.run()
	}
}

// epoch is the wall clock time at which the simulated clock is 0.
var epoch = time.Date(2026, 4, 10, 7, 0, 0, 0, time.UTC)

func (w *world) wall() time.Time { return epoch.Add(time.Duration(w.now)) }

// between returns a random duration of at least low and less than high.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int63n(int64(high-low)))
}

// chance reports true with the given probability.
func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// happens reports true with the given probability if faults of the kind may happen now.
func (w *world) happens(kind string, p float64) bool {
	return !w.quiet && w.kinds[kind] && w.chance(p)
}

// event is a line of the trace. Its subjects select the lines that explain a violation.
type event struct {
	at       definer.Instant
	task     definer.TaskName
	endpoint string
	text     string
	args     []any
}

// record adds a line about a task, an endpoint or, if both are empty, the whole cell.
func (w *world) record(task definer.TaskName, endpoint, text string, args ...any) {
	w.trace = append(w.trace, event{w.now, task, endpoint, text, args})
}

// violation is a broken rule.
type violation struct {
	kind  string
	task  definer.TaskName
	at    definer.Instant
	text  string
	trace string
}

// traceWindow is how far back the trace of a violation tells what happened to endpoints and owners.
const traceWindow = 20 * time.Second

// violate records the first violation of a kind with the trace of the task, of its endpoints and of the owners.
func (w *world) violate(kind string, task definer.TaskName, text string) {
	if slices.ContainsFunc(w.violations, func(v violation) bool { return v.kind == kind }) {
		return
	}
	v := violation{kind: kind, task: task, at: w.now, text: text}
	involved := map[string]bool{}
	for _, line := range w.trace {
		if line.task == task && line.endpoint != "" {
			involved[line.endpoint] = true
		}
	}
	var out strings.Builder
	for _, line := range w.trace {
		cell := line.task == definer.TaskName{} && (line.endpoint == "" || involved[line.endpoint])
		if line.task == task || cell && w.now.Sub(line.at) < traceWindow {
			fmt.Fprintf(&out, "  %7.3f %-6s %s\n", time.Duration(line.at).Seconds(), line.endpoint, fmt.Sprintf(line.text, line.args...))
		}
	}
	v.trace = out.String()
	w.violations = append(w.violations, v)
}

// history is what has really happened to a task.
type history struct {
	running []*execution
	// starts holds the last start of each run.
	starts map[int]*execution
	ends   []*ending
}

// history returns the history of a task.
func (w *world) history(task definer.TaskName) *history {
	h := w.tasks[task]
	if h == nil {
		h = &history{starts: map[int]*execution{}}
		w.tasks[task] = h
	}

	return h
}

// checkStart checks the rules at the start of a run.
func (w *world) checkStart(x *execution) {
	h := w.history(x.task)
	for _, other := range h.running {
		w.violate(x.kind("overlap", other, nil), x.task, fmt.Sprintf("run %d starts on %s while run %d runs on %s", x.number, x.life.id, other.number, other.life.id))
	}
	for _, e := range h.ends {
		if e.end == definer.EndDone && e.acknowledged && !e.lapsed {
			w.violate(x.kind("done", nil, e), x.task, fmt.Sprintf("run %d starts on %s after run %d is done and acknowledged", x.number, x.life.id, e.run))
		}
	}
	if _, given := h.starts[x.number]; given {
		w.violate("number", x.task, fmt.Sprintf("run %d starts for the second time, on %s", x.number, x.life.id))
	}
	h.starts[x.number] = x
	h.running = append(h.running, x)
}

// kind returns the kind of a violation; one that involves an order that was carried out late has its own kind.
func (x *execution) kind(kind string, other *execution, ended *ending) string {
	if x.late || other != nil && other.late || ended != nil && ended.late {
		return kind + "-late"
	}

	return kind
}

// checkAcknowledged checks the rules when an end is acknowledged.
func (w *world) checkAcknowledged(e *ending) {
	e.acknowledged = true
	if e.end != definer.EndDone || e.lapsed {
		return
	}
	for number, x := range w.history(e.task).starts {
		if x.began > e.at {
			w.violate(x.kind("done", nil, e), e.task, fmt.Sprintf("the end of run %d, which is done, is acknowledged after run %d has started", e.run, number))
		}
	}
}

// checkBegun checks that an endpoint has started a task of a job that counts as begun.
func (w *world) checkBegun(job string) {
	for task, h := range w.tasks {
		if task.Job == job && len(h.starts) > 0 {
			return
		}
	}
	w.violate("begun", definer.TaskName{Job: job}, "the job is shown as running, and no endpoint has started a task of it")
}

// reply is an endpoint's answer to an order.
type reply struct {
	verdict definer.Verdict
	report  definer.Report
}

const (
	// lossShare is the share of calls and of answers that the network loses.
	lossShare = 0.02
	// lateShare is the share of lost calls that arrive late.
	lateShare = 0.5
)

// call sends an order from an owner to the endpoint at the target's address. The
// endpoint handles the order and may answer later. done gets the first answer,
// or an unknown verdict after the timeout.
func (w *world) call(o *owner, target definer.Target, timeout time.Duration, handle func(*life, func(reply)), done func(reply)) {
	answered := false
	finish := func(r reply) {
		if !answered {
			answered = true
			done(r)
		}
	}
	w.after(timeout, func() { finish(reply{}) })
	arrive := func(answer func(reply)) {
		l := w.lives[target.Address]
		switch {
		case l == nil:
			// The connection is refused, or nothing answers.
			if w.chance(0.5) {
				answer(reply{})
			}
		case l.id != target.ID:
			answer(reply{verdict: definer.VerdictMisdirected})
		default:
			handle(l, answer)
		}
	}
	if w.lost(o, target) {
		if w.happens("late", lateShare) {
			intended := w.lives[target.Address]
			w.after(w.between(2*time.Second, 12*time.Second), func() {
				if w.lives[target.Address] == intended || w.kinds[kindNewLife] {
					arrive(func(reply) {})
				}
			})
		}

		return
	}
	w.after(w.latency(), func() {
		arrive(func(r reply) {
			if w.lost(o, target) {
				return
			}
			w.after(w.latency(), func() { finish(r) })
		})
	})
}

// lost reports whether the network loses a call of the owner, or its answer.
func (w *world) lost(o *owner, target definer.Target) bool {
	if l := w.lives[target.Address]; l != nil && l.machine.isolated {
		return true
	}
	if only := w.onlyReachedBy[target.ID]; only != nil && only != o {
		return true
	}

	return o.cut[target.ID] || w.happens("loss", lossShare)
}

func (w *world) latency() time.Duration {
	if w.happens("loss", 0.03) {
		return w.between(50*time.Millisecond, 600*time.Millisecond)
	}

	return w.between(time.Millisecond, 25*time.Millisecond)
}

// list changes an entry of the endpoint list; nil removes it.
func (w *world) list(id string, listing *definer.Listing) {
	if _, listed := w.listings[id]; listing == nil && !listed {
		return
	}
	if listing == nil {
		w.record(definer.TaskName{}, id, "entry removed")
		delete(w.listings, id)
	} else {
		w.listings[id] = *listing
	}
	for _, o := range w.owners {
		if o.ended || !o.loaded {
			continue
		}
		o.pendingListings = append(o.pendingListings, listingChange{id, listing})
	}
}

// sortedListings returns the entries of the endpoint list in the order of their ids.
func (w *world) sortedListings() []listingChange {
	changes := make([]listingChange, 0, len(w.listings))
	for id, listing := range w.listings {
		changes = append(changes, listingChange{id, &listing})
	}
	slices.SortFunc(changes, func(a, b listingChange) int { return strings.Compare(a.id, b.id) })

	return changes
}

// listingChange is a change of the endpoint list that an owner has not read yet.
type listingChange struct {
	id string
	// listing is nil when the entry was removed.
	listing *definer.Listing
}
