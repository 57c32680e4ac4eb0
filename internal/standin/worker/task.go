package worker

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// checkpointStore holds the remaining run times of checkpointed tasks of all
// endpoints of a host.
type checkpointStore struct {
	mu             sync.Mutex
	remainingTimes map[modeler.TaskID]time.Duration
}

func newCheckpointStore() *checkpointStore {
	return &checkpointStore{remainingTimes: make(map[modeler.TaskID]time.Duration)}
}

// save records the remaining run time of a checkpointed task.
func (s *checkpointStore) save(id modeler.TaskID, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remainingTimes[id] = remaining
}

// remaining returns the remaining run time of a task, which is run if the task
// has no checkpoint.
func (s *checkpointStore) remaining(id modeler.TaskID, run time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if remaining, ok := s.remainingTimes[id]; ok {
		return remaining
	}

	return run
}

// Start implements messenger.Endpoint. A start of an attempt that is running or
// has ended on this endpoint succeeds without effect.
func (e *Endpoint) Start(msg messenger.StartRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return err
	}
	task := msg.Task
	if r, ok := e.tasks[task.ID]; ok {
		if r.task.Attempt == task.Attempt {
			return nil
		}

		return errors.Wrapf(errCommand, "task %s is running with attempt %d", task.ID, r.task.Attempt)
	}
	if attempt, ok := e.lastAttempt[task.ID]; ok && attempt >= task.Attempt {
		if attempt == task.Attempt {
			return nil
		}

		return errors.Wrapf(errCommand, "task %s has ended with attempt %d", task.ID, attempt)
	}
	work, err := parseCommand(task.Command)
	if err != nil {
		return errors.Wrap(errCommand, err.Error())
	}
	if !e.reservedResources().Add(task.Needs).Fits(e.capacity) {
		return errors.Wrapf(messenger.ErrNoCapacity, "%s of %s in use", e.reservedResources(), e.capacity)
	}
	e.startTask(msg, work)

	return nil
}

// startTask starts a task; the caller holds the lock.
func (e *Endpoint) startTask(msg messenger.StartRequest, work workload) {
	task := msg.Task
	task.Started = time.Now()
	r := &runningTask{task: task, fail: work.fail}
	if e.settings.Failing {
		r.fail, work.duration = true, time.Millisecond
	}
	if work.duration > 0 {
		remaining := e.checkpoints.remaining(task.ID, work.duration)
		r.end = task.Started.Add(remaining)
		r.timer = time.AfterFunc(remaining, func() { e.complete(r) })
	}
	r.lease = newLease(&e.mu, func() {
		if e.tasks[task.ID] == r {
			e.endTask(task.ID, messenger.TaskResult{Cause: leaseCause})
		}
	})
	e.tasks[task.ID] = r
	e.recordEvent(Event{
		Kind: KindStart, Term: msg.Term, Session: msg.Session, Team: task.Team, Job: task.Job, Task: task.ID,
		Attempt: task.Attempt, Needs: task.Needs, Command: task.Command,
	})
	e.sampleUsage()
}

// complete ends a task after its run time, and does nothing if the task has
// already ended or its run time was extended.
func (e *Endpoint) complete(r *runningTask) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tasks[r.task.ID] != r || time.Now().Before(r.end) {
		return
	}
	result := messenger.TaskResult{OK: !r.fail}
	if r.fail {
		result.Cause = failureCause
	}
	e.endTask(r.task.ID, result)
}

// Stop implements messenger.Endpoint. Stopping a task that is not running is not
// an error.
func (e *Endpoint) Stop(msg messenger.TaskRequest) error {
	return e.command(msg, func(r *runningTask) { e.endTask(r.task.ID, messenger.TaskResult{Cause: "stopped"}) })
}

// Checkpoint implements messenger.Endpoint. It stops a task and keeps its remaining
// run time.
func (e *Endpoint) Checkpoint(msg messenger.TaskRequest) error {
	return e.command(msg, func(r *runningTask) {
		if r.timer != nil {
			e.checkpoints.save(r.task.ID, max(time.Until(r.end), time.Millisecond))
		}
		e.endTask(r.task.ID, messenger.TaskResult{Cause: "checkpointed", Checkpointed: true})
	})
}

// Throttle implements messenger.Endpoint. The task gets half its processors, so
// that its remaining run time doubles.
func (e *Endpoint) Throttle(msg messenger.TaskRequest) error {
	return e.command(msg, func(r *runningTask) {
		if r.task.Throttled {
			return
		}
		r.task.Throttled = true
		if r.timer != nil {
			remaining := 2 * time.Until(r.end)
			r.end = time.Now().Add(remaining)
			r.timer.Reset(remaining)
		}
		e.sampleUsage()
	})
}

// command calls do for a running task after the checks of term and session.
func (e *Endpoint) command(msg messenger.TaskRequest, do func(*runningTask)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkSession(msg.Term, msg.Session); err != nil {
		return err
	}
	if r, ok := e.tasks[msg.Task]; ok {
		do(r)
	}

	return nil
}

// endTask removes a task and adds its result to those to be reported; the caller
// holds the lock.
func (e *Endpoint) endTask(id modeler.TaskID, result messenger.TaskResult) {
	r := e.tasks[id]
	if r.timer != nil {
		r.timer.Stop()
	}
	r.lease.stop()
	result.Task, result.Job, result.Team = id, r.task.Job, r.task.Team
	result.Attempt, result.Started, result.Ended = r.task.Attempt, r.task.Started, time.Now()
	result.Used, result.Note = e.usage(r.task), r.task.Note
	delete(e.tasks, id)
	e.lastAttempt[id] = r.task.Attempt
	e.finished = append(e.finished, result)
	e.recordEvent(Event{
		Kind: KindEnd, Team: r.task.Team, Job: r.task.Job, Task: id, Attempt: r.task.Attempt, Needs: r.task.Needs,
		OK: result.OK, Cause: result.Cause,
	})
	e.sampleUsage()
}

// reservedResources returns the resources reserved for tasks and calls; the caller
// holds the lock.
func (e *Endpoint) reservedResources() modeler.Resources {
	reserved := modeler.Resources{Slots: int64(len(e.calls))}
	for _, r := range e.tasks {
		reserved = reserved.Add(r.task.Needs)
	}

	return reserved
}

// usage returns the resources that a task actually uses.
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

// sampleUsage records the current usage; the caller holds the lock.
func (e *Endpoint) sampleUsage() {
	usage := modeler.Resources{Slots: int64(len(e.calls))}
	for _, r := range e.tasks {
		usage = usage.Add(e.usage(r.task))
	}
	e.samples = append(e.samples, sample{at: time.Now(), usage: usage})
}

// laggedUsage returns the usage one lag ago and drops older samples; the caller
// holds the lock.
func (e *Endpoint) laggedUsage(now time.Time) modeler.Resources {
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
