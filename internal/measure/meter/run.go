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
	// startDelay is the time from a start command until the task runs, one round
	// trip within a region.
	startDelay = 3 * time.Millisecond
	// checkpointDelay is the duration of a checkpoint, and checkpointSuccessRate
	// the fraction of checkpoints that succeed.
	checkpointDelay       = time.Second
	checkpointSuccessRate = 0.9
	// failureDelay is how long a task runs before it fails, on a failing worker or
	// in a job that always fails.
	failureDelay = 3 * time.Second
	// minPassInterval is the shortest time between two scheduling passes.
	minPassInterval = 20 * time.Millisecond
	// idlePassInterval is the time between passes without other events.
	idlePassInterval = time.Second
	usageInterval    = 10 * time.Second
	sampleInterval   = 5 * time.Second
	maxStartsPerPass = 256
)

// event is scheduled at a virtual time. Events at the same time are processed in
// the order of seq.
type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	// task, attempt and end are set for ends of tasks, item for arrivals and
	// cancellations.
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

// runningTask is a running task. item and task are its indexes in the deployment
// and in its job, worker that of its worker.
type runningTask struct {
	item, task int
	worker     int
	attempt    int
	startedAt  time.Duration
	stopped    bool
}

// run is the simulation of one policy on one deployment.
type run struct {
	generator.Deployment
	policy          Policy
	core            *scheduler.Scheduler
	inputs          inputLog
	random          *rand.Rand
	queue           events
	seq             uint64
	now             time.Duration
	nextPass        time.Duration
	lastPass        time.Duration
	itemIndex       map[modeler.JobID]int
	progress        []jobProgress
	running         map[modeler.TaskID]*runningTask
	workers         map[modeler.InstanceID]int
	used            []modeler.Resources
	priorViolations int64
	lostTime        time.Duration
	cpuTime         time.Duration
	preempted       uint64
	sampler         sampler
}

// jobProgress is the state of a job in the simulation.
type jobProgress struct {
	waits []time.Duration
	// checkpointed is the run time saved by checkpoints, by index of the task.
	checkpointed map[int]time.Duration
	openTasks    int
	failedTasks  int
	finishedAt   time.Duration
	started      bool
	cancelled    bool
}

// failTask counts a task that has failed and will not be retried.
func (p *jobProgress) failTask() {
	p.openTasks--
	p.failedTasks++
}

func newRun(deployment generator.Deployment, policy Policy) *run {
	return &run{
		Deployment: deployment, policy: policy, core: scheduler.New(scheduler.WithSettings(policy.Settings)),
		random: rand.New(rand.NewPCG(1, 2)), itemIndex: make(map[modeler.JobID]int, len(deployment.Items)),
		progress: make([]jobProgress, len(deployment.Items)), running: make(map[modeler.TaskID]*runningTask),
		workers: make(map[modeler.InstanceID]int), used: make([]modeler.Resources, len(deployment.Workers)),
		nextPass: -1, priorViolations: scheduler.Violations() + accountant.Violations(), sampler: newSampler(deployment),
	}
}

// simulate processes the events until the end of the run. It returns the error
// of ctx if that is done before.
func (r *run) simulate(ctx context.Context) error {
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

// prepare sends the workers and teams to the core and schedules the events of
// the run.
func (r *run) prepare() {
	for i, w := range r.Workers {
		r.workers[w.ID] = i
		r.update(scheduler.EndpointMsg{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity, Usable: true})
	}
	for _, team := range r.Teams {
		r.update(scheduler.TeamMsg{ID: team.ID, Share: team.Share, Allotment: team.Allotment})
	}
	for i, item := range r.Items {
		r.itemIndex[item.Job.ID] = i
		r.schedule(event{at: item.Arrival, kind: eventArrive, item: i})
		if item.CancelAt > 0 {
			r.schedule(event{at: item.CancelAt, kind: eventCancel, item: i})
		}
	}
	for at := usageInterval; at < r.Length; at += usageInterval {
		r.schedule(event{at: at, kind: eventUsage})
	}
	for at := sampleInterval; at < r.Length; at += sampleInterval {
		r.schedule(event{at: at, kind: eventSample})
	}
	r.schedulePass(0)
}

func (r *run) schedule(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.queue, e)
}

// schedulePass schedules a pass at a time unless an earlier one is scheduled.
func (r *run) schedulePass(at time.Duration) {
	if r.nextPass >= 0 && r.nextPass <= at {
		return
	}
	r.nextPass = at
	r.schedule(event{at: at, kind: eventDecide})
}

