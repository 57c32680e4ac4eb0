package planner_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	// heartbeat is how often an endpoint writes its entry, and entryLifetime how long the entry stays without that.
	heartbeat     = time.Second
	entryLifetime = 3 * heartbeat
	// maxStopTime is the longest time that a stop takes.
	maxStopTime = 900 * time.Millisecond
	// maxListedEnds is how many ends an endpoint lists at a time, but for fault fewends.
	maxListedEnds = 500
)

// machine is an id of the endpoint list with its present life.
type machine struct {
	world   *world
	id      string
	address netip.AddrPort
	life    *life
	// silent means that it writes no heartbeats, isolated that no owner reaches it either.
	silent, isolated bool
	heartbeatAt      definer.Instant
	draining         bool
	leavesAt         definer.Instant
	// gone means that it does not come back.
	gone bool
	// label is the kind of the machine.
	label string
}

// life is an endpoint from one start to its end.
type life struct {
	machine *machine
	world   *world
	id      string
	up      bool
	born    int64
	since   definer.Instant
	// rate is the speed of its clock.
	rate  float64
	term  int64
	until int64
	// highest holds the highest run of each task that was stopped or has ended.
	highest map[definer.TaskName]int
	running []*execution
	// ends are the ends that are not acknowledged, and lastEnd the number of the last end.
	ends    []*ending
	lastEnd int64
	waiting []func()
}

// execution is a run that really runs.
type execution struct {
	life     *life
	task     definer.TaskName
	number   int
	began    definer.Instant
	duration time.Duration
	stalled  bool
	over     bool
	// late means that the order was carried out after its sender had stopped waiting for the answer.
	late bool
}

// ending is the end of a run.
type ending struct {
	number       int64
	task         definer.TaskName
	run          int
	end          definer.End
	at           definer.Instant
	acknowledged bool
	// lapsed means that the endpoint's lease has expired since, before the end was acknowledged.
	lapsed bool
	// late means that a renewal acknowledged it that was carried out late.
	late bool
}

// addMachine adds a machine at an address.
func (w *world) addMachine(address netip.AddrPort) {
	m := &machine{world: w, id: fmt.Sprintf("e%02d", len(w.machines)), address: address, label: labelCommon}
	if !slices.ContainsFunc(w.machines, (*machine).isSole) {
		m.label = labelSole
	}
	w.machines = append(w.machines, m)
	m.start()
	m.beat()
}

// The kinds of machines: one of those that stay has labelSole, which some jobs require.
const (
	labelCommon = "common"
	labelSole   = "sole"
)

// isSole reports whether m is the machine with labelSole. One whose address another
// machine has taken does not come back.
func (m *machine) isSole() bool {
	return m.label == labelSole && !m.gone && !m.draining && (m.life != nil || m.world.lives[m.address] == nil)
}

func (w *world) newAddress() netip.AddrPort {
	for n := 1; ; n++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
		if !slices.ContainsFunc(w.machines, func(m *machine) bool { return m.address == address }) {
			return address
		}
	}
}

// start begins a new life at the machine's address.
func (m *machine) start() {
	w := m.world
	m.life = &life{machine: m, world: w, id: m.id, up: true, born: w.wall().UnixMilli(), since: w.now, rate: 1, highest: map[definer.TaskName]int{}}
	if w.kinds["slowclock"] && w.chance(0.4) {
		m.life.rate = 0.98
	}
	w.lives[m.address] = m.life
	w.record(definer.TaskName{}, m.id, "starts at %v, clock rate %v", m.address, m.life.rate)
}

// crash ends the machine's life.
func (m *machine) crash() {
	l := m.life
	if l == nil {
		return
	}
	m.world.record(definer.TaskName{}, m.id, "ends")
	for _, x := range l.running {
		x.remove()
	}
	l.up, l.running, l.waiting, m.life = false, nil, nil, nil
	if m.world.lives[m.address] == l {
		delete(m.world.lives, m.address)
	}
}

// beat writes the machine's entry, or removes it after entryLifetime without heartbeats.
func (m *machine) beat() {
	w := m.world
	if m.gone && m.life == nil && w.now.Sub(m.heartbeatAt) >= entryLifetime {
		w.list(m.id, nil)

		return
	}
	switch {
	case m.life != nil && !m.silent && !m.isolated && !w.store.down():
		m.heartbeatAt = w.now
		listing := definer.Listing{
			ID: m.id, Service: "service", Address: m.address, Zone: "zone", Born: m.life.born, Draining: m.draining,
			Capacity: modeler.Resources{Millis: 12000, Memory: 64 << 30}, Remaining: max(m.leavesAt.Sub(w.now), 0),
			Labels: []string{m.label},
		}
		old, listed := w.listings[m.id]
		if !listed || old.Service != listing.Service || old.Born != listing.Born || old.Draining != listing.Draining || old.Address != listing.Address {
			w.record(definer.TaskName{}, m.id, "entry written")
			w.list(m.id, &listing)
		}
	case w.now.Sub(m.heartbeatAt) >= entryLifetime:
		w.list(m.id, nil)
	}
	w.after(w.between(heartbeat*8/10, heartbeat*11/10), m.beat)
}

// clock returns the endpoint's clock in milliseconds.
func (l *life) clock() int64 {
	return int64(float64(l.world.now.Sub(l.since).Milliseconds()) * l.rate)
}

// admit checks the term of an order; the endpoint keeps the highest one.
func (l *life) admit(term int64) bool {
	if term < l.term {
		return false
	}
	l.term = term

	return true
}

// extend extends the lease to until, at most by holdMax; it never becomes shorter.
func (l *life) extend(until int64) {
	until = min(until, l.clock()+l.world.holdMax.Milliseconds())
	if until <= l.until {
		return
	}
	l.until = until
	left := time.Duration(float64(until-l.clock())/l.rate+1) * time.Millisecond
	l.world.after(left, l.expire)
}

