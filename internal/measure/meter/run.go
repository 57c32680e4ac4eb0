package meter

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/core/accountant"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/measure/generator"
)

const (
	// startDelay is the time from a start command until the task runs: one
	// round trip inside a region.
	startDelay = 3 * time.Millisecond
	// checkpointDelay is the time that a checkpoint takes, and checkpointOK the
	// part of the checkpoints that succeed.
	checkpointDelay = time.Second
	checkpointOK    = 0.9
	// failDelay is how long a task runs on a failing worker or when broken.
	failDelay = 3 * time.Second
	// decideEvery is the shortest time between two passes.
	decideEvery = 20 * time.Millisecond
	// idleEvery is the time between passes while nothing happens.
	idleEvery   = time.Second
	usageEvery  = 10 * time.Second
	sampleEvery = 5 * time.Second
	passBudget  = 256
)

// event is something that happens at a virtual time.
type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	// task and attempt belong to ends, item to arrivals and cancellations.
	task    modeler.TaskID
	attempt int
	item    int
	end     scheduler.EndedMsg
}

type eventKind int

const (
	eventArrive eventKind = iota
	eventCancel
	eventEnd
	eventUsage
	eventSample
	eventDecide
)

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}

	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

// active is a task that runs.
type active struct {
	item, index int
	worker      int
	attempt     int
	began       time.Duration
	stopped     bool
}

// run is one policy on one deployment.
type run struct {
	generator.Deployment
	policy    Policy
	core      *scheduler.Scheduler
	script    script
	random    *rand.Rand
	queue     events
	seq       uint64
	now       time.Duration
	decideAt  time.Duration
	decided   time.Duration
	numbers   map[modeler.JobID]int
	progress  []jobProgress
	running   map[modeler.TaskID]*active
	workers   map[modeler.InstanceID]int
	used      []modeler.Resources
	faults    int64
	lost      time.Duration
	processor time.Duration
	preempted uint64
	samples   sampler
}

// jobProgress is what the meter knows of a job.
type jobProgress struct {
	waits []time.Duration
	// kept is the run time that checkpoints kept, by task.
	kept      map[int]time.Duration
	open      int
	failed    int
	finished  time.Duration
	begun     bool
	cancelled bool
}

// lose records that a task has ended for good without success.
func (p *jobProgress) lose() {
	p.open--
	p.failed++
}

func newRun(deployment generator.Deployment, policy Policy) *run {
	return &run{
		Deployment: deployment, policy: policy, core: scheduler.New(scheduler.WithSettings(policy.Settings)),
		random: rand.New(rand.NewPCG(1, 2)), numbers: make(map[modeler.JobID]int, len(deployment.Items)),
		progress: make([]jobProgress, len(deployment.Items)), running: make(map[modeler.TaskID]*active),
		workers: make(map[modeler.InstanceID]int), used: make([]modeler.Resources, len(deployment.Workers)),
		decideAt: -1, faults: scheduler.Violations() + accountant.Violations(), samples: newSampler(deployment),
	}
}

// drive plays the stream to its end.
func (r *run) drive(ctx context.Context) error {
	r.prepare()
	for r.queue.Len() > 0 {
		if err := ctx.Err(); err != nil {
			return err
		}
		e := heap.Pop(&r.queue).(event)
		if e.at > r.Length {
			break
		}
		r.now = e.at
		r.handle(e)
	}

	return nil
}

// prepare tells the core of workers and teams and plans the stream.
func (r *run) prepare() {
	for i, w := range r.Workers {
		r.workers[w.ID] = i
		r.send(scheduler.EndpointMsg{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity, Usable: true})
	}
	for _, team := range r.Teams {
		r.send(scheduler.TeamMsg{ID: team.ID, Share: team.Share, Allotment: team.Allotment})
	}
	for i, item := range r.Items {
		r.numbers[item.Job.ID] = i
		r.plan(event{at: item.Arrival, kind: eventArrive, item: i})
		if item.CancelAt > 0 {
			r.plan(event{at: item.CancelAt, kind: eventCancel, item: i})
		}
	}
	for at := usageEvery; at < r.Length; at += usageEvery {
		r.plan(event{at: at, kind: eventUsage})
	}
	for at := sampleEvery; at < r.Length; at += sampleEvery {
		r.plan(event{at: at, kind: eventSample})
	}
	r.wake(0)
}

func (r *run) plan(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.queue, e)
}

// wake plans a pass unless one is planned by then.
func (r *run) wake(at time.Duration) {
	if r.decideAt >= 0 && r.decideAt <= at {
		return
	}
	r.decideAt = at
	r.plan(event{at: at, kind: eventDecide})
}

