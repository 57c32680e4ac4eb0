package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// standingWork is a cell with jobs that wait, endpoints that run their tasks for a fixed
// time, and instances that answer questions to the placement policy one at a time.
type standingWork struct {
	*testCell
	policy definer.Policy
	// admitted is the share of the endpoints that the policy admits, in percent.
	admitted uint64
	// interval is the time between rounds of placement, and runTime the time that a task takes.
	interval, runTime time.Duration
	// freeAt holds, for each instance, when it has answered its last question.
	freeAt  []definer.Instant
	answers []pendingQuestion
	runs    []modelRun
	// acceptedAt holds when the jobs without a question were accepted, and answeredAt when
	// those that have neither started nor asked since were last answered.
	acceptedAt, answeredAt map[string]definer.Instant
	// starts, questions, longestUnasked and longestUnused are the result: the numbers of starts and questions,
	// and the longest times from the acceptance of a job to its first question, and from
	// an answer to its use or the next question of the job.
	starts, questions             int
	longestUnasked, longestUnused time.Duration
}

// modelRun is a run of a task that ends at a given time.
type modelRun struct {
	start StartCmd
	end   definer.Instant
}

// newStandingWork returns a cell of 12 idle endpoints with room for four tasks each, and
// jobs of one task that all exceed the rate of their account.
func newStandingWork(tb testing.TB, jobs int, interval time.Duration) *standingWork {
	tb.Helper()
	const endpoints, instances = 12, 7
	w := &standingWork{
		testCell: newCell(tb, endpoints), policy: definer.Policy{Decide: 49 * time.Millisecond, Each: 700 * time.Microsecond, Validity: 2500 * time.Millisecond},
		admitted: 45, interval: interval, runTime: 200 * time.Millisecond, freeAt: make([]definer.Instant, instances),
		acceptedAt: map[string]definer.Instant{}, answeredAt: map[string]definer.Instant{},
	}
	w.limitRate()
	w.acceptJobs(jobs)

	return w
}

// acceptJobs accepts jobs with the numbers from 0.
func (w *standingWork) acceptJobs(jobs int) {
	for n := range jobs {
		w.accept(n)
	}
}

// accept accepts the n-th job.
func (w *standingWork) accept(n int) {
	job := w.job(fmt.Sprintf("%016x", n+1), definer.Step{Count: 1, Need: modeler.Resources{Millis: 4000}, Estimate: 5 * w.runTime})
	policy := w.policy
	job.Queue.Policy = &policy
	w.planner.Accept(job, w.now, w.wall)
	w.acceptedAt[job.ID] = w.now
}

// fill starts tasks that take as long as others on all of the idle cell.
func (w *standingWork) fill() {
	w.Helper()
	const places = 48
	w.planner.Accept(w.job("long", definer.Step{Count: places, Need: modeler.Resources{Millis: 4000}, Estimate: w.runTime}), w.now, w.wall)
	w.step()
	if len(w.runs) != places {
		w.Fatalf("%d tasks started on an idle cell, want %d", len(w.runs), places)
	}
}

// step advances the time by one round of placement.
func (w *standingWork) step() {
	w.advance(w.interval)
	w.answerQuestions()
	w.endRuns()
	w.plan()
	for _, ask := range w.takeAsked() {
		w.ask(ask)
	}
	for _, start := range w.started {
		w.observeUse(start.Order.Task.Job)
		w.run(start)
		w.runs = append(w.runs, modelRun{start, w.now.Add(w.runTime)})
	}
	w.starts += len(w.started)
	w.started = nil
}

// ask assigns a question to the instance that is free first.
func (w *standingWork) ask(ask AskPolicyCmd) {
	if accepted, first := w.acceptedAt[ask.Job]; first {
		w.longestUnasked = max(w.longestUnasked, w.now.Sub(accepted))
		delete(w.acceptedAt, ask.Job)
	}
	w.observeUse(ask.Job)
	w.questions++
	instance := 0
	for i, at := range w.freeAt {
		if at < w.freeAt[instance] {
			instance = i
		}
	}
	w.freeAt[instance] = max(w.freeAt[instance], w.now).Add(ask.DecisionTime)
	w.answers = append(w.answers, pendingQuestion{ask, w.freeAt[instance]})
}

