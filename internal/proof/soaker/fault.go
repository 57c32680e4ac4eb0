package soaker

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// injector injects random faults until it is stopped.
type injector struct {
	cluster *cluster
	sim     *simulation
	stopped bool
}

// weightedFaults lists the faults with their relative frequencies.
var weightedFaults = []struct {
	weight int
	inject func(*injector)
}{
	{6, (*injector).freezeProcess},
	{4, (*injector).crashProcess},
	{2, (*injector).drainProcess},
	{3, (*injector).logOutage},
	{2, (*injector).slowLog},
	{4, (*injector).loseAppends},
	{4, (*injector).loseMessages},
	{4, (*injector).delayMessages},
	{4, (*injector).crashEndpoint},
	{5, (*injector).freezeEndpoint},
	{2, (*injector).leaveEndpoint},
	{2, (*injector).failEndpoint},
	{3, (*injector).cutRegion},
	{1, (*injector).cancel},
	{4, (*injector).changeConfiguration},
	{2, (*injector).raceOperators},
}

// faultKinds are the names under which the faults above are counted.
var faultKinds = []string{
	"process freeze", "process crash", "drain", "log outage", "slow log", "lost append answer", "lost request", "lost answer",
	"late request", "late answer", "endpoint crash", "endpoint freeze", "endpoint leaving", "failing endpoint", "region cut",
	"cancellation wave", "limit change", "key withdrawal", "operator race",
}

// injectNext injects a random fault and schedules the next one.
func (i *injector) injectNext() {
	if i.stopped {
		return
	}
	total := 0
	for _, k := range weightedFaults {
		total += k.weight
	}
	pick := i.sim.rng.IntN(total)
	for _, k := range weightedFaults {
		if pick -= k.weight; pick < 0 {
			k.inject(i)

			break
		}
	}
	i.sim.after(i.sim.between(200*time.Millisecond, 3*time.Second), nil, i.injectNext)
}

// stop ends all faults. Dead processes and endpoints are still replaced after
// their delays.
func (i *injector) stop() {
	i.stopped = true
	c, sim := i.cluster, i.sim
	sim.lossShare, sim.lateShare, c.log.down, c.log.maxDelay, c.log.lostAnswerShare = 0, 0, false, 0, 0
	clear(sim.cutRegions)
	for _, p := range c.processes {
		p.frozenUntil = sim.now
	}
	for _, e := range c.endpoints {
		e.frozenUntil, e.failing = sim.now, false
	}
	i.publish(c.current, func(doc *modeler.Document) { *doc = c.document })
	sim.tracef("faults end")
}

// process returns a random live process that is not draining, or nil if fewer
// than three remain.
func (i *injector) process() *process {
	alive := slices.DeleteFunc(i.cluster.alive(), func(p *process) bool { return p.draining })
	if len(alive) < 3 {
		return nil
	}

	return alive[i.sim.rng.IntN(len(alive))]
}

// endpoint returns a random live endpoint that is not leaving, or nil.
func (i *injector) endpoint() *fakeEndpoint {
	var alive []*fakeEndpoint
	for _, e := range i.cluster.endpoints {
		if !e.dead && e.leavingSince.IsZero() {
			alive = append(alive, e)
		}
	}
	if len(alive) == 0 {
		return nil
	}

	return alive[i.sim.rng.IntN(len(alive))]
}

func (i *injector) freezeProcess() {
	if p := i.process(); p != nil {
		p.frozenUntil = i.sim.now.Add(i.sim.between(300*time.Millisecond, 9*time.Second))
		i.sim.faultf("process freeze", "%s until %s", p.name, p.frozenUntil.Format("04:05.000"))
	}
}

func (i *injector) crashProcess() {
	if p := i.process(); p != nil {
		i.sim.faultf("process crash", "%s", p.name)
		p.dead = true
		i.replace(p)
	}
}

func (i *injector) drainProcess() {
	if p := i.process(); p != nil {
		i.sim.faultf("drain", "%s", p.name)
		p.drain()
		i.replace(p)
	}
}

// replace starts a process with a new id in the region of another one after a
// delay.
func (i *injector) replace(p *process) {
	i.sim.after(i.sim.between(200*time.Millisecond, 6*time.Second), nil, func() { i.cluster.addProcess(p.region) })
}

func (i *injector) logOutage() {
	l := i.cluster.log
	if l.down {
		return
	}
	l.down, l.silent = true, i.sim.chance(0.5)
	d := i.sim.between(300*time.Millisecond, 12*time.Second)
	i.sim.faultf("log outage", "%s, silent %t", d, l.silent)
	i.sim.after(d, nil, func() { l.down = false })
}

func (i *injector) slowLog() {
	l := i.cluster.log
	l.maxDelay = i.sim.between(100*time.Millisecond, 1500*time.Millisecond)
	i.sim.faultf("slow log", "%s", l.maxDelay)
	i.sim.after(i.sim.between(time.Second, 8*time.Second), nil, func() { l.maxDelay = 0 })
}

func (i *injector) loseAppends() {
	l := i.cluster.log
	l.lostAnswerShare = 0.5
	i.sim.after(i.sim.between(500*time.Millisecond, 4*time.Second), nil, func() { l.lostAnswerShare = 0 })
}

