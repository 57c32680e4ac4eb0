package worker

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// store keeps the progress of checkpointed tasks for all endpoints of a host.
type store struct {
	mu   sync.Mutex
	left map[modeler.TaskID]time.Duration
}

func newStore() *store { return &store{left: make(map[modeler.TaskID]time.Duration)} }

func (s *store) save(id modeler.TaskID, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[id] = left
}

// remaining returns what is left of a task that takes run from its beginning.
func (s *store) remaining(id modeler.TaskID, run time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left, ok := s.left[id]; ok {
		return left
	}

	return run
}

// Start implements messenger.Endpoint. A start of an attempt that is running
// or has ended here succeeds without effect.
func (e *Endpoint) Start(msg messenger.StartRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(msg.Term, msg.Session); err != nil {
		return err
	}
	task := msg.Task
	if r, ok := e.tasks[task.ID]; ok {
		if r.task.Attempt == task.Attempt {
			return nil
		}

		return errors.Wrapf(errCommand, "task %s is running with attempt %d", task.ID, r.task.Attempt)
	}
	if attempt, ok := e.ended[task.ID]; ok && attempt >= task.Attempt {
		if attempt == task.Attempt {
			return nil
		}

		return errors.Wrapf(errCommand, "task %s has ended with attempt %d", task.ID, attempt)
	}
	job, err := parse(task.Command)
	if err != nil {
		return errors.Wrap(errCommand, err.Error())
	}
	if !e.used().Add(task.Needs).Fits(e.capacity) {
		return errors.Wrapf(messenger.ErrNoCapacity, "%s of %s in use", e.used(), e.capacity)
	}
	e.begin(msg, job)

	return nil
}

// begin runs a task; the caller holds the lock.
func (e *Endpoint) begin(msg messenger.StartRequest, job work) {
	task := msg.Task
	task.Started = time.Now()
	r := &running{task: task, fail: job.fail}
	if e.settings.Failing {
		r.fail, job.run = true, time.Millisecond
	}
	if job.run > 0 {
		left := e.store.remaining(task.ID, job.run)
		r.end = task.Started.Add(left)
		r.timer = time.AfterFunc(left, func() { e.complete(r) })
	}
	r.lease = newLease(&e.mu, func() {
		if e.tasks[task.ID] == r {
			e.end(task.ID, messenger.TaskResult{Cause: leaseCause})
		}
	})
	e.tasks[task.ID] = r
	e.log(Event{
		Kind: KindStart, Term: msg.Term, Session: msg.Session, Team: task.Team, Job: task.Job, Task: task.ID,
		Attempt: task.Attempt, Needs: task.Needs, Command: task.Command,
	})
	e.sampleUsage()
}

// complete ends a task whose run time is over.
func (e *Endpoint) complete(r *running) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tasks[r.task.ID] != r || time.Now().Before(r.end) {
		return
	}
	finish := messenger.TaskResult{OK: !r.fail}
	if r.fail {
		finish.Cause = failureCause
	}
	e.end(r.task.ID, finish)
}

// Stop implements messenger.Endpoint; a task that does not run is no error.
func (e *Endpoint) Stop(msg messenger.TaskRequest) error {
	return e.command(msg, func(r *running) { e.end(r.task.ID, messenger.TaskResult{Cause: "stopped"}) })
}

// Checkpoint implements messenger.Endpoint: it stops a task and keeps its
// progress.
func (e *Endpoint) Checkpoint(msg messenger.TaskRequest) error {
	return e.command(msg, func(r *running) {
		if r.timer != nil {
			e.store.save(r.task.ID, max(time.Until(r.end), time.Millisecond))
		}
		e.end(r.task.ID, messenger.TaskResult{Cause: "checkpointed", Checkpointed: true})
	})
}

// Throttle implements messenger.Endpoint: what is left of the task takes twice
// as long with half the processors.
func (e *Endpoint) Throttle(msg messenger.TaskRequest) error {
	return e.command(msg, func(r *running) {
		if r.task.Throttled {
			return
		}
		r.task.Throttled = true
		if r.timer != nil {
			left := 2 * time.Until(r.end)
			r.end = time.Now().Add(left)
			r.timer.Reset(left)
		}
		e.sampleUsage()
	})
}

func (e *Endpoint) command(msg messenger.TaskRequest, do func(*running)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(msg.Term, msg.Session); err != nil {
		return err
	}
	if r, ok := e.tasks[msg.Task]; ok {
		do(r)
	}

	return nil
}

// end removes a task and reports its finish; the caller holds the lock.
func (e *Endpoint) end(id modeler.TaskID, finish messenger.TaskResult) {
	r := e.tasks[id]
	if r.timer != nil {
		r.timer.Stop()
	}
	r.lease.stop()
	finish.Task, finish.Job, finish.Team = id, r.task.Job, r.task.Team
	finish.Attempt, finish.Started, finish.Ended = r.task.Attempt, r.task.Started, time.Now()
	finish.Used, finish.Note = e.usage(r.task), r.task.Note
	delete(e.tasks, id)
	e.ended[id] = r.task.Attempt
	e.finished = append(e.finished, finish)
	e.log(Event{
		Kind: KindEnd, Team: r.task.Team, Job: r.task.Job, Task: id, Attempt: r.task.Attempt, Needs: r.task.Needs,
		OK: finish.OK, Cause: finish.Cause,
	})
	e.sampleUsage()
}

// used returns what tasks and calls were given; the caller holds the lock.
func (e *Endpoint) used() modeler.Resources {
	used := modeler.Resources{Slots: int64(len(e.calls))}
	for _, r := range e.tasks {
		used = used.Add(r.task.Needs)
	}

	return used
}

// usage returns what a task really uses.
func (e *Endpoint) usage(task messenger.Task) modeler.Resources {
	percent := e.settings.Usage
	if percent == 0 {
		percent = 100
	}
	usage := task.Needs
	usage.Millis = usage.Millis * percent / 100
	usage.Memory = usage.Memory * percent / 100
	if task.Throttled {
		usage.Millis /= 2
	}

	return usage
}

// sampleUsage remembers the present usage; the caller holds the lock.
func (e *Endpoint) sampleUsage() {
	usage := modeler.Resources{Slots: int64(len(e.calls))}
	for _, r := range e.tasks {
		usage = usage.Add(e.usage(r.task))
	}
	e.samples = append(e.samples, sample{at: time.Now(), usage: usage})
}

// reported returns the usage as it was before the lag and forgets older
// samples; the caller holds the lock.
func (e *Endpoint) reported(now time.Time) modeler.Resources {
	last := -1
	for i, s := range e.samples {
		if s.at.Add(e.settings.Lag).After(now) {
			break
		}
		last = i
	}
	if last < 0 {
		return modeler.Resources{}
	}
	e.samples = e.samples[last:]

	return e.samples[0].usage
}
