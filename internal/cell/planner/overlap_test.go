package planner

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// takeNotes returns the notes about the events written since the last call, one a line.
func (c *testCell) takeNotes(events ...string) string {
	var lines strings.Builder
	for _, note := range c.planner.Notes() {
		if !slices.Contains(events, note.Event) {
			continue
		}
		fmt.Fprintf(&lines, "%s job=%q warn=%v", note.Event, note.Job, note.Warn)
		for i := 0; i+1 < len(note.Args); i += 2 {
			fmt.Fprintf(&lines, " %q=%v", note.Args[i], note.Args[i+1])
		}
		lines.WriteString("\n")
	}

	return lines.String()
}

func (c *testCell) takeOverlapNotes() string {
	return c.takeNotes("overlapping runs", "run listed after presumed end")
}

// list makes the endpoint of a start list its run as running.
func (c *testCell) list(start StartCmd) {
	id := start.Target.ID
	c.running[id] = append(c.running[id], definer.RunningTask{Task: start.Order.Task, Run: start.Order.Run})
	c.report(id)
}

// expireLease keeps the endpoint silent until its lease has expired.
func (c *testCell) expireLease(id string) {
	for range 60 {
		c.advance(100*time.Millisecond, id)
	}
}

// TestOverlapIsNoted guards against an overlap of two runs that the log can't
// explain: the note has to say why the earlier run was taken for over.
func TestOverlapIsNoted(t *testing.T) {
	for name, lose := range map[string]func(c *testCell, start StartCmd){
		"lease-expired": func(c *testCell, start StartCmd) { c.expireLease(start.Target.ID) },
		"not-listed": func(c *testCell, start StartCmd) {
			c.running[start.Target.ID] = nil
			c.advance(100 * time.Millisecond)
		},
		"restarted": func(c *testCell, start StartCmd) {
			c.running[start.Target.ID], c.born[start.Target.ID] = nil, 2
			c.advance(100 * time.Millisecond)
		},
		"stopped": func(c *testCell, start StartCmd) {
			c.planner.stopRun(c.planner.task(start.Order.Task).run)
			c.planner.StopAnswered(start.Target.ID, definer.StopOrder{Task: start.Order.Task, Run: start.Order.Run}, c.now)
			c.running[start.Target.ID] = nil
			c.advance(100 * time.Millisecond)
		},
		"replaced": func(c *testCell, start StartCmd) { c.planner.EndpointReplaced(start.Target, c.now) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 3)
			first := c.startOne()
			c.advance(100 * time.Millisecond)
			lose(c, first)
			c.storeProgress()
			c.startOne()
			c.advance(100*time.Millisecond, first.Target.ID)
			c.list(first)
			c.list(first)
			goldie.New(t).Assert(t, "overlap-"+name, []byte(c.takeOverlapNotes()))
		})
	}
}

// TestRefusedStartThatRunsIsNoted guards against an unexplained overlap with a
// run whose start was refused.
func TestRefusedStartThatRunsIsNoted(t *testing.T) {
	c := newCell(t, 3)
	c.accept(c.job("a", simpleStep(1)))
	c.plan()
	first := c.started[0]
	c.started = nil
	c.planner.StartAnswered(first.Target.ID, first.Order, definer.VerdictRefused, c.now)
	c.storeProgress()
	c.startOne()
	c.list(first)
	goldie.New(t).Assert(t, "overlap-refused", []byte(c.takeOverlapNotes()))
}

// TestOverlapIsNotedOnce guards against a line for each inventory, or for each
// time that the same run vanishes and is listed again.
func TestOverlapIsNotedOnce(t *testing.T) {
	c := newCell(t, 3)
	first := c.startOne()
	c.expireLease(first.Target.ID)
	c.startOne()
	for range 5 {
		c.running[first.Target.ID] = nil
		c.advance(100 * time.Millisecond)
		c.list(first)
		c.advance(5 * time.Second)
	}
	if lines := strings.Count(c.takeOverlapNotes(), "\n"); lines != 1 {
		t.Errorf("%d lines about one run, want 1", lines)
	}
}

