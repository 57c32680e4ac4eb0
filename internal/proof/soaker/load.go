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
	// entry instance come in time.
	callerTimeout = 7 * time.Second
	ownerTimeout  = 5 * time.Second
	maxTries      = 6
	// headFor is how long after its acceptance a job's head is looked up.
	headFor = 15 * time.Second
)

// asked is what the callers know of one request key.
type asked struct {
	tries, open, notRun int
	// doubt is set once an answer left it open what happened, and taken once
	// one said that the work was accepted or ran.
	doubt, taken bool
}

// denied reports whether every answer said that the work was not run.
func (a *asked) denied() bool { return a.open == 0 && a.notRun > 0 && !a.doubt && !a.taken }

// note counts an answer.
func (a *asked) note(refusal *modeler.Refusal) {
	a.open--
	switch {
	case refusal == nil || refusal.Outcome == modeler.OutcomeRan:
		a.taken = true
	case refusal.Outcome == modeler.OutcomeNotRun:
		a.notRun++
	default:
		a.doubt = true
	}
}

// work is a job as its caller knows it.
type work struct {
	asked
	job       modeler.Job
	partition modeler.PartitionID
	run       time.Duration
	fails     bool
	head      string
	accepted  time.Time
	cancelled bool
	starts    int
	final     bool
}

// request is a call as its caller knows it.
type request struct {
	asked
	key        requestKey
	partition  modeler.PartitionID
	idempotent bool
	executions int
	// voided is set once a caller was told that the request is never run.
	voided   bool
	resolves int
}

// load is the callers, with what they know.
type load struct {
	cluster  *cluster
	world    *world
	host     *host
	quiet    bool
	jobs     map[modeler.JobID]*work
	order    []*work
	requests map[requestKey]*request
	saved    map[modeler.TaskID]time.Duration
	number   int
}

func newLoad(c *cluster) *load {
	l := &load{
		cluster: c, world: c.world, host: &host{name: "callers"}, jobs: map[modeler.JobID]*work{},
		requests: map[requestKey]*request{}, saved: map[modeler.TaskID]time.Duration{},
	}
	l.world.after(2*time.Second, nil, func() {
		l.world.every(300*time.Millisecond, nil, l.newJob)
		l.world.every(120*time.Millisecond, nil, l.newCall)
	})
	l.world.every(2*time.Second, nil, l.lookUp)

	return l
}

// work returns how long a task still runs and whether it fails.
func (l *load) work(task modeler.TaskID) (left time.Duration, fails bool) {
	j := l.jobs[jobOf(task)]
	if left, ok := l.saved[task]; ok {
		return left, j.fails
	}

	return j.run, j.fails
}

func (l *load) checkpoint(task modeler.TaskID, left time.Duration) { l.saved[task] = left }

func jobOf(task modeler.TaskID) modeler.JobID {
	return modeler.JobID(task[:strings.LastIndexByte(string(task), '/')])
}

func (l *load) callTime() time.Duration {
	if l.world.chance(0.1) {
		return l.world.upTo(4 * time.Second)
	}

	return l.world.from(5*time.Millisecond, 300*time.Millisecond)
}

// started checks the start of a task.
func (l *load) started(task modeler.TaskID, count int) {
	j := l.jobs[jobOf(task)]
	j.starts++
	l.world.checkf(checkNotRun, !j.denied(), "job %s runs, and all its callers were told that it does not", j.job.ID)
	if j.job.Once {
		l.world.checkf(checkOnce, count == 1, "task %s of a job that may run once is started %d times", task, count)
	}
}

// executed checks the execution of a call.
func (l *load) executed(key requestKey) {
	r := l.requests[key]
	r.executions++
	l.world.checkf(checkNotRun, !r.voided && !r.denied(), "request %s runs, and its callers were told that it does not", key.request)
	if !r.idempotent {
		l.world.checkf(checkOnce, r.executions == 1, "non-idempotent request %s is executed %d times", key.request, r.executions)
	}
}

