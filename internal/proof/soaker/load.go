package soaker

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/partition/owner"
)

var teams = []modeler.TeamID{"andina", "bruma", "cumbre"}

const (
	// callerTimeout is longer than ownerTimeout, so that most answers of an
	// entry instance arrive in time.
	callerTimeout = 7 * time.Second
	ownerTimeout  = 5 * time.Second
	maxAttempts   = 6
	// headCheckWindow is how long after a job's acceptance its head is checked.
	headCheckWindow = 15 * time.Second
)

// callerState counts the attempts of one request key and the outcomes that its
// callers know.
type callerState struct {
	attempts, unanswered, notRun int
	// unknown is set once an attempt had an unknown outcome, confirmed once an
	// answer stated that the work was accepted or ran.
	unknown, confirmed bool
}

// allNotRun reports whether every attempt was answered as not run.
func (s *callerState) allNotRun() bool {
	return s.unanswered == 0 && s.notRun > 0 && !s.unknown && !s.confirmed
}

// recordAnswer records the outcome of an attempt.
func (s *callerState) recordAnswer(refusal *modeler.Refusal) {
	s.unanswered--
	switch {
	case refusal == nil || refusal.Outcome == modeler.OutcomeRan:
		s.confirmed = true
	case refusal.Outcome == modeler.OutcomeNotRun:
		s.notRun++
	default:
		s.unknown = true
	}
}

// submittedJob is a job with the state that its caller knows.
type submittedJob struct {
	callerState
	job       modeler.Job
	partition modeler.PartitionID
	runtime   time.Duration
	fails     bool
	head      string
	accepted  time.Time
	cancelled bool
	starts    int
	final     bool
}

// serviceCall is a call with the state that its caller knows.
type serviceCall struct {
	callerState
	key        requestKey
	partition  modeler.PartitionID
	idempotent bool
	executions int
	// voided is set once a caller got the answer that the request will never run.
	voided   bool
	resolves int
}

// load submits jobs and calls and keeps the answers.
type load struct {
	cluster     *cluster
	sim         *simulation
	host        *host
	stopped     bool
	jobs        map[modeler.JobID]*submittedJob
	jobOrder    []*submittedJob
	requests    map[requestKey]*serviceCall
	checkpoints map[modeler.TaskID]time.Duration
	lastNumber  int
}

func newLoad(c *cluster) *load {
	l := &load{
		cluster: c, sim: c.sim, host: &host{name: "callers"}, jobs: map[modeler.JobID]*submittedJob{},
		requests: map[requestKey]*serviceCall{}, checkpoints: map[modeler.TaskID]time.Duration{},
	}
	l.sim.after(2*time.Second, nil, func() {
		l.sim.every(300*time.Millisecond, nil, l.newJob)
		l.sim.every(120*time.Millisecond, nil, l.newCall)
	})
	l.sim.every(2*time.Second, nil, l.pollJobs)

	return l
}

// taskRuntime returns the remaining run time of a task and whether it fails.
func (l *load) taskRuntime(task modeler.TaskID) (remaining time.Duration, fails bool) {
	j := l.jobs[jobOf(task)]
	if saved, ok := l.checkpoints[task]; ok {
		return saved, j.fails
	}

	return j.runtime, j.fails
}

func (l *load) saveCheckpoint(task modeler.TaskID, remaining time.Duration) {
	l.checkpoints[task] = remaining
}

func jobOf(task modeler.TaskID) modeler.JobID {
	return modeler.JobID(task[:strings.LastIndexByte(string(task), '/')])
}

func (l *load) callRuntime() time.Duration {
	if l.sim.chance(0.1) {
		return l.sim.upTo(4 * time.Second)
	}

	return l.sim.between(5*time.Millisecond, 300*time.Millisecond)
}

// checkStart records and checks the start of a task.
func (l *load) checkStart(task modeler.TaskID, count int) {
	j := l.jobs[jobOf(task)]
	j.starts++
	l.sim.checkf(checkNotRun, !j.allNotRun(), "job %s runs, and all its callers were told that it does not", j.job.ID)
	if j.job.Once {
		l.sim.checkf(checkOnce, count == 1, "task %s of a job that may run once is started %d times", task, count)
	}
}

