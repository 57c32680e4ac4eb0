package disrupter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/proof/launcher"
	"gitlab.com/greengagewall/greengagewall/internal/standin/injector"
	"gitlab.com/greengagewall/greengagewall/internal/standin/relayer"
	"gitlab.com/greengagewall/greengagewall/internal/standin/storer"
)

const (
	// maxFaultInterval bounds the time from one fault to the next; faults may
	// overlap.
	maxFaultInterval = 1200 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// drainDuration is how long a draining endpoint keeps running.
	drainDuration = 2 * time.Second
	// heartbeatInterval is the interval at which endpoints write to the list.
	heartbeatInterval = 500 * time.Millisecond
	// maxRestartDelay bounds the delay before a check whether a stopped process can
	// be started again.
	maxRestartDelay = 1500 * time.Millisecond
)

// fault is a kind of fault; apply injects it for a duration.
type fault struct {
	name  string
	apply func(i *faultInjector, duration time.Duration)
}

// faults lists all kinds of faults.
var faults = []fault{
	{"kill entry", func(i *faultInjector, _ time.Duration) { i.stopProcess(i.randomEntry(), syscall.SIGKILL) }},
	{"kill owner", func(i *faultInjector, _ time.Duration) { i.stopProcess(i.owner(), syscall.SIGKILL) }},
	{"stop owner", func(i *faultInjector, _ time.Duration) { i.stopProcess(i.owner(), syscall.SIGTERM) }},
	{"pause owner", func(i *faultInjector, duration time.Duration) { i.pause(i.owner(), duration) }},
	{"cut owner from store", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.owner().route, relayer.ModeCut, duration)
	}},
	{"stop entry", func(i *faultInjector, _ time.Duration) { i.stopProcess(i.randomEntry(), syscall.SIGTERM) }},
	{"kill most entries", func(i *faultInjector, _ time.Duration) {
		for range len(i.cluster.entries) - 1 {
			i.stopProcess(i.randomEntry(), syscall.SIGKILL)
		}
	}},
	{"pause entry", func(i *faultInjector, duration time.Duration) { i.pause(i.randomEntry(), duration) }},
	{"cut entry from store", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomEntry().route, relayer.ModeCut, duration)
	}},
	{"freeze entry's link to store", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomEntry().route, relayer.ModeFreeze, duration)
	}},
	{"silence entry's connections to store", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomEntry().route, relayer.ModeSilence, duration)
	}},
	{"delay entry's link to store", func(i *faultInjector, duration time.Duration) {
		route := i.randomEntry().route
		_ = route.Set(relayer.Settings{Delay: injector.Duration(100 * time.Millisecond)})
		i.callAfter(duration, func() { _ = route.Set(relayer.Settings{}) })
	}},
	{"cut endpoint", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomHost().route, relayer.ModeCut, duration)
	}},
	{"freeze endpoint's link", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomHost().route, relayer.ModeFreeze, duration)
	}},
	{"silence endpoint's connections", func(i *faultInjector, duration time.Duration) {
		i.setRouteMode(i.randomHost().route, relayer.ModeSilence, duration)
	}},
	{"crash endpoint", func(i *faultInjector, _ time.Duration) {
		h := i.randomHost()
		h.endpoint.Crash(true)
		i.cluster.publishEndpoint(h)
	}},
	{"drain endpoint", (*faultInjector).drainEndpoint},
	{"store busy", func(i *faultInjector, duration time.Duration) {
		i.setStoreFaults(storer.Faults{Unavailable: true}, duration)
	}},
	{"store slow", func(i *faultInjector, duration time.Duration) {
		i.setStoreFaults(storer.Faults{Delay: 200 * time.Millisecond}, duration)
	}},
	{"store loses answers", func(i *faultInjector, duration time.Duration) {
		i.setStoreFaults(storer.Faults{LostAnswerShare: 0.3}, duration)
	}},
	{"store is late", func(i *faultInjector, duration time.Duration) {
		i.setStoreFaults(storer.Faults{LateShare: 0.3, LateDelay: 1500 * time.Millisecond}, duration)
	}},
	{"store forgets", func(i *faultInjector, _ time.Duration) { i.cluster.store.Truncate() }},
	{"change configuration", func(i *faultInjector, _ time.Duration) { i.cluster.publishConfig(false) }},
	{"withdraw key while an entry is cut from the store", func(i *faultInjector, _ time.Duration) {
		i.setRouteMode(i.randomEntry().route, relayer.ModeFreeze, 2*revokeBound)
		i.cluster.publishConfig(true)
	}},
}

