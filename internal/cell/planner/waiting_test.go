package planner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
)

// takeNote returns the arguments of the last note of the event, or nil.
func (c *testCell) takeNote(event string) map[string]any {
	var args map[string]any
	for _, note := range c.planner.Notes() {
		if note.Event != event {
			continue
		}
		args = map[string]any{}
		for i := 0; i+1 < len(note.Args); i += 2 {
			if name, ok := note.Args[i].(string); ok {
				args[name] = note.Args[i+1]
			}
		}
	}

	return args
}

// TestGangStartSaysWhatItLacked guards against a gang that waits and whose wait the log
// does not split by cause.
func TestGangStartSaysWhatItLacked(t *testing.T) {
	g := newGangCell(t, 12)
	g.acceptGangs("b", 1)
	g.runUntil(3 * time.Second)
	g.free(0, 3)
	g.runUntil(4 * time.Second)
	args := g.takeNote("gang started")
	if args == nil {
		t.Fatal("no note about the start")
	}
	var lacked time.Duration
	for _, name := range lackNames {
		spent, _ := args["lacked "+name].(time.Duration)
		lacked += spent
	}
	if lacked != args["waited"] {
		t.Errorf("parts of the wait are %v together, want %v: %v", lacked, args["waited"], args)
	}
	for _, name := range []string{"answer", "room", "tickets"} {
		if spent, _ := args["lacked "+name].(time.Duration); spent < 300*time.Millisecond {
			t.Errorf("lacked %s for %v, want 300 ms at least: %v", name, spent, args)
		}
	}
	if args["questions"] != 2 {
		t.Errorf("questions = %v, want 2", args["questions"])
	}
}

// TestLoadIsNoted guards against a cell whose log does not show what holds its room.
func TestLoadIsNoted(t *testing.T) {
	g := newGangCell(t, 2)
	g.accept(g.job("waiting", simpleStep(3)))
	g.runUntil(1500 * time.Millisecond)
	args := g.takeNote("load")
	loads, _ := args["queues"].(map[string]*queueLoad)
	load := loads["queue"]
	if load == nil {
		t.Fatalf("load of the queue is missing: %v", args)
	}
	if want := (queueLoad{Priority: 1, Running: 32000, Waiting: 12000, Steps: 1}); *load != want {
		t.Errorf("load = %+v, want %+v", *load, want)
	}
	if args["capacity"] != int64(32000) || args["free"] != int64(0) {
		t.Errorf("capacity = %v, free = %v; want 32000 and 0", args["capacity"], args["free"])
	}
}

// TestWaitBesideTurns guards against time without a turn that counts as a wait for
// something else.
func TestWaitBesideTurns(t *testing.T) {
	var w waitRecord
	start := definer.Instant(time.Hour)
	w.look(1, start, lackLimit)
	w.look(2, start.Add(time.Second), lackLimit)
	w.look(9, start.Add(3*time.Second), lackRoom)
	if w.spent[lackLimit] != time.Second || w.spent[lackTurn] != 2*time.Second {
		t.Errorf("limit %v, turn %v; want 1 s and 2 s", w.spent[lackLimit], w.spent[lackTurn])
	}
}