// checkExecution records and checks the execution of a call.
func (l *load) checkExecution(key requestKey) {
	c := l.requests[key]
	c.executions++
	l.sim.checkf(checkNotRun, !c.voided && !c.allNotRun(), "request %s runs, and its callers were told that it does not", key.request)
	if !c.idempotent {
		l.sim.checkf(checkOnce, c.executions == 1, "non-idempotent request %s is executed %d times", key.request, c.executions)
	}
}

// sendToOwner sends a request through an entry instance to the owner of a partition.
func (l *load) sendToOwner(part modeler.PartitionID, build func(owner.Waiter) owner.Msg, done func(any, *modeler.Refusal)) {
	alive := l.cluster.alive()
	if len(alive) == 0 {
		done(nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "no entry instance"))

		return
	}
	p := alive[l.sim.rng.IntN(len(alive))]
	l.host.region = p.region
	l.sim.call(l.host, p.host, callerTimeout, func(reply func(any, error)) {
		if p.draining {
			reply(modeler.NotRun(modeler.CodeDraining, time.Second, "draining"), nil)

			return
		}
		p.forward(part, ownerTimeout, build, func(value any, refusal *modeler.Refusal) {
			if refusal != nil {
				value = refusal
			}
			reply(value, nil)
		})
	}, func(value any, err error) {
		refusal, refused := value.(*modeler.Refusal)
		switch {
		case refused:
			done(nil, refusal)
		case err == errTimeout: //nolint:errorlint // The simulation returns this value itself.
			done(nil, modeler.Unknown(modeler.CodeLostAnswer, time.Second, "no answer"))
		case err != nil:
			done(nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "the entry instance was not reached"))
		default:
			done(value, nil)
		}
	})
}

// newJob submits a job of a random kind.
func (l *load) newJob() {
	if l.stopped {
		return
	}
	sim := l.sim
	l.lastNumber++
	team := teams[sim.rng.IntN(len(teams))]
	part := l.cluster.document.Partitions[sim.rng.IntN(len(regions))].Name
	j := &submittedJob{partition: part, runtime: sim.between(200*time.Millisecond, 5*time.Second), fails: sim.chance(0.05), job: modeler.Job{
		ID: modeler.JobID(fmt.Sprintf("%s-job-%d", team, l.lastNumber)), Team: team, Queue: "batch", Kind: modeler.WorkBatch,
		Class: modeler.ClassStandard, Tasks: 1 + sim.rng.IntN(3), Once: sim.chance(0.15), Attempts: 1 + sim.rng.IntN(4),
		Needs: modeler.Resources{Millis: 250 * (1 + sim.rng.Int64N(8)), Memory: 1 << 30}, Accepted: sim.now,
	}}
	j.job.Runtime = time.Duration(float64(j.runtime) * (0.3 + 2*sim.rng.Float64()))
	switch sim.rng.IntN(8) {
	case 0:
		j.job.Kind, j.job.Tasks, j.job.SameRack = modeler.WorkGang, 2+sim.rng.IntN(3), sim.chance(0.3)
	case 1:
		j.job.Kind, j.job.Class, j.runtime = modeler.WorkService, modeler.ClassUrgent, sim.between(5*time.Second, 20*time.Second)
	case 2:
		j.job.Deadline = sim.now.Add(sim.between(2*time.Second, 20*time.Second))
	case 3:
		j.job.Class = modeler.ClassDeferred
	case 4:
		if sim.chance(0.2) {
			j.job.Needs.Millis = 5000 // More than any worker has.
		}
	}
	l.jobs[j.job.ID] = j
	l.jobOrder = append(l.jobOrder, j)
	l.submit(j)
	if sim.chance(0.1) {
		sim.after(sim.upTo(3*time.Second), nil, func() { l.submit(j) })
	}
}