// faultInjector injects random faults into a cluster.
type faultInjector struct {
	cluster *cluster
	clients *clients
	mix     Mix
	random  *rand.Rand
	// evacuator evacuates zones beside the faults, or is nil.
	evacuator *evacuator
	// bursts are the clients of the jobs that a fault submits.
	bursts sync.WaitGroup
	// addedHosts counts the endpoints added in place of drained ones.
	addedHosts int
	counts     map[string]int
	// disturbance tells whether a fault is under way.
	disturbance disturbance
	logf        func(format string, args ...any)
	// steps receives the functions that end a fault when its duration is over, and
	// those that inject the next fault of a series.
	steps  chan func()
	timers []*time.Timer
	// stopping holds the processes that were killed or asked to stop.
	stopping map[*launcher.Process]bool
}

// run injects faults until stop is closed or ctx ends, and then undoes them.
func (i *faultInjector) run(ctx context.Context, stop <-chan struct{}) {
	defer i.bursts.Wait()
	defer i.undoAll()
	catalogue := i.mix.faults()
	if i.evacuator != nil {
		i.evacuator.scheduleNext()
	}
	for {
		timer := time.NewTimer(i.mix.interval(i.random))
		for waiting := true; waiting; {
			select {
			case <-stop:
				return
			case <-ctx.Done():
				return
			case step := <-i.steps:
				step()
			case <-timer.C:
				waiting = false
			}
		}
		i.checkProcesses()
		chosen := catalogue[i.random.IntN(len(catalogue))]
		duration := minFaultDuration + time.Duration(i.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		i.logf("%s, duration %s if it takes one", chosen.name, duration.Round(time.Millisecond))
		i.counts[chosen.name]++
		i.disturbance.touch()
		chosen.apply(i, duration)
	}
}

// callAfter calls a function that ends a fault, or that injects the next one of a
// series, after a delay and on the goroutine of run.
func (i *faultInjector) callAfter(delay time.Duration, step func()) {
	i.disturbance.begin()
	i.timers = append(i.timers, time.AfterFunc(delay, func() {
		i.steps <- func() {
			step()
			i.disturbance.end()
		}
	}))
}

// undoAll undoes all faults and restarts processes that do not run.
func (i *faultInjector) undoAll() {
	i.checkProcesses()
	for _, timer := range i.timers {
		timer.Stop()
	}
	for pending := true; pending; {
		select {
		case step := <-i.steps:
			step()
		default:
			pending = false
		}
	}
	if i.evacuator != nil {
		i.evacuator.withdrawAll()
	}
	i.cluster.store.SetFaults(storer.Faults{})
	i.cluster.zones.storeRefuses(false, time.Now())
	for _, e := range i.cluster.entries {
		_ = e.route.Set(relayer.Settings{})
		_ = e.policyRoute.Set(relayer.Settings{})
		process := e.currentProcess()
		process.Resume()
		if i.stopping[process] {
			process.Stop(gracePeriod)
		}
		if process.Alive() {
			continue
		}
		if err := i.cluster.startProcess(e); err != nil {
			i.logf("%s not started: %v", e.name, err)
		}
	}
	for _, h := range i.cluster.hosts {
		_ = h.route.Set(relayer.Settings{})
	}
	i.disturbance.clear()
	i.logf("healed")
}

// randomEntry returns a random entry instance.
func (i *faultInjector) randomEntry() *entry {
	return i.cluster.entries[i.random.IntN(len(i.cluster.entries))]
}

// owner returns the entry instance that made the last successful conditional
// append to the store, which is the owner of the cell, or a random one if there
// is none.
func (i *faultInjector) owner() *entry {
	for _, e := range i.cluster.entries {
		if e.name == i.cluster.store.LastCaller() {
			return e
		}
	}

	return i.randomEntry()
}

// pause suspends the process of an entry instance for a duration.
func (i *faultInjector) pause(e *entry, duration time.Duration) {
	process := e.currentProcess()
	process.Pause()
	i.callAfter(duration, process.Resume)
}

// randomHost returns a random endpoint that is neither draining nor removed.
func (i *faultInjector) randomHost() *host {
	for {
		h := i.cluster.hosts[i.random.IntN(len(i.cluster.hosts))]
		if h.available() {
			return h
		}
	}
}

// available reports whether the endpoint is neither draining nor removed.
func (h *host) available() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return !h.draining && !h.removed
}

