package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// gangCell is a cell whose endpoints are full at first, and the policy of the gangs that
// wait for them.
type gangCell struct {
	*testCell
	began definer.Instant
	// admits tells the endpoints to which the policy admits a job.
	admits func(job string, endpoint int) bool
	// silent tells the jobs whose questions are never answered.
	silent func(job string) bool
	// perSecond is how many questions the policy answers a second, or 0 for any number.
	perSecond int
	nextFree  definer.Instant
	questions []pendingQuestion
	asks      int
	// askedAt is when the policy was first asked about a job.
	askedAt map[string]time.Duration
	// target is that of the queue of the gangs; the order of the gangs changes when it is missed.
	target    time.Duration
	startedAt map[string]time.Duration
}

// gangPolicy answers about so slowly that tickets run out between two rounds of questions.
var gangPolicy = &definer.Policy{Decide: 310 * time.Millisecond, Each: 4400 * time.Microsecond, Validity: 2500 * time.Millisecond}

// newGangCell returns a cell of the given number of endpoints, all full.
func newGangCell(t *testing.T, endpoints int) *gangCell {
	t.Helper()
	c := newCell(t, endpoints)
	filler := c.job("filler", simpleStep(4*endpoints))
	filler.Steps[0].Estimate = time.Hour
	c.accept(filler)
	c.planAndRun()

	return &gangCell{
		testCell: c, began: c.now, startedAt: map[string]time.Duration{}, askedAt: map[string]time.Duration{}, target: time.Second,
		admits: func(string, int) bool { return true }, silent: func(string) bool { return false },
	}
}

// gang returns a job that is a gang of as many tasks as an endpoint holds.
func (g *gangCell) gang(id string) definer.Job {
	step := simpleStep(4)
	step.Gang, step.Estimate = true, 4*time.Second
	job := g.job(id, step)
	job.Queue.Policy, job.Queue.Target = gangPolicy, g.target

	return job
}

// free ends all runs on the endpoints from first to last.
func (g *gangCell) free(first, last int) {
	for n := first; n <= last; n++ {
		id := fmt.Sprintf("e%03d", n)
		for len(g.running[id]) > 0 {
			row := g.running[id][0]
			g.endRun(id, row.Task, row.Run, definer.EndDone)
		}
	}
}

// runUntil plays rounds of 20 ms up to the given time since the beginning.
func (g *gangCell) runUntil(end time.Duration) {
	for g.now.Sub(g.began) < end {
		g.advance(20 * time.Millisecond)
		g.answer()
		g.plan()
		for _, ask := range g.takeAsked() {
			g.ask(ask)
		}
		for _, start := range g.started {
			if _, known := g.startedAt[start.Order.Task.Job]; !known {
				g.startedAt[start.Order.Task.Job] = g.now.Sub(g.began)
			}
			g.run(start)
		}
		g.started = nil
	}
}

// ask hands a question to the policy.
func (g *gangCell) ask(ask AskPolicyCmd) {
	g.asks++
	if _, known := g.askedAt[ask.Job]; !known {
		g.askedAt[ask.Job] = g.now.Sub(g.began)
	}
	at := g.now
	if g.perSecond > 0 {
		g.nextFree = max(g.nextFree, g.now).Add(time.Second / time.Duration(g.perSecond))
		at = g.nextFree
	}
	if !g.silent(ask.Job) {
		g.questions = append(g.questions, pendingQuestion{ask, at.Add(ask.DecisionTime)})
	}
}

// answer answers the questions that the policy has decided.
func (g *gangCell) answer() {
	waiting := g.questions[:0]
	for _, question := range g.questions {
		if question.at > g.now {
			waiting = append(waiting, question)

			continue
		}
		ask := question.ask
		var tickets []definer.Ticket
		for _, id := range ask.Endpoints {
			var n int
			if _, err := fmt.Sscanf(id, "e%d", &n); err == nil && g.admits(ask.Job, n) {
				tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "t"})
			}
		}
		g.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: g.now}, g.now)
	}
	g.questions = waiting
}

// acceptGangs accepts gangs whose ids begin with the prefix.
func (g *gangCell) acceptGangs(prefix string, count int) {
	for n := range count {
		g.accept(g.gang(fmt.Sprintf("%s%02d", prefix, n)))
	}
}