func (r *run) handle(e event) {
	switch e.kind {
	case eventArrive:
		item := &r.Items[e.item]
		r.progress[e.item] = jobProgress{open: item.Job.Tasks, finished: -1}
		r.send(scheduler.JobMsg{Job: item.Job})
	case eventCancel:
		r.cancel(e.item)
	case eventEnd:
		r.endTask(e)
	case eventUsage:
		for i, worker := range r.Workers {
			r.send(scheduler.UsageMsg{Endpoint: worker.ID, Usage: r.used[i]})
		}

		return
	case eventSample:
		r.samples.take(r)

		return
	case eventDecide:
		if e.at != r.decideAt {
			return
		}
		r.decideAt, r.decided = -1, r.now
		r.send(scheduler.DecideMsg{Budget: passBudget})
		r.wake(r.now + idleEvery)

		return
	}
	r.wake(max(r.now, r.decided+decideEvery))
}

// send applies a message to the core and carries out its commands.
func (r *run) send(msg scheduler.Msg) {
	now := r.Start.Add(r.now)
	r.script.record(msg, now)
	for _, command := range r.core.Update(msg, now) {
		switch c := command.(type) {
		case scheduler.StartCmd:
			r.startTask(c)
		case scheduler.StopCmd:
			r.stopTask(c)
		case scheduler.RecordCmd:
			if c.Event == modeler.EventFailed && c.Task != "" {
				r.progress[r.numbers[c.Job]].lose()
			}
		}
	}
}

func (r *run) startTask(c scheduler.StartCmd) {
	number := r.numbers[c.Job.ID]
	_, index, _ := scheduler.ParseTaskID(c.Task)
	item, p := &r.Items[number], &r.progress[number]
	worker := r.workers[c.Endpoint]
	r.running[c.Task] = &active{item: number, index: index, worker: worker, attempt: c.Attempt, began: r.now}
	r.used[worker] = r.used[worker].Add(item.Usage)
	if c.Attempt == 1 {
		p.waits = append(p.waits, r.now-item.Arrival)
		p.begun = true
	}
	end := scheduler.EndedMsg{Task: c.Task, Attempt: c.Attempt, Result: scheduler.ResultOK, PeakUsage: item.Usage}
	length := item.Runtimes[index] - p.kept[index]
	if item.AlwaysFails || r.failing(worker) {
		end.Result, end.Cause, length = scheduler.ResultFailed, "exit status 1", min(failDelay, length)
	}
	r.plan(event{at: r.now + startDelay + length, kind: eventEnd, task: c.Task, attempt: c.Attempt, end: end})
}

// failing reports whether a worker fails every task now.
func (r *run) failing(worker int) bool {
	for _, f := range r.Failures {
		if f.Worker == worker && f.From <= r.now && r.now < f.To {
			return true
		}
	}

	return false
}

func (r *run) stopTask(c scheduler.StopCmd) {
	a, known := r.running[c.Task]
	if !known || a.stopped {
		return
	}
	a.stopped = true
	end := scheduler.EndedMsg{Task: c.Task, Attempt: a.attempt, Result: scheduler.ResultRequeue, Cause: c.Reason}
	delay := startDelay
	if c.Checkpoint {
		delay = checkpointDelay
		end.Checkpointed = r.random.Float64() < checkpointOK
		r.preempted++
	}
	r.plan(event{at: r.now + delay, kind: eventEnd, task: c.Task, attempt: a.attempt, end: end})
}

func (r *run) endTask(e event) {
	a, known := r.running[e.task]
	if !known || a.attempt != e.attempt {
		return
	}
	delete(r.running, e.task)
	item, p := &r.Items[a.item], &r.progress[a.item]
	r.used[a.worker] = r.used[a.worker].Sub(item.Usage)
	spent := time.Duration(float64(r.now-a.began) * float64(item.Job.Needs.Millis) / 1000)
	r.processor += spent
	switch {
	case e.end.Result == scheduler.ResultOK:
		p.open--
		if p.open == 0 && p.failed == 0 {
			p.finished = r.now
		}
	case e.end.Checkpointed:
		if p.kept == nil {
			p.kept = make(map[int]time.Duration)
		}
		p.kept[a.index] = min(p.kept[a.index]+r.now-a.began, item.Runtimes[a.index]-time.Second)
	case e.end.Result == scheduler.ResultRequeue && !p.cancelled:
		r.lost += spent
	}
	r.send(e.end)
}

func (r *run) cancel(number int) {
	p := &r.progress[number]
	if p.open == 0 {
		return
	}
	p.cancelled = true
	r.send(scheduler.CancelMsg{Job: r.Items[number].Job.ID})
}
