package owner

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/core/scheduler"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// TestAdopt_MisdatesDecision guards against a record that attributes a decision of
// an earlier owner to the configuration of the owner that adopts the task.
func TestAdopt_MisdatesDecision(t *testing.T) {
	h := newHarness(t, &scriptedScheduler{}, 3, 0)
	h.submit(1, "j", nil)
	h.advance(100 * time.Millisecond)
	decided := modeler.Record{
		Time: h.now.Add(-time.Second).UTC(), Team: "humo", Job: "j", Task: "j/0", Event: modeler.EventPlaced, Config: 7,
		Term: modeler.NewTerm(0, 1),
	}
	note, err := encoder.Marshal(&decided)
	if err != nil {
		t.Fatal(err)
	}
	h.send(HelloDoneMsg{Endpoint: "e000", Term: h.core.Term(), Sent: h.now, Reply: messenger.HelloReply{
		Session: 2, Capacity: modeler.Resources{Millis: 4000, Memory: 16 << 30},
		Tasks: []messenger.Task{{ID: "j/0", Job: "j", Team: "humo", Attempt: 1, Needs: modeler.Resources{Millis: 1000}, Note: note}},
	}})
	h.advance(100 * time.Millisecond)
	var written []modeler.Record
	for _, batch := range h.batches {
		for _, record := range batch.Records {
			if record.Event == modeler.EventPlaced {
				written = append(written, record)
			}
		}
	}
	if len(written) != 1 || written[0].Config != decided.Config || !written[0].Time.Equal(decided.Time) {
		t.Errorf("wrote %+v, want the decision of %s with configuration %d", written, decided.Time, decided.Config)
	}
}

// TestAdopt_IgnoresUnrecordedEnd guards against a task that is run again although
// an inventory lists its end, because the stream has neither its start nor its end
// or only an earlier owner's judgement that its lease has ended.
func TestAdopt_IgnoresUnrecordedEnd(t *testing.T) {
	for name, judged := range map[string][]encoder.TaskChange{
		"start not recorded": nil,
		"judged as lapsed":   {{Job: "j", Task: "j/0", State: modeler.TaskQueued, Attempt: 1, Cause: "task lease ended"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, &scriptedScheduler{}, 3, 0)
			h.submit(1, "j", nil)
			h.advance(100 * time.Millisecond)
			h.send(PredecessorBatchMsg{Batch: encoder.Batch{Tasks: judged}})
			h.report(StartCmd{Endpoint: h.core.endpoints["e000"].instance, Request: messenger.StartRequest{
				Task: messenger.Task{ID: "j/0", Job: "j", Team: "humo", Attempt: 1},
			}}, true)
			h.advance(100 * time.Millisecond)
			if state := h.core.tasks["j/0"].state; state != modeler.TaskFinished {
				t.Errorf("task is %s, want %s", state, modeler.TaskFinished)
			}
		})
	}
}

// TestPredecessorBatch_OverridesAdoptedTask guards against a judgement of an
// earlier owner that ends a task which this owner has running under its session.
func TestPredecessorBatch_OverridesAdoptedTask(t *testing.T) {
	s := &scriptedScheduler{}
	h := newHarness(t, s, 3, 0)
	h.submit(1, "j", nil)
	h.advance(50 * time.Millisecond)
	s.next = []scheduler.Command{scheduler.StartCmd{Task: "j/0", Endpoint: "e000", Attempt: 1}}
	h.advance(50 * time.Millisecond)
	h.send(PredecessorBatchMsg{Batch: encoder.Batch{
		Tasks: []encoder.TaskChange{{Job: "j", Task: "j/0", State: modeler.TaskFailed, Attempt: 1, Cause: "task lease ended"}},
	}})
	task := h.core.tasks["j/0"]
	if task.state != modeler.TaskRunning || task.endpoint == nil {
		t.Errorf("task is %s, want %s at its endpoint", task.state, modeler.TaskRunning)
	}
}

// TestAdopt_StopsForeignTaskOnce guards against a task of another partition that
// runs on because its only stop was lost, or was not sent by an owner by rank.
// The renewals of this owner extend its lease, while the other owner considers
// that lease as expired and starts the task again.
func TestAdopt_StopsForeignTaskOnce(t *testing.T) {
	for name, term := range map[string]modeler.Term{"stop lost": modeler.NewTerm(1, 0), "owner by rank": modeler.NewTerm(1, 1)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, noopScheduler{}, 3, 0)
			h.core.term = term
			foreign := messenger.Task{ID: "other/0", Job: "other", Team: "humo", Attempt: 1, Needs: modeler.Resources{Millis: 1000}}
			h.tasks["e000"] = map[modeler.TaskID]messenger.Task{foreign.ID: foreign}
			h.send(HelloDoneMsg{Endpoint: "e000", Term: term, Sent: h.now, Reply: messenger.HelloReply{
				Session: 2, Capacity: modeler.Resources{Millis: 4000, Memory: 16 << 30}, Tasks: []messenger.Task{foreign},
			}})
			h.send(TermMsg{Term: modeler.NewTerm(2, 0), Seq: 1})
			h.taskCommands = nil
			h.advance(3 * stopInterval)
			stops := 0
			for _, cmd := range h.taskCommands {
				if cmd.Action == ActionStop && cmd.Request.Task == foreign.ID {
					stops++
				}
			}
			if stops < 2 || stops > 4 {
				t.Errorf("%d stops in %s while the task runs, want one every %s", stops, 3*stopInterval, stopInterval)
			}
		})
	}
}