// requireStarts fails the test unless each of the first gangs with the prefix b has started
// by the given time.
func (g *gangCell) requireStarts(count int, by time.Duration) {
	g.Helper()
	for n := range count {
		id := fmt.Sprintf("b%02d", n)
		if at, started := g.startedAt[id]; !started || at > by {
			g.Errorf("gang %s: started %v, at %v; want it by %v", id, started, at, by)
		}
	}
}

// TestGangBehindOthersStartsBesideFreeRoom guards against gangs that stand beside idle
// endpoints because the gangs in front of them wait for full ones.
func TestGangBehindOthersStartsBesideFreeRoom(t *testing.T) {
	for _, size := range []struct{ endpoints, front int }{{12, 0}, {12, 1}, {12, 2}, {12, 3}, {12, 4}, {12, 6}, {48, 0}, {48, 4}, {48, 5}, {48, 6}, {48, 12}, {48, 40}} {
		t.Run(fmt.Sprintf("%d-endpoints-%d-in-front", size.endpoints, size.front), func(t *testing.T) {
			g := newGangCell(t, size.endpoints)
			g.admits = func(job string, endpoint int) bool { return (job[0] == 'a') == (endpoint < 4) }
			g.acceptGangs("a", size.front)
			g.acceptGangs("b", 4)
			g.runUntil(5 * time.Second)
			g.free(4, 11)
			g.runUntil(30 * time.Second)
			g.requireStarts(4, 6500*time.Millisecond)
		})
	}
}

// TestGangBehindFullOnesAsksFirst guards against a gang that never asks its first
// question because those in front wait for full endpoints.
func TestGangBehindFullOnesAsksFirst(t *testing.T) {
	g := newGangCell(t, 12)
	g.admits = func(job string, endpoint int) bool { return (job[0] == 'a') == (endpoint < 4) }
	g.acceptGangs("a", 6)
	g.runUntil(time.Second)
	g.acceptGangs("b", 4)
	g.free(4, 11)
	g.runUntil(5 * time.Second)
	g.requireStarts(4, 3*time.Second)
}

// TestGangsThatCannotAskHoldNoQuestions guards against gangs that can't ask their policy
// and keep others from it.
func TestGangsThatCannotAskHoldNoQuestions(t *testing.T) {
	for name, hold := range map[string]func(*definer.Job){
		"label":  func(job *definer.Job) { job.Steps[0].Requires = "none" },
		"silent": func(job *definer.Job) { job.Queue.Name = "silent" },
		"limit":  func(job *definer.Job) { job.Account = "limited" },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGangCell(t, 12)
			g.planner.Configure(&definer.Configuration{Routes: testRoutes, Accounts: []definer.Account{{Name: "limited", Limit: modeler.Resources{Millis: 1000}}}})
			g.silent = func(job string) bool { return name == "silent" && job[0] == 'a' }
			for n := range 1000 {
				job := g.gang(fmt.Sprintf("a%03d", n))
				hold(&job)
				g.accept(job)
			}
			g.runUntil(time.Second)
			g.acceptGangs("b", 4)
			g.free(4, 11)
			g.runUntil(5 * time.Second)
			g.requireStarts(4, 3*time.Second)
		})
	}
}

// TestRenewalsPassFirstQuestions guards against gangs with room that stand because many
// others ask a slow policy for the first time.
func TestRenewalsPassFirstQuestions(t *testing.T) {
	g := newGangCell(t, 48)
	g.perSecond = 10
	g.admits = func(job string, endpoint int) bool { return (job[0] == 'a') == (endpoint >= 4) }
	g.acceptGangs("b", 3)
	g.runUntil(time.Second)
	g.acceptGangs("a", 300)
	g.runUntil(4 * time.Second)
	g.free(0, 3)
	g.runUntil(10 * time.Second)
	g.requireStarts(3, 5*time.Second)
}

// TestAllGangsAskFirst guards against gangs that never ask their policy on a cell that
// stays full.
func TestAllGangsAskFirst(t *testing.T) {
	g := newGangCell(t, 12)
	g.perSecond = 10
	g.acceptGangs("a", 60)
	g.runUntil(20 * time.Second)
	if asked := len(g.askedAt); asked != 60 {
		t.Errorf("%d of 60 gangs have been asked about", asked)
	}
}