// observeUse notes that the last answer for a job was used or asked for again.
func (w *standingWork) observeUse(job string) {
	if answered, ok := w.answeredAt[job]; ok {
		w.longestUnused = max(w.longestUnused, w.now.Sub(answered))
		delete(w.answeredAt, job)
	}
}

func (w *standingWork) answerQuestions() {
	waiting := w.answers[:0]
	for _, question := range w.answers {
		if question.at > w.now {
			waiting = append(waiting, question)

			continue
		}
		ask := question.ask
		var tickets []definer.Ticket
		for _, id := range ask.Endpoints {
			if xxhash.Sum64String(ask.Job+id)%100 < w.admitted {
				tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "t"})
			}
		}
		w.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: w.now}, w.now)
		w.answeredAt[ask.Job] = w.now
	}
	w.answers = waiting
}

func (w *standingWork) endRuns() {
	running := w.runs[:0]
	for _, run := range w.runs {
		if run.end > w.now {
			running = append(running, run)

			continue
		}
		w.endRun(run.start.Target.ID, run.start.Order.Task, run.start.Order.Run, definer.EndDone)
	}
	w.runs = running
}

// limitRate makes all jobs that are accepted from now on exceed the rate of their account.
func (c *testCell) limitRate() {
	c.planner.Configure(&definer.Configuration{Accounts: []definer.Account{{Name: "account", Weight: 0.001}}, Routes: testRoutes})
}

// TestTicketsOfDeferrableStepsAreUsedBeforeTheyExpire guards against work beyond the rate
// of its account that stands on an idle cell, because the turns of its steps are
// further apart than their tickets are valid.
func TestTicketsOfDeferrableStepsAreUsedBeforeTheyExpire(t *testing.T) {
	const limit = 20 * time.Second
	for _, interval := range []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		for _, jobs := range []int{50, 200, 400, 800} {
			t.Run(fmt.Sprintf("%d-jobs-%v", jobs, interval), func(t *testing.T) {
				w := newStandingWork(t, jobs, interval)
				for began := w.now; w.now.Sub(began) < limit; {
					w.step()
				}
				t.Logf("%d starts, %d questions, first question after %v, answer used after %v", w.starts, w.questions, w.longestUnasked, w.longestUnused)
				if w.starts < jobs {
					t.Errorf("%d of %d jobs started in %v", w.starts, jobs, limit)
				}
				if bound := w.policy.Validity / 4; w.longestUnused > bound {
					t.Errorf("an answer was used after %v, want at most %v", w.longestUnused, bound)
				}
				if bound := time.Duration(jobs) * interval; w.longestUnasked > bound {
					t.Errorf("a job asked first after %v, want at most %v", w.longestUnasked, bound)
				}
			})
		}
	}
}

// TestFreeRoomIsUsedWhateverWaits guards against room that stays free on a full cell
// although many deferrable steps wait that their policy admits to it.
func TestFreeRoomIsUsedWhateverWaits(t *testing.T) {
	const ends = 30
	// Callers take a job for lost that stands beside room for three times as long.
	const bound = time.Second
	for _, interval := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond} {
		for _, jobs := range []int{50, 200, 2000} {
			t.Run(fmt.Sprintf("%d-jobs-%v", jobs, interval), func(t *testing.T) {
				w := newStandingWork(t, 0, interval)
				w.runTime = time.Hour
				w.fill()
				w.acceptJobs(jobs)
				var longest time.Duration
				for n := range ends {
					for range 10 {
						w.step()
					}
					before, began := w.starts, w.now
					w.runs[n*7%len(w.runs)].end = w.now
					for w.starts == before && w.now.Sub(began) <= bound {
						w.step()
					}
					longest = max(longest, w.now.Sub(began))
				}
				t.Logf("%d questions, free room used after %v", w.questions, longest)
				if longest > bound {
					t.Errorf("room stayed free for more than %v", bound)
				}
			})
		}
	}
}

