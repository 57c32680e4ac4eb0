package planner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// drain tells the planner that an endpoint leaves.
func (c *cell) drain(id string, remaining time.Duration) {
	listing := c.listing(id)
	listing.Draining, listing.Remaining = true, remaining
	c.planner.UpdateListing(listing, c.now)
}

// host returns the endpoint that runs a task.
func (c *cell) host(t *testing.T) string {
	t.Helper()
	for id, rows := range c.running {
		if len(rows) > 0 {
			return id
		}
	}
	t.Fatal("no task runs")

	return ""
}

// stops lets time pass and counts the stops that the planner asks for.
func (c *cell) stops(d time.Duration) int {
	for passed := time.Duration(0); passed < d; passed += 100 * time.Millisecond {
		c.pass(100 * time.Millisecond)
		c.plan()
	}

	return len(c.stopped)
}

// TestDrainingEndpointIsLeftWithProgress guards against work that is lost with
// a leaving endpoint, and against tasks that wait for its lease to run out.
func TestDrainingEndpointIsLeftWithProgress(t *testing.T) {
	c := newCell(t, 3)
	step := simple(1)
	step.Checkpointing, step.Estimate = true, 10*time.Second
	c.accept(c.job("a", step))
	c.settle()
	from := c.host(t)
	c.drain(from, 4*time.Second)
	if stops := c.stops(time.Second); stops != 0 {
		t.Fatalf("%d stops three seconds before the endpoint leaves; the task still works", stops)
	}
	if stops := c.stops(1500 * time.Millisecond); stops != 1 {
		t.Fatalf("%d stops before the endpoint leaves, want 1", stops)
	}
	order := c.stopped[0].Order
	c.planner.StopAnswered(from, order, c.now)
	c.end(from, order.Task, order.Run, definer.EndStopped)
	c.plan()
	if len(c.started) != 1 || c.started[0].Target.ID == from || c.started[0].Order.Checkpoint != "saved" {
		t.Errorf("starts after the stop: %+v, want one on another endpoint with the checkpoint", c.started)
	}
}

// TestDrainingEndpointKeepsShortTasks guards against stopping tasks that will
// be done before their endpoint leaves, or that lose all their work for nothing.
func TestDrainingEndpointKeepsShortTasks(t *testing.T) {
	for _, test := range []struct {
		name     string
		estimate time.Duration
		stops    int
	}{
		{"done in time", 2 * time.Second, 0},
		{"done shortly after", 4 * time.Second, 0},
		{"never done there", 20 * time.Second, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(t, 3)
			step := simple(1)
			step.Estimate = test.estimate
			c.accept(c.job("a", step))
			c.settle()
			c.drain(c.host(t), 4*time.Second)
			if stops := c.stops(500 * time.Millisecond); stops != test.stops {
				t.Errorf("%d stops, want %d", stops, test.stops)
			}
		})
	}
}