func (i *injector) loseMessages() {
	i.sim.lossShare = 0.02 + 0.3*i.sim.rng.Float64()
	i.sim.after(i.sim.between(500*time.Millisecond, 5*time.Second), nil, func() { i.sim.lossShare = 0 })
}

func (i *injector) delayMessages() {
	i.sim.lateShare, i.sim.lateDelay = 0.02+0.3*i.sim.rng.Float64(), i.sim.between(200*time.Millisecond, 8*time.Second)
	i.sim.after(i.sim.between(500*time.Millisecond, 5*time.Second), nil, func() { i.sim.lateShare = 0 })
}

func (i *injector) crashEndpoint() {
	if e := i.endpoint(); e != nil {
		i.sim.faultf("endpoint crash", "%s", e.name)
		i.crashAndReplace(e)
	}
}

// crashAndReplace crashes an endpoint. After a delay it is reset and restarts under
// the same id, or is replaced by another one; an endpoint that was leaving is
// always replaced.
func (i *injector) crashAndReplace(e *fakeEndpoint) {
	e.crash()
	i.sim.after(i.sim.between(500*time.Millisecond, 10*time.Second), nil, func() {
		if e.leavingSince.IsZero() && i.sim.chance(0.5) {
			e.boot()
			e.dead = false
			i.sim.tracef("%s is up again", e.name)

			return
		}
		i.cluster.addEndpoint(e.region, e.instance.Kind == modeler.KindExecutor)
	})
}

func (i *injector) freezeEndpoint() {
	if e := i.endpoint(); e != nil {
		e.frozenUntil = i.sim.now.Add(i.sim.between(300*time.Millisecond, 9*time.Second))
		i.sim.faultf("endpoint freeze", "%s until %s", e.name, e.frozenUntil.Format("04:05.000"))
	}
}

func (i *injector) leaveEndpoint() {
	if e := i.endpoint(); e != nil && !e.frozenUntil.After(i.sim.now) {
		i.sim.faultf("endpoint leaving", "%s", e.name)
		e.leavingSince = i.sim.now
		i.sim.after(i.sim.between(4*time.Second, 12*time.Second), nil, func() { i.crashAndReplace(e) })
	}
}

func (i *injector) failEndpoint() {
	if e := i.endpoint(); e != nil {
		i.sim.faultf("failing endpoint", "%s", e.name)
		e.failing = true
		i.sim.after(i.sim.between(time.Second, 15*time.Second), nil, func() { e.failing = false })
	}
}

func (i *injector) cutRegion() {
	region := i.sim.rng.IntN(len(regions))
	i.sim.cutRegions[region] = true
	d := i.sim.between(500*time.Millisecond, 15*time.Second)
	i.sim.faultf("region cut", "%s for %s", regions[region], d)
	i.sim.after(d, nil, func() { delete(i.sim.cutRegions, region) })
}

func (i *injector) cancel() { i.cluster.load.cancelWave() }

// changeConfiguration changes a limit, or withdraws or restores a key. The parent
// is the document that a random process has in force, which may be outdated.
func (i *injector) changeConfiguration() {
	p := i.process()
	if p == nil {
		return
	}
	if _, offset, ok := p.follower.InForce(); ok {
		i.publish(offset, i.randomEdit())
	}
}

// raceOperators publishes two changes with the same parent, as two concurrent
// operators do.
func (i *injector) raceOperators() {
	i.sim.faultf("operator race", "from offset %d", i.cluster.current)
	i.publish(i.cluster.current, i.randomEdit())
	i.publish(i.cluster.current, i.randomEdit())
}

// randomEdit returns a random change of a document.
func (i *injector) randomEdit() func(*modeler.Document) {
	team := i.sim.rng.IntN(len(teams))
	if i.sim.chance(0.3) {
		i.sim.faultf("key withdrawal", "team %s", teams[team])

		return func(doc *modeler.Document) { doc.Teams[team].Keys[0].Withdrawn = !doc.Teams[team].Keys[0].Withdrawn }
	}
	percent := 30 + i.sim.rng.Int64N(120)
	i.sim.faultf("limit change", "team %s to %d percent", teams[team], percent)

	return func(doc *modeler.Document) {
		original := i.cluster.document.Teams[team].Limit
		doc.Teams[team].Limit = modeler.Resources{
			Millis: original.Millis * percent / 100, Memory: original.Memory * percent / 100, Slots: original.Slots * percent / 100,
		}
	}
}

// publish appends a changed copy of the newest document with the given parent.
func (i *injector) publish(parent modeler.Offset, edit func(*modeler.Document)) {
	c, sim := i.cluster, i.sim
	doc := cloneDocument(c.newest)
	edit(&doc)
	data, err := encoder.Marshal(encoder.Publication{Parent: parent, Original: -1, Document: cloneDocument(doc), Time: sim.now})
	if err != nil {
		sim.failf(checkConfig, "document cannot be encoded: %v", err)

		return
	}
	sim.call(c.load.host, c.log.host, time.Second, func(reply func(any, error)) {
		c.log.append(follower.Stream, data, reply)
	}, func(any, error) {})
}

// cloneDocument returns a copy of a document that shares no part that operators
// change.
func cloneDocument(doc modeler.Document) modeler.Document {
	doc.Teams = slices.Clone(doc.Teams)
	for i := range doc.Teams {
		doc.Teams[i].Keys = slices.Clone(doc.Teams[i].Keys)
	}

	return doc
}