// stopProcess stops the process of an entry instance and restarts it after a
// random delay.
func (i *faultInjector) stopProcess(e *entry, signal syscall.Signal) {
	process := e.currentProcess()
	if !process.Alive() || i.stopping[process] {
		return
	}
	i.stopping[process] = true
	if signal == syscall.SIGKILL {
		process.Kill()
	} else {
		go process.Stop(gracePeriod)
	}
	i.restart(e)
}

// restart starts an entry instance once its process has ended.
func (i *faultInjector) restart(e *entry) {
	i.callAfter(time.Duration(i.random.Int64N(int64(maxRestartDelay))), func() {
		if e.currentProcess().Alive() {
			i.restart(e)

			return
		}
		if err := i.cluster.startProcess(e); err != nil {
			i.logf("%s not started: %v", e.name, err)
		}
	})
}

// setRouteMode sets the mode of a route for a duration.
func (i *faultInjector) setRouteMode(route *relayer.Route, mode relayer.Mode, duration time.Duration) {
	_ = route.Set(relayer.Settings{Mode: mode})
	i.callAfter(duration, func() { _ = route.Set(relayer.Settings{}) })
}

// setStoreFaults sets the faults of the store for a duration.
func (i *faultInjector) setStoreFaults(faults storer.Faults, duration time.Duration) {
	setFaults := func(faults storer.Faults) {
		i.cluster.store.SetFaults(faults)
		i.cluster.zones.storeRefuses(faults.Unavailable, time.Now())
	}
	setFaults(faults)
	i.callAfter(duration, func() { setFaults(storer.Faults{}) })
}

// drainEndpoint drains and removes a random endpoint and adds another one.
func (i *faultInjector) drainEndpoint(_ time.Duration) {
	h := i.randomHost()
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	i.cluster.publishEndpoint(h)
	i.callAfter(drainDuration, func() {
		h.endpoint.Crash(false)
		_ = h.route.Set(relayer.Settings{Mode: relayer.ModeCut})
		h.mu.Lock()
		h.removed = true
		h.mu.Unlock()
		i.cluster.publishEndpoint(h)
	})
	i.replaceHost()
}

// replaceHost adds an endpoint in place of one that is removed.
func (i *faultInjector) replaceHost() {
	i.addedHosts++
	if err := i.cluster.addHost(context.Background(), i.cluster.settings.Endpoints+i.addedHosts); err != nil {
		i.logf("no endpoint added: %v", err)
	}
}

// loop writes all endpoints to the list at heartbeatInterval until
// stop is closed. Draining and removed endpoints are skipped.
func (c *cluster) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
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
			if h.available() {
				c.publishEndpoint(h)
			}
		}
	}
}

// formatCounts lists the counts of the injected faults by name.
func formatCounts(counts map[string]int) string {
	text := ""
	for _, f := range slices.Concat(MixAll.faults(), manyEnds, policyFaults) {
		if counts[f.name] > 0 {
			text += fmt.Sprintf("  %-40s %d\n", f.name, counts[f.name])
		}
	}
	for _, name := range evacuationFaults {
		if counts[name] > 0 {
			text += fmt.Sprintf("  %-40s %d\n", name, counts[name])
		}
	}

	return text
}
