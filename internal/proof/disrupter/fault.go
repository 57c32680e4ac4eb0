package disrupter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
	"gitlab.com/greengagewall/greengagewall/internal/standin/storer"
)

const (
	// gapMost bounds the pause between two faults, which may overlap.
	gapMost = 1200 * time.Millisecond
	// faultLeast and faultMost bound how long a fault holds.
	faultLeast = 300 * time.Millisecond
	faultMost  = 5 * time.Second
	// drainTime is how long a draining endpoint still runs.
	drainTime = 2 * time.Second
	// beatEvery is how often endpoints write to the list.
	beatEvery = 500 * time.Millisecond
	// restartMost bounds the time until an ended process is started again.
	restartMost = 1500 * time.Millisecond
)

// fault disturbs something for a while.
type fault struct {
	name  string
	apply func(d *disruption, length time.Duration)
}

// faults are all kinds of disturbances.
var faults = []fault{
	{"kill entry", func(d *disruption, _ time.Duration) { d.end(d.entry(), syscall.SIGKILL) }},
	{"kill owner", func(d *disruption, _ time.Duration) { d.end(d.owner(), syscall.SIGKILL) }},
	{"stop owner", func(d *disruption, _ time.Duration) { d.end(d.owner(), syscall.SIGTERM) }},
	{"pause owner", func(d *disruption, length time.Duration) { d.pause(d.owner(), length) }},
	{"cut owner from store", func(d *disruption, length time.Duration) { d.disturb(d.owner().route, relayer.ModeCut, length) }},
	{"stop entry", func(d *disruption, _ time.Duration) { d.end(d.entry(), syscall.SIGTERM) }},
	{"kill most entries", func(d *disruption, _ time.Duration) {
		for range len(d.cluster.entries) - 1 {
			d.end(d.entry(), syscall.SIGKILL)
		}
	}},
	{"pause entry", func(d *disruption, length time.Duration) { d.pause(d.entry(), length) }},
	{"cut entry from store", func(d *disruption, length time.Duration) { d.disturb(d.entry().route, relayer.ModeCut, length) }},
	{"freeze entry's link to store", func(d *disruption, length time.Duration) { d.disturb(d.entry().route, relayer.ModeFreeze, length) }},
	{"silence entry's connections to store", func(d *disruption, length time.Duration) { d.disturb(d.entry().route, relayer.ModeSilence, length) }},
	{"delay entry's link to store", func(d *disruption, length time.Duration) {
		route := d.entry().route
		_ = route.Set(relayer.Settings{Delay: injector.Duration(100 * time.Millisecond)})
		d.later(length, func() { _ = route.Set(relayer.Settings{}) })
	}},
	{"cut endpoint", func(d *disruption, length time.Duration) { d.disturb(d.host().route, relayer.ModeCut, length) }},
	{"freeze endpoint's link", func(d *disruption, length time.Duration) { d.disturb(d.host().route, relayer.ModeFreeze, length) }},
	{"silence endpoint's connections", func(d *disruption, length time.Duration) { d.disturb(d.host().route, relayer.ModeSilence, length) }},
	{"crash endpoint", func(d *disruption, _ time.Duration) {
		h := d.host()
		h.endpoint.Crash(true)
		d.cluster.report(h)
	}},
	{"drain endpoint", (*disruption).drain},
	{"store busy", func(d *disruption, length time.Duration) { d.store(storer.Faults{Unavailable: true}, length) }},
	{"store slow", func(d *disruption, length time.Duration) {
		d.store(storer.Faults{Delay: 200 * time.Millisecond}, length)
	}},
	{"store loses answers", func(d *disruption, length time.Duration) { d.store(storer.Faults{LostAnswerShare: 0.3}, length) }},
	{"store is late", func(d *disruption, length time.Duration) {
		d.store(storer.Faults{LateShare: 0.3, LateDelay: 1500 * time.Millisecond}, length)
	}},
	{"store forgets", func(d *disruption, _ time.Duration) { d.cluster.store.Truncate() }},
	{"change configuration", func(d *disruption, _ time.Duration) { d.cluster.configure(false) }},
	{"withdraw key while an entry is cut from the store", func(d *disruption, _ time.Duration) {
		d.disturb(d.entry().route, relayer.ModeFreeze, 2*revokeBound)
		d.cluster.configure(true)
	}},
}

// disruption applies faults at random.
type disruption struct {
	cluster *cluster
	random  *rand.Rand
	added   int
	counts  map[string]int
	report  func(format string, args ...any)
	pending chan func()
	timers  []*time.Timer
	// ending holds the processes that were told to end.
	ending map[*launcher.Process]bool
}

