package soaker

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// injector injects faults until it is stopped.
type injector struct {
	cluster *cluster
	world   *world
	stopped bool
}

// kinds lists the faults with their relative frequencies.
var kinds = []struct {
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
	{4, (*injector).operate},
	{2, (*injector).race},
}

// faultKinds are the names under which the faults above are counted.
var faultKinds = []string{
	"process freeze", "process crash", "drain", "log outage", "slow log", "lost append answer", "lost request", "lost answer",
	"late request", "late answer", "endpoint crash", "endpoint freeze", "endpoint leaving", "failing endpoint", "region cut",
	"cancellation wave", "limit change", "key withdrawal", "operator race",
}

// next injects a fault and sets the time of the next one.
func (i *injector) next() {
	if i.stopped {
		return
	}
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	pick := i.world.rng.IntN(total)
	for _, k := range kinds {
		if pick -= k.weight; pick < 0 {
			k.inject(i)

			break
		}
	}
	i.world.after(i.world.from(200*time.Millisecond, 3*time.Second), nil, i.next)
}

// stop ends all faults; dead processes and endpoints are replaced as usual.
func (i *injector) stop() {
	i.stopped = true
	c, w := i.cluster, i.world
	w.loss, w.late, c.log.down, c.log.slow, c.log.lose = 0, 0, false, 0, 0
	clear(w.cut)
	for _, p := range c.processes {
		p.thaw = w.now
	}
	for _, e := range c.endpoints {
		e.thaw, e.failing = w.now, false
	}
	i.publish(c.current, func(doc *modeler.Document) { *doc = c.document })
	w.tracef("faults end")
}

// process picks a live process that is not draining.
func (i *injector) process() *process {
	alive := slices.DeleteFunc(i.cluster.alive(), func(p *process) bool { return p.draining })
	if len(alive) < 3 {
		return nil
	}

	return alive[i.world.rng.IntN(len(alive))]
}

// endpoint picks a live endpoint that is not leaving.
func (i *injector) endpoint() *fakeEndpoint {
	var alive []*fakeEndpoint
	for _, e := range i.cluster.endpoints {
		if !e.dead && e.leaving.IsZero() {
			alive = append(alive, e)
		}
	}
	if len(alive) == 0 {
		return nil
	}

	return alive[i.world.rng.IntN(len(alive))]
}

func (i *injector) freezeProcess() {
	if p := i.process(); p != nil {
		p.thaw = i.world.now.Add(i.world.from(300*time.Millisecond, 9*time.Second))
		i.world.faultf("process freeze", "%s until %s", p.name, p.thaw.Format("04:05.000"))
	}
}

func (i *injector) crashProcess() {
	if p := i.process(); p != nil {
		i.world.faultf("process crash", "%s", p.name)
		p.dead = true
		i.replace(p)
	}
}

func (i *injector) drainProcess() {
	if p := i.process(); p != nil {
		i.world.faultf("drain", "%s", p.name)
		p.drain()
		i.replace(p)
	}
}

// replace starts a process with a new id in the place of another.
func (i *injector) replace(p *process) {
	i.world.after(i.world.from(200*time.Millisecond, 6*time.Second), nil, func() { i.cluster.addProcess(p.region) })
}

func (i *injector) logOutage() {
	l := i.cluster.log
	if l.down {
		return
	}
	l.down, l.silent = true, i.world.chance(0.5)
	d := i.world.from(300*time.Millisecond, 12*time.Second)
	i.world.faultf("log outage", "%s, silent %t", d, l.silent)
	i.world.after(d, nil, func() { l.down = false })
}

func (i *injector) slowLog() {
	l := i.cluster.log
	l.slow = i.world.from(100*time.Millisecond, 1500*time.Millisecond)
	i.world.faultf("slow log", "%s", l.slow)
	i.world.after(i.world.from(time.Second, 8*time.Second), nil, func() { l.slow = 0 })
}

func (i *injector) loseAppends() {
	l := i.cluster.log
	l.lose = 0.5
	i.world.after(i.world.from(500*time.Millisecond, 4*time.Second), nil, func() { l.lose = 0 })
}

func (i *injector) loseMessages() {
	i.world.loss = 0.02 + 0.3*i.world.rng.Float64()
	i.world.after(i.world.from(500*time.Millisecond, 5*time.Second), nil, func() { i.world.loss = 0 })
}

func (i *injector) delayMessages() {
	i.world.late, i.world.lateBy = 0.02+0.3*i.world.rng.Float64(), i.world.from(200*time.Millisecond, 8*time.Second)
	i.world.after(i.world.from(500*time.Millisecond, 5*time.Second), nil, func() { i.world.late = 0 })
}