// ask sends a request through an entry instance to the owner of a partition.
func (l *load) ask(part modeler.PartitionID, build func(owner.Waiter) owner.Msg, done func(any, *modeler.Refusal)) {
	alive := l.cluster.alive()
	if len(alive) == 0 {
		done(nil, modeler.NotRun(modeler.CodeNoOwner, time.Second, "no entry instance"))

		return
	}
	p := alive[l.world.rng.IntN(len(alive))]
	l.host.region = p.region
	l.world.call(l.host, p.host, callerTimeout, func(reply func(any, error)) {
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
		case err == errTimeout: //nolint:errorlint // The world returns this value itself.
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
	if l.quiet {
		return
	}
	w := l.world
	l.number++
	team := teams[w.rng.IntN(len(teams))]
	part := l.cluster.document.Partitions[w.rng.IntN(len(regions))].Name
	j := &work{partition: part, run: w.from(200*time.Millisecond, 5*time.Second), fails: w.chance(0.05), job: modeler.Job{
		ID: modeler.JobID(fmt.Sprintf("%s-job-%d", team, l.number)), Team: team, Queue: "batch", Kind: modeler.WorkBatch,
		Class: modeler.ClassStandard, Tasks: 1 + w.rng.IntN(3), Once: w.chance(0.15), Attempts: 1 + w.rng.IntN(4),
		Needs: modeler.Resources{Millis: 250 * (1 + w.rng.Int64N(8)), Memory: 1 << 30}, Accepted: w.now,
	}}
	j.job.Runtime = time.Duration(float64(j.run) * (0.3 + 2*w.rng.Float64()))
	switch w.rng.IntN(8) {
	case 0:
		j.job.Kind, j.job.Tasks, j.job.SameRack = modeler.WorkGang, 2+w.rng.IntN(3), w.chance(0.3)
	case 1:
		j.job.Kind, j.job.Class, j.run = modeler.WorkService, modeler.ClassUrgent, w.from(5*time.Second, 20*time.Second)
	case 2:
		j.job.Deadline = w.now.Add(w.from(2*time.Second, 20*time.Second))
	case 3:
		j.job.Class = modeler.ClassDeferred
	case 4:
		if w.chance(0.2) {
			j.job.Needs.Millis = 5000 // More than any worker has.
		}
	}
	l.jobs[j.job.ID] = j
	l.order = append(l.order, j)
	l.submit(j)
	if w.chance(0.1) {
		w.after(w.upTo(3*time.Second), nil, func() { l.submit(j) })
	}
}

// submit sends a job, and sends it again under the same key while its outcome
// is open.
func (l *load) submit(j *work) {
	j.tries++
	j.open++
	l.ask(j.partition, func(id owner.Waiter) owner.Msg {
		return owner.SubmitMsg{Waiter: id, SubmitMsg: modeler.SubmitMsg{Partition: j.partition, Job: j.job}}
	}, func(value any, refusal *modeler.Refusal) {
		j.note(refusal)
		l.world.tracef("caller of %s: %v", j.job.ID, outcomeOf(refusal))
		l.world.checkf(checkNotRun, !j.denied() || j.starts == 0, "job %s ran, and its callers were told that it did not", j.job.ID)
		if reply, ok := value.(modeler.SubmitReply); ok {
			l.world.checkf(checkAnswer, reply.Job == j.job.ID, "the answer to job %s is about job %s", j.job.ID, reply.Job)
			if j.accepted.IsZero() {
				j.accepted, j.head = l.world.now, reply.Head
			}

			return
		}
		if refusal.Retry > 0 && j.tries < maxTries && l.world.chance(0.8) && !l.quiet {
			l.world.after(l.world.from(300*time.Millisecond, 2*time.Second), nil, func() { l.submit(j) })
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
	if l.quiet {
		return
	}
	w := l.world
	l.number++
	key := requestKey{team: teams[w.rng.IntN(len(teams))], request: modeler.RequestID(fmt.Sprintf("call-%d", l.number))}
	r := &request{key: key, idempotent: w.chance(0.5), partition: l.cluster.document.Partitions[w.rng.IntN(len(regions))].Name}
	l.requests[key] = r
	l.call(r)
	if w.chance(0.15) {
		w.after(w.upTo(4*time.Second), nil, func() { l.call(r) })
	}
}

// call sends a call; callers resolve an open outcome or send it again.
func (l *load) call(r *request) {
	w := l.world
	r.tries++
	r.open++
	l.ask(r.partition, func(id owner.Waiter) owner.Msg {
		return owner.CallMsg{Waiter: id, CallMsg: modeler.CallMsg{
			Partition: r.partition, Team: r.key.team, Queue: "calls", Service: service, Class: modeler.ClassStandard,
			Request: r.key.request, Idempotent: r.idempotent, Timeout: ownerTimeout - 100*time.Millisecond,
		}}
	}, func(value any, refusal *modeler.Refusal) {
		r.note(refusal)
		w.tracef("caller of %s: %v", r.key.request, outcomeOf(refusal))
		w.checkf(checkNotRun, !r.denied() || r.executions == 0, "request %s ran, and its callers were told that it did not", r.key.request)
		if reply, ok := value.(modeler.CallReply); ok {
			w.checkf(checkAnswer, bytes.Equal(reply.Answer, answerTo(r.key.request)) && r.executions > 0,
				"request %s, executed %d times, got the answer %q", r.key.request, r.executions, reply.Answer)

			return
		}
		w.checkf(checkAnswer, refusal.Outcome != modeler.OutcomeRan || r.executions > 0, "request %s did not run, and its caller was told that it did", r.key.request)
		switch {
		case l.quiet:
		case !r.idempotent && refusal.Outcome == modeler.OutcomeUnknown:
			w.after(w.from(100*time.Millisecond, 3*time.Second), nil, func() { l.resolve(r) })
		}
		if refusal.Retry > 0 && r.tries < maxTries && w.chance(0.6) && !l.quiet {
			w.after(w.from(200*time.Millisecond, 2*time.Second), nil, func() { l.call(r) })
		}
	})
}

// resolve asks what became of a request until the answer is definite.
func (l *load) resolve(r *request) {
	w := l.world
	r.resolves++
	l.ask(r.partition, func(id owner.Waiter) owner.Msg {
		return owner.ResolveMsg{Waiter: id, ResolveMsg: modeler.ResolveMsg{Partition: r.partition, Team: r.key.team, Request: r.key.request}}
	}, func(value any, _ *modeler.Refusal) {
		reply, _ := value.(modeler.ResolveReply)
		w.tracef("resolver of %s: %v", r.key.request, reply.Outcome)
		switch reply.Outcome {
		case modeler.OutcomeNotRun:
			r.voided = true
			w.checkf(checkNotRun, r.executions == 0, "request %s ran, and its resolver was told that it did not", r.key.request)
		case modeler.OutcomeRan:
			w.checkf(checkAnswer, r.executions > 0, "request %s did not run, and its resolver was told that it did", r.key.request)
		case modeler.OutcomeUnknown:
		}
		if reply.Outcome != modeler.OutcomeNotRun && reply.Outcome != modeler.OutcomeRan && r.resolves < maxTries && !l.quiet {
			w.after(w.from(time.Second, 3*time.Second), nil, func() { l.resolve(r) })
		}
	})
}

// cancelWave cancels many accepted jobs at once.
func (l *load) cancelWave() {
	open := slices.DeleteFunc(slices.Clone(l.order), func(j *work) bool { return j.final || j.accepted.IsZero() || j.cancelled })
	for _, j := range open {
		if !l.world.chance(0.6) {
			continue
		}
		l.ask(j.partition, func(id owner.Waiter) owner.Msg {
			return owner.CancelMsg{Waiter: id, CancelMsg: modeler.CancelMsg{Partition: j.partition, Team: j.job.Team, Job: j.job.ID}}
		}, func(_ any, refusal *modeler.Refusal) { j.cancelled = j.cancelled || refusal == nil })
	}
	l.world.faultf("cancellation wave", "%d jobs", len(open))
}

// lookUp asks a random entry instance for the jobs that were not seen final.
func (l *load) lookUp() {
	alive := l.cluster.alive()
	if len(alive) == 0 {
		return
	}
	p := alive[l.world.rng.IntN(len(alive))]
	for _, j := range l.order {
		if j.final || j.accepted.IsZero() {
			continue
		}
		status, ok := p.node(j.partition).Job(j.job.Team, j.job.ID)
		if !ok || !status.Final {
			continue
		}
		j.final = true
		for _, t := range status.Tasks {
			l.world.checkf(checkKept, t.State != modeler.TaskFinished || l.cluster.ledger.good[t.Task], "task %s is finished and never ran to its end", t.Task)
		}
	}
}

// open returns the accepted jobs that are neither final nor running.
func (l *load) open() []*work {
	return slices.DeleteFunc(slices.Clone(l.order), func(j *work) bool {
		if j.final || j.accepted.IsZero() {
			return true
		}
		for i := range j.job.Tasks {
			if _, ok := l.cluster.ledger.places[modeler.TaskID(fmt.Sprintf("%s/%d", j.job.ID, i))]; ok {
				return true
			}
		}

		return false
	})
}

// verifyHeads checks that the heads which callers got are in the chains.
func (l *load) verifyHeads(n *node, team modeler.TeamID, records []modeler.Record) {
	if s := l.cluster.log.stream(n.stream); n.from < s.first+modeler.Offset(len(s.entries)) {
		return // The process has not read the whole stream.
	}
	digests := map[string]bool{}
	for _, r := range records {
		digests[r.Digest] = true
	}
	for _, j := range l.order {
		if j.job.Team != team || j.partition != n.name || j.accepted.IsZero() || l.world.now.Sub(j.accepted) > headFor {
			continue
		}
		if _, ok := n.Job(team, j.job.ID); ok {
			l.world.checkf(checkChain, digests[j.head], "head %.8s of job %s is not in the records at %s", j.head, j.job.ID, n.process.name)
		}
	}
}