// submit submits a job. After a refusal that states when to retry, it may submit
// the job again with the same key, in at most maxAttempts attempts.
func (l *load) submit(j *submittedJob) {
	j.attempts++
	j.unanswered++
	l.sendToOwner(j.partition, func(id owner.Waiter) owner.Msg {
		return owner.SubmitMsg{Waiter: id, SubmitMsg: modeler.SubmitMsg{Partition: j.partition, Job: j.job}}
	}, func(value any, refusal *modeler.Refusal) {
		j.recordAnswer(refusal)
		l.sim.tracef("caller of %s: %v", j.job.ID, outcomeOf(refusal))
		l.sim.checkf(checkNotRun, !j.allNotRun() || j.starts == 0, "job %s ran, and its callers were told that it did not", j.job.ID)
		if reply, ok := value.(modeler.SubmitReply); ok {
			l.sim.checkf(checkAnswer, reply.Job == j.job.ID, "the answer to job %s is about job %s", j.job.ID, reply.Job)
			if j.accepted.IsZero() {
				j.accepted, j.head = l.sim.now, reply.Head
			}

			return
		}
		if refusal.Retry > 0 && j.attempts < maxAttempts && l.sim.chance(0.8) && !l.stopped {
			l.sim.after(l.sim.between(300*time.Millisecond, 2*time.Second), nil, func() { l.submit(j) })
		}
	})
}

func outcomeOf(refusal *modeler.Refusal) string {
	if refusal == nil {
		return "ok"
	}

	return string(refusal.Outcome) + " " + string(refusal.Code)
}

// newCall sends a call, idempotent or not.
func (l *load) newCall() {
	if l.stopped {
		return
	}
	sim := l.sim
	l.lastNumber++
	key := requestKey{team: teams[sim.rng.IntN(len(teams))], request: modeler.RequestID(fmt.Sprintf("call-%d", l.lastNumber))}
	c := &serviceCall{key: key, idempotent: sim.chance(0.5), partition: l.cluster.document.Partitions[sim.rng.IntN(len(regions))].Name}
	l.requests[key] = c
	l.call(c)
	if sim.chance(0.15) {
		sim.after(sim.upTo(4*time.Second), nil, func() { l.call(c) })
	}
}

// call sends a call. Callers resolve unknown outcomes and retry.
func (l *load) call(c *serviceCall) {
	sim := l.sim
	c.attempts++
	c.unanswered++
	l.sendToOwner(c.partition, func(id owner.Waiter) owner.Msg {
		return owner.CallMsg{Waiter: id, CallMsg: modeler.CallMsg{
			Partition: c.partition, Team: c.key.team, Queue: "calls", Service: service, Class: modeler.ClassStandard,
			Request: c.key.request, Idempotent: c.idempotent, Timeout: ownerTimeout - 100*time.Millisecond,
		}}
	}, func(value any, refusal *modeler.Refusal) {
		c.recordAnswer(refusal)
		sim.tracef("caller of %s: %v", c.key.request, outcomeOf(refusal))
		sim.checkf(checkNotRun, !c.allNotRun() || c.executions == 0, "request %s ran, and its callers were told that it did not", c.key.request)
		if reply, ok := value.(modeler.CallReply); ok {
			sim.checkf(checkAnswer, bytes.Equal(reply.Answer, expectedAnswer(c.key.request)) && c.executions > 0,
				"request %s, executed %d times, got the answer %q", c.key.request, c.executions, reply.Answer)

			return
		}
		sim.checkf(checkAnswer, refusal.Outcome != modeler.OutcomeRan || c.executions > 0, "request %s did not run, and its caller was told that it did", c.key.request)
		switch {
		case l.stopped:
		case !c.idempotent && refusal.Outcome == modeler.OutcomeUnknown:
			sim.after(sim.between(100*time.Millisecond, 3*time.Second), nil, func() { l.resolve(c) })
		}
		if refusal.Retry > 0 && c.attempts < maxAttempts && sim.chance(0.6) && !l.stopped {
			sim.after(sim.between(200*time.Millisecond, 2*time.Second), nil, func() { l.call(c) })
		}
	})
}