func (r *run) handle(e event) {
	switch e.kind {
	case eventArrive:
		item := &r.Items[e.item]
		r.progress[e.item] = jobProgress{openTasks: item.Job.Tasks, finishedAt: -1}
		r.update(scheduler.JobMsg{Job: item.Job})
	case eventCancel:
		r.cancel(e.item)
	case eventEnd:
		r.endTask(e)
	case eventUsage:
		for i, worker := range r.Workers {
			r.update(scheduler.UsageMsg{Endpoint: worker.ID, Usage: r.used[i]})
		}

		return
	case eventSample:
		r.sampler.sample(r)

		return
	case eventDecide:
		if e.at != r.nextPass {
			return
		}
		r.nextPass, r.lastPass = -1, r.now
		r.update(scheduler.DecideMsg{Budget: maxStartsPerPass})
		r.schedulePass(r.now + idlePassInterval)

		return
	}
	r.schedulePass(max(r.now, r.lastPass+minPassInterval))
}

// update sends a message to the core, records it and executes the commands that
// the core returns.
func (r *run) update(msg scheduler.Msg) {
	now := r.Start.Add(r.now)
	r.inputs.add(msg, now)
	for _, command := range r.core.Update(msg, now) {
		switch c := command.(type) {
		case scheduler.StartCmd:
			r.startTask(c)
		case scheduler.StopCmd:
			r.stopTask(c)
		case scheduler.RecordCmd:
			if c.Event == modeler.EventFailed && c.Task != "" {
				r.progress[r.itemIndex[c.Job]].failTask()
			}
		}
	}
}

func (r *run) startTask(c scheduler.StartCmd) {
	itemIndex := r.itemIndex[c.Job.ID]
	_, index, _ := scheduler.ParseTaskID(c.Task)
	item, p := &r.Items[itemIndex], &r.progress[itemIndex]
	worker := r.workers[c.Endpoint]
	r.running[c.Task] = &runningTask{item: itemIndex, task: index, worker: worker, attempt: c.Attempt, startedAt: r.now}
	r.used[worker] = r.used[worker].Add(item.Usage)
	if c.Attempt == 1 {
		p.waits = append(p.waits, r.now-item.Arrival)
		p.started = true
	}
	end := scheduler.EndedMsg{Task: c.Task, Attempt: c.Attempt, Result: scheduler.ResultOK, PeakUsage: item.Usage}
	length := item.Runtimes[index] - p.checkpointed[index]
	if item.AlwaysFails || r.failing(worker) {
		end.Result, end.Cause, length = scheduler.ResultFailed, "exit status 1", min(failureDelay, length)
	}
	r.schedule(event{at: r.now + startDelay + length, kind: eventEnd, task: c.Task, attempt: c.Attempt, end: end})
}

// failing reports whether a worker currently fails every task.
func (r *run) failing(worker int) bool {
	for _, f := range r.Failures {
		if f.Worker == worker && f.From <= r.now && r.now < f.To {
			return true
		}
	}

	return false
}

func (r *run) stopTask(c scheduler.StopCmd) {
	t, known := r.running[c.Task]
	if !known || t.stopped {
		return
	}
	t.stopped = true
	end := scheduler.EndedMsg{Task: c.Task, Attempt: t.attempt, Result: scheduler.ResultRequeue, Cause: c.Reason}
	delay := startDelay
	if c.Checkpoint {
		delay = checkpointDelay
		end.Checkpointed = r.random.Float64() < checkpointSuccessRate
		r.preempted++
	}
	r.schedule(event{at: r.now + delay, kind: eventEnd, task: c.Task, attempt: t.attempt, end: end})
}

func (r *run) endTask(e event) {
	t, known := r.running[e.task]
	if !known || t.attempt != e.attempt {
		return
	}
	delete(r.running, e.task)
	item, p := &r.Items[t.item], &r.progress[t.item]
	r.used[t.worker] = r.used[t.worker].Sub(item.Usage)
	spent := time.Duration(float64(r.now-t.startedAt) * float64(item.Job.Needs.Millis) / 1000)
	r.cpuTime += spent
	switch {
	case e.end.Result == scheduler.ResultOK:
		p.openTasks--
		if p.openTasks == 0 && p.failedTasks == 0 {
			p.finishedAt = r.now
		}
	case e.end.Checkpointed:
		if p.checkpointed == nil {
			p.checkpointed = make(map[int]time.Duration)
		}
		p.checkpointed[t.task] = min(p.checkpointed[t.task]+r.now-t.startedAt, item.Runtimes[t.task]-time.Second)
	case e.end.Result == scheduler.ResultRequeue && !p.cancelled:
		r.lostTime += spent
	}
	r.update(e.end)
}

func (r *run) cancel(itemIndex int) {
	p := &r.progress[itemIndex]
	if p.openTasks == 0 {
		return
	}
	p.cancelled = true
	r.update(scheduler.CancelMsg{Job: r.Items[itemIndex].Job.ID})
}
