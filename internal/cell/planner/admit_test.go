package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// admissionCell is a cell in which the account "hot" is always above its rate and the
// account "limited" may use four processors.
type admissionCell struct{ *testCell }

func newAdmissionCell(t *testing.T, endpoints int) admissionCell {
	t.Helper()
	c := newCell(t, endpoints)
	c.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{
		{Name: "hot", Weight: 0.001}, {Name: "limited", Limit: modeler.Resources{Millis: 4000}},
	}})

	return admissionCell{c}
}

// jobOf returns a job of an account.
func (c admissionCell) jobOf(account, id string, step definer.Step) definer.Job {
	job := c.job(id, step)
	job.Account = account

	return job
}

// hotRefusal submits a small job of the account that is above its rate, and returns the refusal.
func (c admissionCell) hotRefusal() *Refusal {
	c.planner.backlog.measuredAt = 0
	job := c.jobOf("hot", fmt.Sprintf("hot-%d", c.now), simpleStep(1))
	job.Queue.Name, job.Queue.Priority = "short", 0
	refusal := c.planner.Admit(&job, c.now)
	c.planner.Withdraw(&job)

	return refusal
}

// playUntil plays rounds of placement for d. Questions remain unanswered.
func (c admissionCell) playUntil(d time.Duration) {
	for range d / (20 * time.Millisecond) {
		c.advance(20 * time.Millisecond)
		c.plan()
	}
}

// TestExcessIsRefusedWhileGangsWait guards against a burst of one account that is accepted
// because the cell has room, while gangs within the rates wait for answers of their policy;
// against the refusal of others; and against refusals after the gangs have started.
func TestExcessIsRefusedWhileGangsWait(t *testing.T) {
	c := newAdmissionCell(t, 20)
	if refusal := c.hotRefusal(); refusal != nil {
		t.Fatalf("refused with %q although nothing waits", refusal.Reason)
	}
	gang := simpleStep(4)
	gang.Gang, gang.Estimate = true, 4*time.Second
	job := c.jobOf("other", "gang", gang)
	job.Queue.Policy = &definer.Policy{Decide: 500 * time.Millisecond, Each: time.Millisecond, Validity: time.Second}
	c.accept(job)
	c.playUntil(500 * time.Millisecond)
	if refusal := c.hotRefusal(); refusal != nil {
		t.Errorf("refused with %q within the time of one decision", refusal.Reason)
	}
	c.playUntil(500 * time.Millisecond)
	if refusal := c.hotRefusal(); refusal == nil || refusal.Reason != refusalOverRate {
		t.Errorf("not refused while a gang has waited for half a second more than one decision: %+v", refusal)
	}
	other := c.jobOf("other", "b", simpleStep(1))
	if refusal := c.planner.Admit(&other, c.now); refusal != nil {
		t.Errorf("job within its account's rate is refused with %q", refusal.Reason)
	}
	c.planAndRun()
	c.playUntil(time.Second)
	if c.hotRefusal() == nil {
		t.Error("not refused a second after a gang that had waited has started")
	}
	c.playUntil(delayWindow)
	if refusal := c.hotRefusal(); refusal != nil {
		t.Errorf("refused with %q after a wait of %v, seconds after the gang has started", refusal.Reason, refusal.Delay)
	}
}

// TestLimitedWorkIsNoPressure guards against refusals because of a job that only the limit
// of its own account keeps from starting.
func TestLimitedWorkIsNoPressure(t *testing.T) {
	c := newAdmissionCell(t, 4)
	c.accept(c.jobOf("limited", "a", simpleStep(1)))
	c.planAndRun()
	c.accept(c.jobOf("limited", "b", simpleStep(1)))
	c.accept(c.jobOf("limited", "c", simpleStep(400)))
	c.playUntil(2 * time.Second)
	if refusal := c.hotRefusal(); refusal != nil {
		t.Errorf("refused with %q after a wait of %v", refusal.Reason, refusal.Delay)
	}
}

// TestNewOwnerEstimates guards against a new owner that accepts everything because it has
// seen no waits, and against one that takes the time of the takeover for waits.
func TestNewOwnerEstimates(t *testing.T) {
	c := newAdmissionCell(t, 4)
	job := c.jobOf("other", "inherited", simpleStep(1))
	c.accept(job)
	c.planner.jobs[job.ID].inherited = true
	c.planner.mustWait = true
	c.playUntil(time.Second)
	if refusal := c.hotRefusal(); refusal != nil {
		t.Errorf("refused with %q after a wait of %v although only inherited work waits for the takeover", refusal.Reason, refusal.Delay)
	}
	c.accept(c.jobOf("other", "large", simpleStep(40)))
	if refusal := c.hotRefusal(); refusal == nil || refusal.Reason != refusalOverRate {
		t.Errorf("not refused by the estimate: %+v", refusal)
	}
}

// TestUselessJobIsRefused guards against jobs that are accepted although they would be
// useless when they are done, because of the work of the cell or the limit of their account,
// and against the refusal of jobs that more work behind them does not delay.
func TestUselessJobIsRefused(t *testing.T) {
	const useful, useless = 16, 40
	for _, tt := range []struct {
		name, account, want string
		jobs, priority      int
	}{
		{"cell with time", "other", "", useful, 1}, {"full cell", "other", refusalBacklog, useless, 1}, {"work behind", "other", "", useless, 2},
		{"limit with time", "limited", "", useful / 4, 1}, {"limit", "limited", refusalLimit, useless / 4, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newAdmissionCell(t, 1)
			for n := range tt.jobs {
				job := c.jobOf(tt.account, fmt.Sprintf("%02d", n), simpleStep(1))
				job.Queue.Priority, job.Queue.Target = tt.priority, time.Minute
				c.accept(job)
			}
			c.planAndRun()
			job := c.jobOf(tt.account, "new", simpleStep(1))
			job.Queue.Target = 100 * time.Millisecond
			got := ""
			if refusal := c.planner.Admit(&job, c.now); refusal != nil {
				got = refusal.Reason
			}
			if got != tt.want {
				t.Errorf("refused with %q, want %q", got, tt.want)
			}
		})
	}
}