// TestDeferrableStepIsNotLeftOut guards against a step that never has its turn, because
// others, which can't start, come and go at the pace of the rounds.
func TestDeferrableStepIsNotLeftOut(t *testing.T) {
	const endpoints, resident, rounds = 12, 7, 100
	for name, arrive := range map[string]func(round int) bool{
		"each-round":        func(int) bool { return true },
		"each-second-round": func(round int) bool { return round%2 == 0 },
		"never":             func(int) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, endpoints)
			c.limitRate()
			accept := func(id int, requires string, waited time.Duration) string {
				job := c.job(fmt.Sprintf("%016x", id), definer.Step{Count: 1, Requires: requires, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
				job.Accepted = c.wall.Add(-waited)
				c.planner.Accept(job, c.now, c.wall)

				return job.ID
			}
			for n := range resident {
				accept(1000+n, "none", 0)
			}
			accept(1000+resident, "", 0)
			for round := range rounds {
				var passing []string
				if arrive(round) {
					for n := range 4 {
						passing = append(passing, accept(10*round+n+1, "none", time.Minute), accept(1_000_000+10*round+n, "none", 0))
					}
				}
				c.now = c.now.Add(10 * time.Millisecond)
				c.plan()
				for _, id := range passing {
					c.planner.Cancel(id)
					c.planner.CancelStored(id, c.now)
				}
			}
			if len(c.started) != 1 {
				t.Errorf("%d starts in %d rounds, want 1", len(c.started), rounds)
			}
		})
	}
}

// TestStepsThatWaitForAnAnswerTakeNoTurns guards against work that stands behind a
// backlog whose policy does not answer.
func TestStepsThatWaitForAnAnswerTakeNoTurns(t *testing.T) {
	w := newStandingWork(t, 400, 10*time.Millisecond)
	for range 110 {
		w.advance(w.interval)
		w.plan()
	}
	if asked := len(w.takeAsked()); asked != 400 {
		t.Fatalf("%d of 400 jobs asked", asked)
	}
	w.accept(400)
	w.advance(w.interval)
	w.plan()
	if asked := w.takeAsked(); len(asked) != 1 {
		t.Errorf("%d questions in the first round after a job was accepted, want 1", len(asked))
	}
}

// TestStepsWithoutRoomTakeNoTurns guards against small work that stands beside room
// behind a backlog of large work.
func TestStepsWithoutRoomTakeNoTurns(t *testing.T) {
	for name, quarantined := range map[string]int{"none-in-quarantine": 0, "one-in-quarantine": 1} {
		t.Run(name, func(t *testing.T) { testStepsWithoutRoom(t, quarantined) })
	}
}

// testStepsWithoutRoom plays a cell in which the given number of endpoints has been in
// quarantine for long.
func testStepsWithoutRoom(t *testing.T, quarantined int) {
	t.Helper()
	c := newCell(t, 12)
	c.planner.Accept(c.job("0000000000000001", definer.Step{Count: 12, PerEndpoint: 1, Need: modeler.Resources{Millis: 14000}, Estimate: time.Minute}), c.now, c.wall)
	c.planAndRun()
	for _, e := range c.planner.ordered[:quarantined] {
		e.quarantinedAt, e.quarantinedUntil = c.now.Add(-maxSoleQuarantine), c.now.Add(time.Minute)
	}
	c.limitRate()
	for n := range 400 {
		c.planner.Accept(c.job(fmt.Sprintf("%016x", n+2), definer.Step{Count: 1, Need: modeler.Resources{Millis: 4000}, Estimate: time.Second}), c.now, c.wall)
	}
	c.advance(10 * time.Millisecond)
	c.plan()
	small := c.job("1000000000000000", definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
	c.planner.Accept(small, c.now, c.wall)
	c.advance(10 * time.Millisecond)
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts in the first round after a job with room was accepted, want 1", len(c.started))
	}
}

