package soaker

import (
	"fmt"
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/follower"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/elector"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

var regions = []string{"costa", "sierra", "selva"}

const (
	workersPerRegion   = 4
	executorsPerRegion = 2
	slots              = 4
	service            = "lookup"
	// listRetention is how long a dead instance remains in the platform's list.
	listRetention = 2 * time.Second
)

// cluster holds the fakes, the processes under test and the state that the checks
// need.
type cluster struct {
	sim    *simulation
	ledger *ledger
	log    *fakeLog
	load   *load
	// document is the initial configuration.
	document  modeler.Document
	processes []*process
	endpoints []*fakeEndpoint
	diedAt    map[string]time.Time
	listed    []modeler.Instance
	// current is the offset of the document in force: a publication is accepted
	// only if its parent is the current offset. accepted holds the offsets of all
	// accepted publications.
	current  modeler.Offset
	newest   modeler.Document
	accepted map[modeler.Offset]bool
	records  map[string]modeler.Record
	started  int
}

func newCluster(sim *simulation) *cluster {
	c := &cluster{
		sim: sim, ledger: newLedger(sim), log: newLog(sim), diedAt: map[string]time.Time{}, document: firstDocument(),
		current: -1, accepted: map[modeler.Offset]bool{}, records: map[string]modeler.Record{},
	}
	c.load = newLoad(c)
	c.ledger.load = c.load
	c.log.appended = c.appended
	if data, err := encoder.Marshal(encoder.Publication{Parent: -1, Original: -1, Document: c.document, Time: sim.now}); err == nil {
		c.log.add(follower.Stream, data)
	}
	for region := range regions {
		for i := range workersPerRegion + executorsPerRegion {
			c.addEndpoint(region, i >= workersPerRegion)
		}
	}
	for i := range 5 {
		c.addProcess(i % len(regions))
	}
	c.listed = c.instances()
	sim.every(500*time.Millisecond, nil, func() {
		instances := c.instances()
		sim.after(sim.between(500*time.Millisecond, 1500*time.Millisecond), nil, func() { c.listed = instances })
	})
	sim.every(time.Second, nil, func() { c.log.expire(sim.now.Add(-retention)) })
	sim.every(100*time.Millisecond, nil, c.watch)
	sim.every(5*time.Second, nil, c.verifyChains)

	return c
}

// firstDocument returns a configuration with one partition per region and limits
// low enough for the load to reach them.
func firstDocument() modeler.Document {
	doc := modeler.Document{Cell: "soak", Queues: []modeler.Queue{{Name: "batch"}, {Name: "calls"}}}
	for _, region := range regions {
		doc.Partitions = append(doc.Partitions, modeler.Partition{Name: modeler.PartitionID(region + "-1"), Region: region, Weight: 1})
	}
	for i, team := range teams {
		doc.Teams = append(doc.Teams, modeler.Team{
			Name: team, Share: int64(i + 1), Keys: []modeler.Key{{Name: "main", Digest: "00"}},
			Limit: modeler.Resources{Millis: int64(14+6*i) * 1000, Memory: int64(24+8*i) << 30, Slots: int64(6 + 4*i)},
		})
	}

	return doc
}

func (c *cluster) addEndpoint(region int, executor bool) {
	c.started++
	sim := c.sim
	kind, prefix, capacity := modeler.KindWorker, "worker", modeler.Resources{Millis: 4000, Memory: 16 << 30}
	if executor {
		kind, prefix, capacity = modeler.KindExecutor, "executor", modeler.Resources{Slots: slots}
	}
	e := &fakeEndpoint{
		host:    &host{name: fmt.Sprintf("%s-%d", prefix, c.started), region: region},
		cluster: c, capacity: capacity, lenient: sim.chance(0.5), journal: map[requestKey]*requestState{},
	}
	e.instance = modeler.Instance{
		ID: modeler.InstanceID(e.name), Kind: kind, Region: regions[region], Zone: regions[region],
		Rack: fmt.Sprintf("rack-%d", c.started%2), State: modeler.StateLive,
	}
	if executor {
		e.instance.Service = service
	}
	e.partition = elector.PartitionOf(c.document, e.instance)
	e.boot()
	c.endpoints = append(c.endpoints, e)
}

func (c *cluster) addProcess(region int) {
	c.started++
	c.processes = append(c.processes, newProcess(c, fmt.Sprintf("entry-%d", c.started), region))
}

// instances returns the instances that the platform's list shows after its delay.
func (c *cluster) instances() []modeler.Instance {
	var instances []modeler.Instance
	for _, e := range c.endpoints {
		if c.visible(e.host) {
			instance := e.instance
			if !e.leavingSince.IsZero() {
				instance.State = modeler.StateLeaving
			}
			instances = append(instances, instance)
		}
	}
	for _, p := range c.processes {
		if c.visible(p.host) {
			instances = append(instances, p.instance)
		}
	}

	return instances
}

// visible reports whether a host is alive or died less than listRetention ago.
func (c *cluster) visible(h *host) bool {
	if !h.dead {
		delete(c.diedAt, h.name)

		return true
	}
	if _, ok := c.diedAt[h.name]; !ok {
		c.diedAt[h.name] = c.sim.now
	}

	return c.sim.now.Sub(c.diedAt[h.name]) < listRetention
}

// alive returns the processes that are not dead.
func (c *cluster) alive() []*process {
	return slices.DeleteFunc(slices.Clone(c.processes), func(p *process) bool { return p.dead })
}

func (c *cluster) process(id modeler.InstanceID) *process {
	for _, p := range c.processes {
		if p.instance.ID == id {
			return p
		}
	}

	return nil
}

func (c *cluster) endpoint(id modeler.InstanceID) *fakeEndpoint {
	for _, e := range c.endpoints {
		if e.instance.ID == id {
			return e
		}
	}

	return nil
}

func (c *cluster) partition(name modeler.PartitionID) modeler.Partition {
	for _, part := range c.document.Partitions {
		if part.Name == name {
			return part
		}
	}

	return modeler.Partition{}
}

// appended handles a record appended to the log. It accepts a publication of the
// configuration if its parent is the current offset, and traces the batches of
// partitions.
func (c *cluster) appended(name string, entry messenger.LogRecord) {
	if name != follower.Stream {
		c.traceBatch(name, entry)

		return
	}
	c.sim.tracef("log has %s at %d", name, entry.Offset)
	var pub encoder.Publication
	if err := encoder.Unmarshal(entry.Data, &pub); err != nil || pub.Parent != c.current {
		c.sim.tracef("configuration at %d is void", entry.Offset)

		return
	}
	c.current, c.newest = entry.Offset, pub.Document
	c.accepted[entry.Offset] = true
	c.ledger.addLimits(pub.Document)
}

// traceBatch adds the contents of a batch to the trace.
func (c *cluster) traceBatch(name string, entry messenger.LogRecord) {
	var batch encoder.Batch
	if err := encoder.Unmarshal(entry.Data, &batch); err != nil {
		c.sim.failf(checkKept, "batch at %d of %s: %v", entry.Offset, name, err)

		return
	}
	text := ""
	for _, job := range batch.Jobs {
		text += " " + string(job.ID)
	}
	for _, r := range batch.Requests {
		text += fmt.Sprintf(" %s:%s", r.Request, r.State)
	}
	for _, t := range batch.Tasks {
		text += fmt.Sprintf(" %s:%s:%d", t.Task, t.State, t.Attempt)
	}
	c.sim.tracef("log has %s at %d: term %s, batch %d of %s, claim %t, snapshot %t%s",
		name, entry.Offset, batch.Term, batch.Seq, batch.Author, batch.Claim != nil, batch.Snapshot != nil, text)
}

// watch counts the time without faults that delay the configuration and checks
// the limits of all teams.
func (c *cluster) watch() {
	undisturbed := !c.log.down && c.log.maxDelay == 0 && len(c.sim.cutRegions) == 0 && c.sim.lossShare == 0 && c.sim.lateShare == 0
	for _, p := range c.alive() {
		undisturbed = undisturbed && !p.frozenUntil.After(c.sim.now)
	}
	for _, e := range c.endpoints {
		undisturbed = undisturbed && (e.dead || !e.frozenUntil.After(c.sim.now))
	}
	if undisturbed {
		c.ledger.addUndisturbed(100 * time.Millisecond)
	}
	for _, team := range teams {
		c.ledger.checkLimit(team, modeler.Resources{Millis: 1, Memory: 1, Slots: 1}, "at rest")
	}
}

// describe returns the state of a job that should be final, as each process has
// it.
func (c *cluster) describe(j *submittedJob) string {
	text := fmt.Sprintf("job %s of %s (%s, %d tasks of %s, cancelled %t) was accepted at %s and is neither final nor running",
		j.job.ID, j.partition, j.job.Kind, j.job.Tasks, j.job.Needs, j.cancelled, j.accepted.Format("04:05.000"))
	for _, p := range c.alive() {
		n := p.node(j.partition)
		status, known := n.Job(j.job.Team, j.job.ID)
		text += fmt.Sprintf("\nat %s, owning %t: known %t, tasks %+v", p.name, n.Owning(), known, status.Tasks)
		if records := n.Records(j.job.Team, string(j.job.ID)); n.Owning() && len(records) > 0 {
			text += fmt.Sprintf(", last record %+v", records[len(records)-1])
		}
	}

	return text
}

// verifyChains checks the chains of records at every process, and that processes
// with the same chain have the same records.
func (c *cluster) verifyChains() {
	for _, p := range c.alive() {
		for _, n := range p.nodes {
			for _, team := range teams {
				records := n.Export(team)
				if len(records) == 0 {
					continue
				}
				err := chainer.Verify(records)
				c.sim.checkf(checkChain, err == nil, "records of %s in %s at %s: %v", team, n.name, p.name, err)
				for _, r := range records {
					key := fmt.Sprintf("%s %s %d", n.name, team, r.Seq)
					if known, ok := c.records[key]; ok && known.Digest != r.Digest {
						c.sim.checkf(checkChain, false, "record %s differs at %s: %+v, before %+v", key, p.name, r, known)
					}
					c.records[key] = r
				}
				c.load.verifyHeads(n, team, records)
			}
		}
	}
}