// expire kills everything that runs if the lease has expired.
func (l *life) expire() {
	if !l.up || l.clock() < l.until {
		return
	}
	for _, x := range slices.Clone(l.running) {
		x.end(definer.EndLapsed)
	}
	for _, e := range l.ends {
		e.lapsed = true
	}
}

// start handles a start order that was sent at the given time.
func (l *life) start(order definer.StartOrder, sent definer.Instant) reply {
	w := l.world
	switch {
	case !l.admit(order.Term):
		w.record(order.Task, l.id, "refuses the start of run %d of term %d, has seen term %d", order.Run, order.Term, l.term)

		return reply{verdict: definer.VerdictFenced}
	case slices.ContainsFunc(l.running, func(x *execution) bool { return x.task == order.Task && x.number == order.Run }):
		l.extend(order.Until)

		return reply{verdict: definer.VerdictDone}
	case order.Run <= l.highest[order.Task]:
		l.extend(order.Until)
		w.record(order.Task, l.id, "refuses the start of run %d of term %d as old", order.Run, order.Term)

		return reply{verdict: definer.VerdictRefused}
	case order.Until <= l.clock():
		w.record(order.Task, l.id, "refuses the start of run %d of term %d as late", order.Run, order.Term)

		return reply{verdict: definer.VerdictRefused}
	case w.happens("refuse", 0.02):
		w.record(order.Task, l.id, "refuses the start of run %d of term %d as unhealthy", order.Run, order.Term)

		return reply{verdict: definer.VerdictRefused}
	}
	l.extend(order.Until)
	x := &execution{
		life: l, task: order.Task, number: order.Run, began: w.now, late: w.now.Sub(sent) > startTimeout,
		duration: w.between(300*time.Millisecond, 5*time.Second), stalled: w.happens("stall", 0.03),
	}
	l.running = append(l.running, x)
	w.record(order.Task, l.id, "run %d of term %d starts, lease for %d ms", order.Run, order.Term, l.until-l.clock())
	w.checkStart(x)
	if !x.stalled {
		end := definer.EndDone
		if w.happens("failed", 0.1) {
			end = definer.EndFailed
		}
		w.after(x.duration, func() { x.end(end) })
	}

	return reply{verdict: definer.VerdictDone}
}

// remove removes an execution from the history of its task.
func (x *execution) remove() {
	x.over = true
	h := x.life.world.history(x.task)
	h.running = slices.DeleteFunc(h.running, func(o *execution) bool { return o == x })
}

// end ends an execution and lists its end.
func (x *execution) end(how definer.End) {
	l := x.life
	if x.over || !l.up {
		return
	}
	x.remove()
	w := l.world
	w.record(x.task, l.id, "run %d ends %s", x.number, how)
	l.running = slices.DeleteFunc(l.running, func(o *execution) bool { return o == x })
	l.highest[x.task] = max(l.highest[x.task], x.number)
	l.lastEnd++
	e := &ending{number: l.lastEnd, task: x.task, run: x.number, end: how, at: w.now}
	l.ends = append(l.ends, e)
	w.history(x.task).ends = append(w.history(x.task).ends, e)
	waiting := l.waiting
	l.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

// stop handles a stop order.
func (l *life) stop(order definer.StopOrder) reply {
	w := l.world
	if !l.admit(order.Term) {
		return reply{verdict: definer.VerdictFenced}
	}
	w.record(order.Task, l.id, "stop of run %d of term %d", order.Run, order.Term)
	l.highest[order.Task] = max(l.highest[order.Task], order.Run)
	for _, x := range l.running {
		if x.task == order.Task && x.number == order.Run {
			w.after(w.between(5*time.Millisecond, maxStopTime), func() { x.end(definer.EndStopped) })
		}
	}

	return reply{verdict: definer.VerdictDone}
}

// renew handles a renewal that was sent at the given time; the answer waits for an end.
func (l *life) renew(order definer.RenewOrder, sent definer.Instant, answer func(reply)) {
	if !l.admit(order.Term) {
		answer(reply{verdict: definer.VerdictFenced})

		return
	}
	l.extend(order.Until)
	for len(l.ends) > 0 && l.ends[0].number <= order.Acknowledged {
		e := l.ends[0]
		l.world.record(e.task, l.id, "end of run %d acknowledged by term %d", e.run, order.Term)
		l.ends = l.ends[1:]
		e.late = l.world.now.Sub(sent) > renewWait+renewSlack
		l.world.checkAcknowledged(e)
	}
	answered := false
	respond := func() {
		if !answered && l.up {
			answered = true
			answer(reply{verdict: definer.VerdictDone, report: l.report()})
		}
	}
	if len(l.ends) > 0 || order.Wait == 0 {
		respond()

		return
	}
	l.waiting = append(l.waiting, respond)
	l.world.after(order.Wait, respond)
}

// report returns the endpoint's inventory.
func (l *life) report() definer.Report {
	report := definer.Report{Clock: l.clock(), Born: l.born, MoreEnds: len(l.ends) >= l.world.listedEnds}
	for _, x := range l.running {
		percent := 50
		if !x.stalled {
			percent = int(min(99, 100*l.world.now.Sub(x.began)/x.duration))
		}
		report.Running = append(report.Running, definer.RunningTask{Task: x.task, Run: x.number, Percent: percent})
	}
	for _, e := range l.ends[:min(len(l.ends), l.world.listedEnds)] {
		report.Ended = append(report.Ended, definer.EndedTask{Number: e.number, Task: e.task, Run: e.run, End: e.end})
	}

	return report
}