// resolve asks for the outcome of a request until it is known.
func (l *load) resolve(c *serviceCall) {
	sim := l.sim
	c.resolves++
	l.sendToOwner(c.partition, func(id owner.Waiter) owner.Msg {
		return owner.ResolveMsg{Waiter: id, ResolveMsg: modeler.ResolveMsg{Partition: c.partition, Team: c.key.team, Request: c.key.request}}
	}, func(value any, _ *modeler.Refusal) {
		reply, _ := value.(modeler.ResolveReply)
		sim.tracef("resolver of %s: %v", c.key.request, reply.Outcome)
		switch reply.Outcome {
		case modeler.OutcomeNotRun:
			c.voided = true
			sim.checkf(checkNotRun, c.executions == 0, "request %s ran, and its resolver was told that it did not", c.key.request)
		case modeler.OutcomeRan:
			sim.checkf(checkAnswer, c.executions > 0, "request %s did not run, and its resolver was told that it did", c.key.request)
		case modeler.OutcomeUnknown:
		}
		if reply.Outcome != modeler.OutcomeNotRun && reply.Outcome != modeler.OutcomeRan && c.resolves < maxAttempts && !l.stopped {
			sim.after(sim.between(time.Second, 3*time.Second), nil, func() { l.resolve(c) })
		}
	})
}

// cancelWave cancels many accepted jobs at once.
func (l *load) cancelWave() {
	open := slices.DeleteFunc(slices.Clone(l.jobOrder), func(j *submittedJob) bool { return j.final || j.accepted.IsZero() || j.cancelled })
	for _, j := range open {
		if !l.sim.chance(0.6) {
			continue
		}
		l.sendToOwner(j.partition, func(id owner.Waiter) owner.Msg {
			return owner.CancelMsg{Waiter: id, CancelMsg: modeler.CancelMsg{Partition: j.partition, Team: j.job.Team, Job: j.job.ID}}
		}, func(_ any, refusal *modeler.Refusal) { j.cancelled = j.cancelled || refusal == nil })
	}
	l.sim.faultf("cancellation wave", "%d jobs", len(open))
}

// pollJobs asks a random entry instance for the accepted jobs that are not known
// to be final.
func (l *load) pollJobs() {
	alive := l.cluster.alive()
	if len(alive) == 0 {
		return
	}
	p := alive[l.sim.rng.IntN(len(alive))]
	for _, j := range l.jobOrder {
		if j.final || j.accepted.IsZero() {
			continue
		}
		status, ok := p.node(j.partition).Job(j.job.Team, j.job.ID)
		if !ok || !status.Final {
			continue
		}
		j.final = true
		for _, t := range status.Tasks {
			l.sim.checkf(checkKept, t.State != modeler.TaskFinished || l.cluster.ledger.succeeded[t.Task], "task %s is finished and never ran to its end", t.Task)
		}
	}
}

// unfinished returns the accepted jobs that are neither final nor running.
func (l *load) unfinished() []*submittedJob {
	return slices.DeleteFunc(slices.Clone(l.jobOrder), func(j *submittedJob) bool {
		if j.final || j.accepted.IsZero() {
			return true
		}
		for i := range j.job.Tasks {
			if _, ok := l.cluster.ledger.runningAt[modeler.TaskID(fmt.Sprintf("%s/%d", j.job.ID, i))]; ok {
				return true
			}
		}

		return false
	})
}

// verifyHeads checks that the heads that callers received are in the chains.
func (l *load) verifyHeads(n *node, team modeler.TeamID, records []modeler.Record) {
	if s := l.cluster.log.stream(n.stream); n.nextOffset < s.first+modeler.Offset(len(s.entries)) {
		return // The process has not read the whole stream.
	}
	digests := map[string]bool{}
	for _, r := range records {
		digests[r.Digest] = true
	}
	for _, j := range l.jobOrder {
		if j.job.Team != team || j.partition != n.name || j.accepted.IsZero() || l.sim.now.Sub(j.accepted) > headCheckWindow {
			continue
		}
		if _, ok := n.Job(team, j.job.ID); ok {
			l.sim.checkf(checkChain, digests[j.head], "head %.8s of job %s is not in the records at %s", j.head, j.job.ID, n.process.name)
		}
	}
}
