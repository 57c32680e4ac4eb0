package planner

import (
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// costlyPolicy needs a second for a question about a hundred endpoints.
var costlyPolicy = &definer.Policy{Decide: 500 * time.Millisecond, Each: 5 * time.Millisecond, Validity: 1500 * time.Millisecond}

// waitingGang accepts a gang that needs all of a full cell, lets its policy admit the
// endpoints with even numbers, and returns its stored progress.
func waitingGang(t *testing.T, c *testCell, policy *definer.Policy) Progress {
	t.Helper()
	filler := c.job("filler", simpleStep(4*len(c.born)))
	c.accept(filler)
	c.planAndRun()
	gang := simpleStep(8)
	gang.Gang = true
	job := c.job("gang", gang)
	job.Queue.Policy = policy
	c.accept(job)
	c.plan()
	for _, ask := range c.takeAsked() {
		var tickets []definer.Ticket
		for _, id := range ask.Endpoints {
			if (id[len(id)-1]-'0')%2 == 0 {
				tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "ticket"})
			}
		}
		c.planner.PolicyAnswered(&ask, PolicyAnswer{Answered: true, Tickets: tickets, Arrived: c.now}, c.now)
	}
	snapshots, _ := c.planner.Dirty()
	at := slices.IndexFunc(snapshots, func(s Snapshot) bool { return s.ID == "gang" })
	if at < 0 {
		return Progress{}
	}

	return snapshots[at].Progress
}

// TestNextOwnerKnowsAdmittedEndpoints guards against a new owner that asks the policy of a
// waiting gang about all endpoints again, and against one that starts the gang without new
// tickets.
func TestNextOwnerKnowsAdmittedEndpoints(t *testing.T) {
	data, err := msgpack.Marshal(waitingGang(t, newCell(t, 8), costlyPolicy))
	if err != nil {
		t.Fatal(err)
	}
	var progress Progress
	if err := msgpack.Unmarshal(data, &progress); err != nil {
		t.Fatal(err)
	}
	next := newCell(t, 0)
	for _, id := range []string{"e000", "e001", "e002", "e003", "e004", "e005", "e006"} {
		next.born[id] = 1
		next.planner.RestoreEndpoint(id, next.listing(id))
	}
	gang := simpleStep(8)
	gang.Gang = true
	job := next.job("gang", gang)
	job.Queue.Policy = costlyPolicy
	next.planner.Restore(job, progress, next.now, next.wall)
	for id := range next.born {
		next.listEndpoint(id)
	}
	next.plan()
	if len(next.started) > 0 {
		t.Errorf("%d tasks started without a ticket", len(next.started))
	}
	if len(next.asked) != 1 {
		t.Fatalf("%d questions, want 1", len(next.asked))
	}
	for _, id := range next.asked[0].Endpoints {
		if !slices.Contains([]string{"e000", "e002", "e004", "e006"}, id) {
			t.Errorf("asked about %s, which the policy has not admitted", id)
		}
	}
}

// TestCheapAnswersAreNotStored guards against records that grow by answers which the next
// owner gets from the policy as soon as it needs them.
func TestCheapAnswersAreNotStored(t *testing.T) {
	quick := &definer.Policy{Decide: 11 * time.Millisecond, Each: 160 * time.Microsecond, Validity: 1500 * time.Millisecond}
	if progress := waitingGang(t, newCell(t, 8), quick); len(progress.Answers) > 0 {
		t.Errorf("answers of a quick policy are stored: %v", progress.Answers)
	}
}

// TestStoredAnswersAreBounded guards against a record that grows with the cell.
func TestStoredAnswersAreBounded(t *testing.T) {
	progress := waitingGang(t, newCell(t, 3*maxStoredAnswers), costlyPolicy)
	if len(progress.Answers) != 1 || len(progress.Answers[0].Admitted) > maxStoredAnswers {
		t.Errorf("%d steps with answers, want 1 with at most %d endpoints", len(progress.Answers), maxStoredAnswers)
	}
}