// loop disturbs the cluster until stop is closed, and then heals it.
func (d *disruption) loop(ctx context.Context, stop <-chan struct{}) {
	defer d.heal()
	for {
		pause := time.NewTimer(time.Duration(d.random.Int64N(int64(gapMost))))
		for waiting := true; waiting; {
			select {
			case <-stop:
				return
			case <-ctx.Done():
				return
			case undo := <-d.pending:
				undo()
			case <-pause.C:
				waiting = false
			}
		}
		chosen := faults[d.random.IntN(len(faults))]
		length := faultLeast + time.Duration(d.random.Int64N(int64(faultMost-faultLeast)))
		d.report("%s for %s", chosen.name, length.Round(time.Millisecond))
		d.counts[chosen.name]++
		chosen.apply(d, length)
	}
}

// later undoes a fault on the goroutine of loop.
func (d *disruption) later(after time.Duration, undo func()) {
	d.timers = append(d.timers, time.AfterFunc(after, func() { d.pending <- undo }))
}

// heal undoes all faults.
func (d *disruption) heal() {
	for _, timer := range d.timers {
		timer.Stop()
	}
	for healing := true; healing; {
		select {
		case undo := <-d.pending:
			undo()
		default:
			healing = false
		}
	}
	d.cluster.store.SetFaults(storer.Faults{})
	for _, e := range d.cluster.entries {
		_ = e.route.Set(relayer.Settings{})
		process := e.running()
		process.Resume()
		if d.ending[process] {
			process.Stop(graceTime)
		}
		if process.Alive() {
			continue
		}
		if err := d.cluster.start(e); err != nil {
			d.report("%s not started: %v", e.name, err)
		}
	}
	for _, h := range d.cluster.hosts {
		_ = h.route.Set(relayer.Settings{})
	}
	d.report("healed")
}

func (d *disruption) entry() *entry {
	return d.cluster.entries[d.random.IntN(len(d.cluster.entries))]
}

// owner returns the entry instance that last appended under a condition.
func (d *disruption) owner() *entry {
	for _, e := range d.cluster.entries {
		if e.name == d.cluster.store.LastCaller() {
			return e
		}
	}

	return d.entry()
}

// pause stops a process without its knowledge for a while.
func (d *disruption) pause(e *entry, length time.Duration) {
	process := e.running()
	process.Pause()
	d.later(length, process.Resume)
}

// host returns an endpoint that is not leaving.
func (d *disruption) host() *host {
	for {
		h := d.cluster.hosts[d.random.IntN(len(d.cluster.hosts))]
		h.mu.Lock()
		staying := !h.draining
		h.mu.Unlock()
		if staying {
			return h
		}
	}
}

// end ends a process and starts it again a little later.
func (d *disruption) end(e *entry, signal syscall.Signal) {
	process := e.running()
	if !process.Alive() || d.ending[process] {
		return
	}
	d.ending[process] = true
	if signal == syscall.SIGKILL {
		process.Kill()
	} else {
		go process.Stop(graceTime)
	}
	d.again(e)
}

// again starts an entry instance once its process has ended.
func (d *disruption) again(e *entry) {
	d.later(time.Duration(d.random.Int64N(int64(restartMost))), func() {
		if e.running().Alive() {
			d.again(e)

			return
		}
		if err := d.cluster.start(e); err != nil {
			d.report("%s not started: %v", e.name, err)
		}
	})
}

// disturb sets a mode of a route for a while.
func (d *disruption) disturb(route *relayer.Route, mode relayer.Mode, length time.Duration) {
	_ = route.Set(relayer.Settings{Mode: mode})
	d.later(length, func() { _ = route.Set(relayer.Settings{}) })
}

// store sets faults of the store for a while.
func (d *disruption) store(faults storer.Faults, length time.Duration) {
	d.cluster.store.SetFaults(faults)
	d.later(length, func() { d.cluster.store.SetFaults(storer.Faults{}) })
}

// drain makes an endpoint leave for good; another one comes.
func (d *disruption) drain(_ time.Duration) {
	h := d.host()
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	d.cluster.report(h)
	d.later(drainTime, func() {
		h.endpoint.Crash(false)
		_ = h.route.Set(relayer.Settings{Mode: relayer.ModeCut})
		h.mu.Lock()
		h.gone = true
		h.mu.Unlock()
		d.cluster.report(h)
	})
	d.added++
	if err := d.cluster.addHost(context.Background(), d.cluster.settings.Endpoints+d.added); err != nil {
		d.report("no endpoint added: %v", err)
	}
}

// loop lets the endpoints write to the list until stop is closed.
func (c *cluster) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		hosts := append([]*host(nil), c.hosts...)
		c.mu.Unlock()
		for _, h := range hosts {
			h.mu.Lock()
			quiet := h.gone || h.draining
			h.mu.Unlock()
			if !quiet {
				c.report(h)
			}
		}
	}
}

// describe lists counts by name.
func describe(counts map[string]int) string {
	text := ""
	for _, f := range faults {
		if counts[f.name] > 0 {
			text += fmt.Sprintf("  %-40s %d\n", f.name, counts[f.name])
		}
	}

	return text
}
