package replayer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

func claim(epoch uint64, author modeler.InstanceID, successors ...modeler.InstanceID) encoder.Batch {
	return encoder.Batch{
		Term: modeler.NewTerm(epoch, 0), Author: author, Seq: 1, Claim: &encoder.Claim{Successors: successors},
	}
}

func apply(t *testing.T, state *State, batch encoder.Batch) bool {
	t.Helper()
	valid, err := state.Apply(state.NextOffset, batch)
	if err != nil {
		t.Fatal(err)
	}

	return valid
}

// TestApply_OneOwnerPerTerm guards against two owners that both consider their
// claim valid, and against a late append of a superseded owner that takes
// effect.
func TestApply_OneOwnerPerTerm(t *testing.T) {
	state := New("costa-1")
	job := []modeler.Job{{ID: "j1", Team: "a", Tasks: 1}}
	for i, step := range []struct {
		batch encoder.Batch
		valid bool
	}{
		{claim(1, "a", "b", "c"), true},
		{claim(1, "b"), false}, // second claim of the epoch
		{encoder.Batch{Term: modeler.NewTerm(1, 1), Author: "c", Seq: 1}, false}, // rank belongs to b
		{encoder.Batch{Term: modeler.NewTerm(1, 2), Author: "c", Seq: 1}, true},
		{encoder.Batch{Term: modeler.NewTerm(1, 0), Author: "a", Seq: 2, Jobs: job}, false}, // superseded owner
		{encoder.Batch{Term: modeler.NewTerm(1, 1), Author: "b", Seq: 1, Jobs: job}, false}, // lower rank comes late
		{claim(3, "a"), false}, // skips an epoch
	} {
		if got := apply(t, state, step.batch); got != step.valid {
			t.Fatalf("step %d: valid is %t, want %t", i, got, step.valid)
		}
	}
	if len(state.Jobs) != 0 {
		t.Fatal("a job of a superseded owner was accepted")
	}
}

// TestApply_DropsRepeatedBatches guards against a batch that is applied twice
// because it was appended again after its answer was lost.
func TestApply_DropsRepeatedBatches(t *testing.T) {
	state := New("costa-1")
	apply(t, state, claim(1, "a"))
	transfer := encoder.Batch{
		Term: modeler.NewTerm(1, 0), Author: "a", Seq: 2,
		Transfers: []encoder.Transfer{{Seq: 1, From: "costa-1", To: "sierra-1", Team: "t", Parts: modeler.Resources{Slots: 5}}},
	}
	if !apply(t, state, transfer) || apply(t, state, transfer) {
		t.Fatal("want the first append valid and the repeated one dropped")
	}
	if got := state.Net(0, "t").Slots; got != -5 {
		t.Fatalf("net parts are %d, want -5", got)
	}
}

// TestApply_FinalTaskStaysFinal guards against a late change that reopens a
// finished task, which would run it again.
func TestApply_FinalTaskStaysFinal(t *testing.T) {
	state := New("costa-1")
	apply(t, state, claim(1, "a"))
	change := func(s modeler.TaskState, attempt int) []encoder.TaskChange {
		return []encoder.TaskChange{{Job: "j1", Task: "j1/0", State: s, Attempt: attempt, Time: time.Unix(9, 0)}}
	}
	for i, tasks := range [][]encoder.TaskChange{
		nil, change(modeler.TaskRunning, 2), change(modeler.TaskQueued, 1), change(modeler.TaskFinished, 2), change(modeler.TaskQueued, 3),
	} {
		batch := encoder.Batch{Term: modeler.NewTerm(1, 0), Author: "a", Seq: uint64(i + 2), Tasks: tasks}
		if i == 0 {
			batch.Jobs = []modeler.Job{{ID: "j1", Team: "a", Tasks: 1}}
		}
		apply(t, state, batch)
	}
	status, _ := state.Status("j1")
	if got := status.Tasks[0]; got.State != modeler.TaskFinished || got.Attempt != 2 || !status.Final {
		t.Fatalf("task is %+v, want finished at attempt 2", got)
	}
}