// TestEndAfterPresumedEndIsNoted guards against an unexplained overlap with a run
// of which only the end is listed, also when the task is done by then, and against
// a warning when no other run was started.
func TestEndAfterPresumedEndIsNoted(t *testing.T) {
	var notes strings.Builder
	for _, restart := range []func(c *testCell){
		func(*testCell) {},
		func(c *testCell) { c.startOne() },
		func(c *testCell) {
			second := c.startOne()
			c.endRun(second.Target.ID, second.Order.Task, second.Order.Run, definer.EndDone)
		},
	} {
		c := newCell(t, 3)
		first := c.startOne()
		c.expireLease(first.Target.ID)
		restart(c)
		c.endRun(first.Target.ID, first.Order.Task, first.Order.Run, definer.EndLapsed)
		notes.WriteString(c.takeOverlapNotes())
	}
	goldie.New(t).Assert(t, "overlap-ended", []byte(notes.String()))
}

// takeOverSilent returns a cell whose owner has taken over job "a" and started it
// after the waiting time, while e002 has not answered.
func takeOverSilent(t *testing.T) *testCell {
	t.Helper()
	c := restoredCell(t, (&testCell{}).job("a", simpleStep(1)), Progress{})
	c.listEndpoint("e000")
	c.listEndpoint("e001")
	c.planner.UpdateListing(c.listing("e002"), c.now)
	for range 80 {
		c.advance(100*time.Millisecond, "e002")
	}
	c.startOne()

	return c
}

// TestUnknownRunBesideStartIsNoted guards against an unexplained overlap with a run
// of an earlier owner that the owner did not know when it started the task.
func TestUnknownRunBesideStartIsNoted(t *testing.T) {
	name := definer.TaskName{Job: "a"}
	c := takeOverSilent(t)
	c.running["e002"] = []definer.RunningTask{{Task: name, Run: 1}}
	c.report("e002")
	notes := c.takeOverlapNotes()
	c = takeOverSilent(t)
	c.endRun("e002", name, 1, definer.EndFailed)
	goldie.New(t).Assert(t, "overlap-unknown", []byte(notes+c.takeOverlapNotes()))
}

// TestTakeoverOfSuccessiveRunsIsNotNoted guards against a false alarm when an
// earlier owner has started a run after the end of another one.
func TestTakeoverOfSuccessiveRunsIsNotNoted(t *testing.T) {
	name := definer.TaskName{Job: "a"}
	c := restoredCell(t, (&testCell{}).job("a", simpleStep(1)), Progress{})
	c.running["e001"] = []definer.RunningTask{{Task: name, Run: 2}}
	c.listEndpoint("e001")
	c.endRun("e002", name, 1, definer.EndFailed)
	if diff := cmp.Diff("", c.takeOverlapNotes()); diff != "" {
		t.Errorf("notes of a takeover without an overlap (-want +got):\n%s", diff)
	}
}

// TestTakeoverIsNoted guards against a takeover whose waiting time can't be
// followed in the log.
func TestTakeoverIsNoted(t *testing.T) {
	for name, silent := range map[string][]string{"answered": nil, "waited": {"e002"}} {
		t.Run(name, func(t *testing.T) {
			c := restoredCell(t, (&testCell{}).job("a", simpleStep(1)), Progress{})
			c.planner.UpdateListing(c.listing("e003"), c.now)
			c.advance(100*time.Millisecond, "e002")
			for range 80 {
				c.advance(100*time.Millisecond, silent...)
			}
			goldie.New(t).Assert(t, "takeover-"+name, []byte(c.takeNotes("majority reached", "takeover settled")))
		})
	}
}

// TestTakeoverIsNotedBeforeStarts guards against the start of an inherited task
// ahead of the line that says what it rests on.
func TestTakeoverIsNotedBeforeStarts(t *testing.T) {
	c := restoredCell(t, (&testCell{}).job("a", simpleStep(1)), Progress{})
	for id := range c.born {
		c.listEndpoint(id)
	}
	c.plan()
	var events []string
	for _, note := range c.planner.Notes() {
		if note.Event != "endpoint held" {
			events = append(events, note.Event)
		}
	}
	if len(c.started) != 1 {
		t.Fatalf("%d starts after a takeover, want 1", len(c.started))
	}
	if diff := cmp.Diff([]string{"majority reached", "takeover settled"}, events); diff != "" {
		t.Errorf("notes of a takeover by its first start (-want +got):\n%s", diff)
	}
}

// TestAddressChangeIsNoted guards against an address in the endpoint list that
// replaces another one without a trace, and against a line for each heartbeat.
func TestAddressChangeIsNoted(t *testing.T) {
	c := newCell(t, 1)
	c.startOne()
	listing := c.listing("e000")
	listing.Address = netip.MustParseAddrPort("10.0.0.2:80")
	for range 2 {
		c.planner.UpdateListing(listing, c.now)
	}
	goldie.New(t).Assert(t, "address", []byte(c.takeNotes("endpoint address changed")))
}