// TestAdmittedJobsAreCharged guards against a burst that is admitted as within the rate of
// its account because none of its jobs is stored yet, and against an account that pays for
// jobs which could not be stored.
func TestAdmittedJobsAreCharged(t *testing.T) {
	c := newAdmissionCell(t, 1)
	c.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "a", Weight: 2}}})
	jobs := make([]definer.Job, 6)
	for n := range jobs {
		jobs[n] = c.jobOf("a", fmt.Sprint(n), simpleStep(1))
		c.planner.Admit(&jobs[n], c.now)
	}
	c.planner.Withdraw(&jobs[0])
	for n := range jobs[1:] {
		c.accept(jobs[n+1])
		if excess := c.planner.jobs[jobs[n+1].ID].excess; excess != (n+1 >= 4) {
			t.Errorf("job %d of a burst of 6 with 4 tokens: excess %v", n+1, excess)
		}
	}
	if c.planner.account("a").overRate(c.now) {
		t.Error("the token of the job that was not stored is not returned")
	}
}

// TestYieldingWorkIsBounded guards against accepted work beyond a rate that takes the room
// for which a gang collects, against such work that makes no progress meanwhile, against more
// of it that is accepted then, and against room that stays idle when no useful work waits.
func TestYieldingWorkIsBounded(t *testing.T) {
	const endpoints = 40
	for _, tt := range []struct {
		gangWaits bool
		want      int
	}{{true, endpoints * 4 / 20}, {false, endpoints * 2}} {
		c := newAdmissionCell(t, endpoints)
		for n := range endpoints {
			c.accept(c.jobOf("hot", fmt.Sprintf("hot-%02d", n), simpleStep(2)))
		}
		if tt.gangWaits {
			gang := simpleStep(endpoints * 4)
			gang.Gang, gang.Estimate = true, 4*time.Second
			job := c.jobOf("other", "gang", gang)
			job.Queue.Policy = &definer.Policy{Decide: 500 * time.Millisecond, Each: time.Millisecond, Validity: time.Second}
			c.accept(job)
		}
		c.playUntil(400 * time.Millisecond)
		if len(c.started) != tt.want {
			t.Errorf("gang waits %v: %d tasks beyond the rate started on room for %d, want %d", tt.gangWaits, len(c.started), endpoints*4, tt.want)
		}
		if refused := c.hotRefusal() != nil; refused != tt.gangWaits {
			t.Errorf("gang waits %v: one more job beyond the rate is refused: %v", tt.gangWaits, refused)
		}
	}
}

// TestCallersReturnSpread guards against callers that all return at once, that return later
// than less urgent ones, or outside of the bounds.
func TestCallersReturnSpread(t *testing.T) {
	job := definer.Job{}
	times := map[time.Duration]bool{}
	for n := range 100 {
		job.ID, job.Queue.Priority = fmt.Sprint(n), 0
		urgent := retryAfter(&job, 2*time.Second)
		job.Queue.Priority = 1
		patient, latest := retryAfter(&job, 2*time.Second), retryAfter(&job, time.Hour)
		if urgent >= patient || urgent < minRetryAfter || latest > maxRetryAfter {
			t.Errorf("job %d: %v if urgent, %v if not, %v at most", n, urgent, patient, latest)
		}
		times[urgent] = true
	}
	if len(times) < 90 {
		t.Errorf("100 callers return at %d different times", len(times))
	}
	a := account{weight: 2}
	first, second := a.reserveToken(definer.Instant(time.Hour)), a.reserveToken(definer.Instant(time.Hour))
	if first != 500*time.Millisecond || second != time.Second {
		t.Errorf("callers of an account of 2 jobs a second get turns after %v and %v", first, second)
	}
}

// TestUrgentFlowDelaysOthers guards against the acceptance of work that more urgent work
// which keeps coming leaves no room for, and against refusals after a short burst of it.
func TestUrgentFlowDelaysOthers(t *testing.T) {
	const capacity = 16000
	now := definer.Instant(time.Hour)
	urgent := &job{Job: definer.Job{Steps: []definer.Step{{Count: 4, Need: modeler.Resources{Millis: 8000}, Estimate: time.Second}}}}
	f := acceptedLoad{}
	for range 4 {
		f.add(urgent, now)
		now = now.Add(time.Second)
	}
	if left := f.remaining(1, capacity, now); left < capacity/2 {
		t.Errorf("%d of %d millicores are left after 4 s of twice the capacity", left, capacity)
	}
	for range 60 {
		f.add(urgent, now)
		now = now.Add(time.Second)
	}
	if left := f.remaining(1, capacity, now); left != capacity*minRemainingShare {
		t.Errorf("%d of %d millicores are left after a minute of twice the capacity", left, capacity)
	}
	if left := f.remaining(0, capacity, now); left != capacity {
		t.Errorf("%d of %d millicores are left for work of the same priority", left, capacity)
	}
}