// TestSnapshot_ReplacesExpiredRecords guards against a reader that starts after
// old records have expired and ends in a different state than one that read all
// records.
func TestSnapshot_ReplacesExpiredRecords(t *testing.T) {
	full, late := New("costa-1"), New("costa-1")
	apply(t, full, claim(1, "a", "b"))
	apply(t, full, encoder.Batch{
		Term: modeler.NewTerm(1, 0), Author: "a", Seq: 2,
		Jobs:     []modeler.Job{{ID: "j1", Team: "a", Tasks: 2, Accepted: time.Unix(5, 0).UTC()}},
		Requests: []encoder.RequestChange{{Team: "a", Request: "r1", State: encoder.RequestIntent, Time: time.Unix(6, 0).UTC()}},
		Records:  []modeler.Record{{Seq: 1, Team: "a", Job: "j1", Digest: "d1", Time: time.Unix(5, 0).UTC()}},
	})
	data, err := full.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	offset := full.NextOffset
	snapshot := encoder.Batch{Term: modeler.NewTerm(1, 0), Author: "a", Seq: 3, Snapshot: &encoder.Snapshot{State: data}}
	apply(t, full, snapshot)
	if valid, err := late.Apply(offset, snapshot); err != nil || !valid {
		t.Fatalf("snapshot: valid %t, error %v", valid, err)
	}
	next := encoder.Batch{
		Term: modeler.NewTerm(1, 1), Author: "b", Seq: 1,
		Tasks: []encoder.TaskChange{{Job: "j1", Task: "j1/1", State: modeler.TaskRunning, Attempt: 1, Endpoint: "w", Time: time.Unix(7, 0).UTC()}},
	}
	apply(t, full, next)
	apply(t, late, next)
	if diff := cmp.Diff(full, late); diff != "" {
		t.Fatalf("states differ (-full +late):\n%s", diff)
	}
}

// TestApply_LateCopyOfSnapshot guards against a reader that starts at the
// second copy of a snapshot, whose append was repeated after its answer was
// lost, and misses the batches between the two copies.
func TestApply_LateCopyOfSnapshot(t *testing.T) {
	full, late := New("costa-1"), New("costa-1")
	apply(t, full, claim(1, "a"))
	data, err := full.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	snapshot := encoder.Batch{Term: modeler.NewTerm(1, 0), Author: "a", Seq: 2, Snapshot: &encoder.Snapshot{State: data}}
	if valid, err := late.Apply(7, snapshot); err != nil || !valid {
		t.Fatal(valid, err)
	}
	missed := encoder.Batch{Term: modeler.NewTerm(1, 0), Author: "a", Seq: 4}
	if valid, err := late.Apply(8, missed); err != nil || valid || late.Complete {
		t.Fatalf("batch after a gap: valid %t, complete %t, error %v", valid, late.Complete, err)
	}
}

// TestApply_ServesVoidSnapshot guards against a reader that starts at a snapshot
// that a superseded owner appended late, and serves what other readers of the
// stream consider void.
func TestApply_ServesVoidSnapshot(t *testing.T) {
	full, late := New("costa-1"), New("costa-1")
	apply(t, full, claim(1, "a"))
	data, err := full.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	apply(t, full, claim(2, "b"))
	offset := full.NextOffset
	transfer := encoder.Transfer{Seq: 1, From: "costa-1", To: "sierra-1", Team: "t", Parts: modeler.Resources{Slots: 5}}
	released := transfer
	released.Released = true
	void := encoder.Batch{
		Term: modeler.NewTerm(1, 0), Author: "a", Seq: 2, Snapshot: &encoder.Snapshot{State: data},
		Jobs: []modeler.Job{{ID: "j1", Team: "t", Tasks: 1}}, Transfers: []encoder.Transfer{transfer, released},
	}
	if apply(t, full, void) {
		t.Fatal("the batch of a superseded owner is valid")
	}
	next := encoder.Batch{Term: modeler.NewTerm(2, 0), Author: "b", Seq: 2}
	for i, batch := range []encoder.Batch{void, next} {
		if _, err := late.Apply(offset+modeler.Offset(i), batch); err != nil {
			t.Fatal(err)
		}
	}
	if len(late.Jobs) != 0 || len(late.Transfers.Sent) != 0 {
		t.Errorf("the reader serves %d jobs and %d transfers of a void batch", len(late.Jobs), len(late.Transfers.Sent))
	}
}

// TestApply_EarlierAttempt guards against a change of an earlier attempt, read
// late, that hides where the current one runs.
func TestApply_EarlierAttempt(t *testing.T) {
	state := New("costa-1")
	apply(t, state, claim(1, "a"))
	apply(t, state, encoder.Batch{
		Term: modeler.NewTerm(1, 0), Author: "a", Seq: 2, Jobs: []modeler.Job{{ID: "j1", Team: "a", Tasks: 1}},
		Tasks: []encoder.TaskChange{
			{Job: "j1", Task: "j1/0", State: modeler.TaskRunning, Attempt: 2, Endpoint: "w"},
			{Job: "j1", Task: "j1/0", State: modeler.TaskQueued, Attempt: 1},
		},
	})
	if got := state.Jobs["j1"].Tasks[0]; got.State != modeler.TaskRunning || got.Endpoint != "w" {
		t.Errorf("task is %+v, want attempt 2 running at w", got)
	}
}