// TestGangsAskForDistinctRoom guards against many gangs that ask for tickets for the same
// room, of which one may start.
func TestGangsAskForDistinctRoom(t *testing.T) {
	g := newGangCell(t, 48)
	g.admits = func(_ string, endpoint int) bool { return endpoint >= 4 && endpoint < 12 }
	g.acceptGangs("a", 40)
	g.runUntil(12 * time.Second)
	before := g.asks
	g.free(4, 7)
	g.runUntil(12*time.Second + 300*time.Millisecond)
	if asks := g.asks - before; asks != 4 {
		t.Errorf("%d questions for the room of four gangs, want 4", asks)
	}
}

// TestGangSharesRoomOfSilentPolicy guards against gangs whose policy does not answer and
// that one after the other keep free room from those that could use it.
func TestGangSharesRoomOfSilentPolicy(t *testing.T) {
	g := newGangCell(t, 12)
	silent := false
	g.silent = func(job string) bool { return silent && job[0] == 'a' }
	g.admits = func(_ string, endpoint int) bool { return endpoint == 4 }
	for n := range 20 {
		job := g.gang(fmt.Sprintf("a%02d", n))
		job.Queue.Name = "silent"
		g.accept(job)
	}
	g.acceptGangs("b", 1)
	g.runUntil(12 * time.Second)
	silent = true
	g.free(4, 4)
	g.runUntil(20 * time.Second)
	g.requireStarts(1, 15500*time.Millisecond)
}

// TestUnansweredGangsLeaveTurns guards against gangs without an answer that ask again and
// again, and keep a gang of the same queue behind them from its first question.
func TestUnansweredGangsLeaveTurns(t *testing.T) {
	g := newGangCell(t, 12)
	g.target = time.Hour
	g.silent = func(job string) bool { return job[0] == 'a' }
	g.acceptGangs("a", 8)
	g.runUntil(time.Second)
	g.acceptGangs("b", 1)
	g.free(4, 4)
	g.runUntil(20 * time.Second)
	g.requireStarts(1, 14*time.Second)
}

// TestUnansweredQueueLeavesQuestions guards against the gangs of a silent policy that use
// up the questions of those of another queue.
func TestUnansweredQueueLeavesQuestions(t *testing.T) {
	const count = 60
	g := newGangCell(t, 48)
	g.target = time.Hour
	g.silent = func(job string) bool { return job[0] == 'a' }
	for n := range 200 {
		job := g.gang(fmt.Sprintf("a%03d", n))
		job.Queue.Name = "silent"
		g.accept(job)
	}
	g.runUntil(time.Second)
	g.acceptGangs("b", count)
	g.runUntil(40 * time.Second)
	var last time.Duration
	for n := range count {
		last = max(last, g.askedAt[fmt.Sprintf("b%02d", n)])
	}
	if last == 0 || last > 22*time.Second {
		t.Errorf("the last of %d gangs asked at %v, want it by 22 s", count, last)
	}
}

// TestUrgentGangAsksSoon guards against a gang that is more urgent than the others and
// asks after all that were accepted before it.
func TestUrgentGangAsksSoon(t *testing.T) {
	g := newGangCell(t, 12)
	g.target = time.Hour
	g.acceptGangs("a", 40)
	g.runUntil(100 * time.Millisecond)
	g.target = time.Minute
	g.acceptGangs("b", 1)
	g.runUntil(5 * time.Second)
	if at, asked := g.askedAt["b00"]; !asked || at > time.Second {
		t.Errorf("the urgent gang asked: %v, at %v; want it within a second", asked, at)
	}
}

// TestQuestionsAboutGangsAreBounded guards against as many questions to slow policies as
// there are gangs, and against free questions that are kept for gangs which have one out.
func TestQuestionsAboutGangsAreBounded(t *testing.T) {
	g := newGangCell(t, 12)
	g.silent = func(string) bool { return true }
	g.acceptGangs("a", 1)
	g.runUntil(100 * time.Millisecond)
	for n := range 120 {
		job := g.gang(fmt.Sprintf("b%03d", n))
		job.Queue.Name = fmt.Sprintf("queue%d", n%2)
		g.accept(job)
	}
	g.runUntil(120 * time.Millisecond)
	if limit := 1 + 12/4; g.asks != limit {
		t.Errorf("%d questions out after a round, want %d", g.asks, limit)
	}
	g.runUntil(500 * time.Millisecond)
	if limit := 1 + 12/4; g.asks != limit {
		t.Errorf("%d questions out, want %d", g.asks, limit)
	}
}
