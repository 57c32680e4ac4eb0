package planner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// cell is a planner with endpoints that are played by the test.
type cell struct {
	testing.TB
	planner *Planner
	now     definer.Instant
	wall    time.Time
	// running holds what each endpoint runs, and ends what it lists.
	running map[string][]definer.RunningTask
	ends    map[string][]definer.EndedTask
	born    map[string]int64
	started []StartCmd
	stopped []StopCmd
	asked   []AskPolicyCmd
}

var testSettings = Settings{Lease: 4500 * time.Millisecond, Freshness: 2500 * time.Millisecond}

// newCell returns a cell whose endpoints have 16 processors and 64 GiB, and have answered once.
func newCell(tb testing.TB, endpoints int) *cell {
	tb.Helper()
	c := &cell{
		TB: tb, planner: New(testSettings), now: definer.Instant(time.Hour), wall: time.Date(2026, 4, 10, 7, 0, 0, 0, time.UTC),
		running: map[string][]definer.RunningTask{}, ends: map[string][]definer.EndedTask{}, born: map[string]int64{},
	}
	for n := range endpoints {
		c.list(fmt.Sprintf("e%03d", n))
	}

	return c
}

func (c *cell) list(id string) {
	c.born[id] = 1
	c.planner.UpdateListing(c.listing(id), c.now)
	c.planner.EndpointStored(id)
	c.report(id)
}

// listing returns the entry of an endpoint in the list.
func (c *cell) listing(id string) definer.Listing {
	return definer.Listing{
		ID: id, Service: "service", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1,
		Capacity: modeler.Resources{Millis: 16000, Memory: 64 << 30}, Labels: []string{"a", "r1-" + id[len(id)-1:]},
	}
}

// job returns a job with the steps on a queue without a policy.
func (c *cell) job(id string, steps ...definer.Step) definer.Job {
	return definer.Job{
		ID: id, Account: "account", Spec: "spec", Steps: steps, Accepted: c.wall,
		Queue: definer.Queue{Name: "queue", Service: "service", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second},
	}
}

// report sends an endpoint's inventory to the planner.
func (c *cell) report(id string) {
	c.planner.Report(id, c.now, c.now, definer.Report{Clock: 1000, Born: c.born[id], Running: c.running[id], Ended: c.ends[id]})
}

// plan lets the planner decide and keeps the commands.
func (c *cell) plan() {
	c.planner.Plan(c.now)
	for _, command := range c.planner.Commands() {
		switch command := command.(type) {
		case StartCmd:
			c.started = append(c.started, command)
		case StopCmd:
			c.stopped = append(c.stopped, command)
		case AskPolicyCmd:
			c.asked = append(c.asked, command)
		case InventoryCmd, StoreEndpointCmd, RemoveEndpointCmd:
		}
	}
}

// settle plans, carries out the starts, and answers all questions with every endpoint.
func (c *cell) settle() {
	c.plan()
	for len(c.asked) > 0 {
		for _, ask := range c.take() {
			tickets := make([]definer.Ticket, 0, len(ask.Endpoints))
			for _, id := range ask.Endpoints {
				tickets = append(tickets, definer.Ticket{Endpoint: id, Value: "ticket"})
			}
			c.planner.PolicyAnswered(ask.Job, ask.Occurrence, ask.Step, ask.Endpoints, tickets, true, c.now)
		}
		c.plan()
	}
	for _, start := range c.started {
		c.run(start)
	}
	c.started = nil
}

func (c *cell) take() []AskPolicyCmd {
	asked := c.asked
	c.asked = nil

	return asked
}

// run carries out a start.
func (c *cell) run(start StartCmd) {
	id := start.Target.ID
	c.running[id] = append(c.running[id], definer.RunningTask{Task: start.Order.Task, Run: start.Order.Run})
	c.planner.StartAnswered(id, start.Order, definer.VerdictDone, c.now)
}

// end ends a run.
func (c *cell) end(id string, task definer.TaskName, run int, how definer.End) {
	kept := c.running[id][:0]
	for _, row := range c.running[id] {
		if row.Task != task || row.Run != run {
			kept = append(kept, row)
		}
	}
	c.running[id] = kept
	number := int64(len(c.ends[id]) + 1)
	c.ends[id] = append(c.ends[id], definer.EndedTask{Number: number, Task: task, Run: run, End: how, Checkpoint: "saved"})
	c.report(id)
}

// pass lets time pass; all endpoints answer unless they are named.
func (c *cell) pass(d time.Duration, silent ...string) {
	c.now, c.wall = c.now.Add(d), c.wall.Add(d)
	for id := range c.born {
		quiet := false
		for _, name := range silent {
			quiet = quiet || name == id
		}
		if !quiet {
			c.report(id)
		}
	}
	c.planner.Tick(c.now, c.wall)
}