func (i *injector) crashEndpoint() {
	if e := i.endpoint(); e != nil {
		i.world.faultf("endpoint crash", "%s", e.name)
		i.bury(e)
	}
}

// bury crashes an endpoint. It comes back under its id without its memory, or
// is replaced by another one.
func (i *injector) bury(e *fakeEndpoint) {
	e.crash()
	i.world.after(i.world.from(500*time.Millisecond, 10*time.Second), nil, func() {
		if e.leaving.IsZero() && i.world.chance(0.5) {
			e.boot()
			e.dead = false
			i.world.tracef("%s is up again", e.name)

			return
		}
		i.cluster.addEndpoint(e.region, e.instance.Kind == modeler.KindExecutor)
	})
}

func (i *injector) freezeEndpoint() {
	if e := i.endpoint(); e != nil {
		e.thaw = i.world.now.Add(i.world.from(300*time.Millisecond, 9*time.Second))
		i.world.faultf("endpoint freeze", "%s until %s", e.name, e.thaw.Format("04:05.000"))
	}
}

func (i *injector) leaveEndpoint() {
	if e := i.endpoint(); e != nil && !e.thaw.After(i.world.now) {
		i.world.faultf("endpoint leaving", "%s", e.name)
		e.leaving = i.world.now
		i.world.after(i.world.from(4*time.Second, 12*time.Second), nil, func() { i.bury(e) })
	}
}

func (i *injector) failEndpoint() {
	if e := i.endpoint(); e != nil {
		i.world.faultf("failing endpoint", "%s", e.name)
		e.failing = true
		i.world.after(i.world.from(time.Second, 15*time.Second), nil, func() { e.failing = false })
	}
}

func (i *injector) cutRegion() {
	region := i.world.rng.IntN(len(regions))
	i.world.cut[region] = true
	d := i.world.from(500*time.Millisecond, 15*time.Second)
	i.world.faultf("region cut", "%s for %s", regions[region], d)
	i.world.after(d, nil, func() { delete(i.world.cut, region) })
}

func (i *injector) cancel() { i.cluster.load.cancelWave() }

// operate changes a limit, or withdraws or restores a key, from the document
// that a process has in force, which may not be the newest.
func (i *injector) operate() {
	p := i.process()
	if p == nil {
		return
	}
	if _, offset, ok := p.follower.InForce(); ok {
		i.publish(offset, i.edit())
	}
}

// race lets two operators publish from the same document.
func (i *injector) race() {
	i.world.faultf("operator race", "from offset %d", i.cluster.current)
	i.publish(i.cluster.current, i.edit())
	i.publish(i.cluster.current, i.edit())
}

// edit returns a random change.
func (i *injector) edit() func(*modeler.Document) {
	team := i.world.rng.IntN(len(teams))
	if i.world.chance(0.3) {
		i.world.faultf("key withdrawal", "team %s", teams[team])

		return func(doc *modeler.Document) { doc.Teams[team].Keys[0].Withdrawn = !doc.Teams[team].Keys[0].Withdrawn }
	}
	percent := 30 + i.world.rng.Int64N(120)
	i.world.faultf("limit change", "team %s to %d percent", teams[team], percent)

	return func(doc *modeler.Document) {
		first := i.cluster.document.Teams[team].Limit
		doc.Teams[team].Limit = modeler.Resources{
			Millis: first.Millis * percent / 100, Memory: first.Memory * percent / 100, Slots: first.Slots * percent / 100,
		}
	}
}

// publish appends a changed copy of the newest document under a parent.
func (i *injector) publish(parent modeler.Offset, edit func(*modeler.Document)) {
	c, w := i.cluster, i.world
	doc := clone(c.newest)
	edit(&doc)
	data, err := encoder.Marshal(encoder.Publication{Parent: parent, Original: -1, Document: clone(doc), Time: w.now})
	if err != nil {
		w.failf(checkConfig, "document cannot be encoded: %v", err)

		return
	}
	w.call(c.load.host, c.log.host, time.Second, func(reply func(any, error)) {
		c.log.append(follower.Stream, data, reply)
	}, func(any, error) {})
}

// clone copies the parts of a document that operators change.
func clone(doc modeler.Document) modeler.Document {
	doc.Teams = slices.Clone(doc.Teams)
	for i := range doc.Teams {
		doc.Teams[i].Keys = slices.Clone(doc.Teams[i].Keys)
	}

	return doc
}