// TestStepsBeyondTheLimitTakeNoTurns guards against work that stands behind a backlog of
// an account that may run no more.
func TestStepsBeyondTheLimitTakeNoTurns(t *testing.T) {
	c := newCell(t, 12)
	c.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{
		{Name: "account", Weight: 0.001, Limit: modeler.Resources{Millis: 500}}, {Name: "other", Weight: 0.001},
	}})
	for n := range 400 {
		c.planner.Accept(c.job(fmt.Sprintf("%016x", n+1), definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second}), c.now, c.wall)
	}
	c.advance(10 * time.Millisecond)
	c.plan()
	other := c.job("1000000000000000", definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
	other.Account = "other"
	c.planner.Accept(other, c.now, c.wall)
	c.advance(10 * time.Millisecond)
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts in the first round after a job of another account was accepted, want 1", len(c.started))
	}
}

// TestInheritedStepsTakeNoTurns guards against new work that stands behind an inherited
// backlog, which can't start before the takeover is settled.
func TestInheritedStepsTakeNoTurns(t *testing.T) {
	c := newCell(t, 12)
	c.limitRate()
	for n := range 400 {
		job := c.job(fmt.Sprintf("%016x", n+1), definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
		c.planner.Accept(job, c.now, c.wall)
		c.planner.jobs[job.ID].inherited = true
	}
	c.planner.mustWait = true
	c.advance(10 * time.Millisecond)
	c.plan()
	c.planner.Accept(c.job("1000000000000000", definer.Step{Count: 1, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second}), c.now, c.wall)
	c.advance(10 * time.Millisecond)
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts in the first round after a job was accepted, want 1", len(c.started))
	}
}

// BenchmarkPlanDeferrable measures a round of placement on a full cell in which only
// work waits that exceeds the rate of its account.
func BenchmarkPlanDeferrable(b *testing.B) {
	for _, size := range []struct{ endpoints, jobs int }{{48, 1000}, {48, 2000}, {1100, 2000}} {
		b.Run(fmt.Sprintf("%d-endpoints-%d-jobs", size.endpoints, size.jobs), func(b *testing.B) {
			c := newCell(b, size.endpoints)
			c.limitRate()
			policy := &definer.Policy{Decide: 46 * time.Millisecond, Each: time.Millisecond, Validity: 1500 * time.Millisecond}
			for n := range size.jobs {
				job := c.job(fmt.Sprintf("%016x", n), mixedStep(n))
				job.Queue.Policy = policy
				c.planner.Accept(job, c.now, c.wall)
			}
			round := func(n int) {
				c.now = c.now.Add(10 * time.Millisecond)
				for _, e := range c.planner.endpoints {
					e.lastAnswered = c.now
				}
				c.planner.Plan(c.now)
				for _, command := range c.planner.Commands() {
					if ask, ok := command.(AskPolicyCmd); ok {
						c.admitSome(ask, n)
					}
				}
			}
			for n := range 300 {
				round(n)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				round(n)
			}
		})
	}
}

// TestLateRoundsOfLargeCellHaveNoMoreTurns guards against rounds of a large cell that come
// later and later, because each late round has more turns and takes longer.
func TestLateRoundsOfLargeCellHaveNoMoreTurns(t *testing.T) {
	const endpoints, jobs, interval = 200, 400, 60 * time.Millisecond
	c := newCell(t, endpoints)
	c.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "account", Weight: 0.001}}})
	for n := range jobs {
		job := c.job(fmt.Sprintf("%016x", n+1), simpleStep(1))
		job.Queue.Policy = &definer.Policy{Decide: 100 * time.Millisecond, Each: time.Millisecond, Validity: time.Second}
		c.accept(job)
	}
	for round := range 3 {
		c.plan()
		if questions, limit := len(c.takeAsked()), 1+endpoints/4; questions > limit {
			t.Errorf("%d questions in round %d, want at most %d", questions, round, limit)
		}
		c.now = c.now.Add(interval)
	}
}
