package planner

import (
	"fmt"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// withLongListOfEnds returns a cell whose owner has taken over job "a". Its only task is
// done; the end is beyond those that its endpoint e000 lists at a time.
func withLongListOfEnds(t *testing.T) *testCell {
	t.Helper()
	c := inheritedJob(t)
	for n := range maxListedEnds {
		c.ended["e000"] = append(c.ended["e000"], definer.EndedTask{Number: int64(n + 1), Task: definer.TaskName{Job: fmt.Sprint("other", n)}, Run: 1, End: definer.EndDone})
	}
	c.ended["e000"] = append(c.ended["e000"], definer.EndedTask{Number: maxListedEnds + 1, Task: definer.TaskName{Job: "a"}, Run: 1, End: definer.EndDone})

	return c
}

// TestTakeoverWaitsForAllEnds guards against a second run of a task whose end is
// beyond those that its endpoint lists at a time (review/1), also if another endpoint
// is silent and the takeover is settled by time.
func TestTakeoverWaitsForAllEnds(t *testing.T) {
	for name, silent := range map[string][]string{"all endpoints answer": nil, "one is silent": {"e002"}} {
		t.Run(name, func(t *testing.T) {
			c := withLongListOfEnds(t)
			for _, id := range []string{"e000", "e001"} {
				c.listEndpoint(id)
			}
			// The store takes no progress, so the endpoint lists the same ends again.
			for elapsed := time.Duration(0); elapsed < 2*(testSettings.Freshness+testSettings.LeaseBound()); elapsed += 100 * time.Millisecond {
				c.now, c.wall = c.now.Add(100*time.Millisecond), c.wall.Add(100*time.Millisecond)
				for id := range c.born {
					if len(silent) == 0 || id != silent[0] {
						c.report(id)
					}
				}
				c.planner.Appended(c.planner.tableEnd, c.now)
				c.planner.Tick(c.now, c.wall)
				c.plan()
			}
			c.silentFor(time.Second, silent...)
			c.expectDoneOnce()
		})
	}
}

// TestEndpointWithMoreEndsMayBeLost guards against inherited tasks that wait for good
// for ends that nobody will list any more.
func TestEndpointWithMoreEndsMayBeLost(t *testing.T) {
	for name, lose := range map[string]func(*testCell){
		"silent": func(*testCell) {},
		"restarted": func(c *testCell) {
			c.ended["e000"], c.born["e000"] = nil, 2
			c.report("e000")
		},
		"replaced": func(c *testCell) {
			c.planner.EndpointReplaced(definer.Target{ID: "e000", Address: c.listing("e000").Address}, c.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := withLongListOfEnds(t)
			for id := range c.born {
				c.listEndpoint(id)
			}
			c.plan()
			if len(c.started) != 0 {
				t.Fatalf("%d starts while ends have yet to be listed", len(c.started))
			}
			lose(c)
			var silent []string
			if name != "restarted" {
				silent = []string{"e000"}
			}
			c.silentFor(testSettings.Freshness+testSettings.LeaseBound()+time.Second, silent...)
			if len(c.started) != 1 {
				t.Errorf("%d starts of the task of the lost endpoint, want 1", len(c.started))
			}
		})
	}
}

// TestEndOfKnownRunShowsThatEarlierEndsAreListed guards against inherited tasks that
// wait as long as an endpoint keeps more ends than it lists at a time.
func TestEndOfKnownRunShowsThatEarlierEndsAreListed(t *testing.T) {
	c := inheritedJob(t)
	running := definer.TaskName{Job: "other"}
	c.running["e000"] = []definer.RunningTask{{Task: running, Run: 1}}
	for n := range maxListedEnds - 1 {
		c.ended["e000"] = append(c.ended["e000"], definer.EndedTask{Number: int64(n + 1), Task: definer.TaskName{Job: fmt.Sprint("other", n)}, Run: 1, End: definer.EndDone})
	}
	for id := range c.born {
		c.listEndpoint(id)
	}
	c.endRun("e000", running, 1, definer.EndDone)
	c.plan()
	if len(c.started) != 1 {
		t.Errorf("%d starts although all ends of before the takeover are known, want 1", len(c.started))
	}
}
