package planner

import (
	"slices"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/cell/definer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestFinalJobsKeepNoTasks guards against an owner whose memory grows with all jobs
// of the last minutes (seen as 346 MB on a cell of 1,100 endpoints, with a garbage
// collector that took the time of the owner): a step that is done keeps no answers of
// its policy, and a final job, once stored, soon keeps no tasks.
func TestFinalJobsKeepNoTasks(t *testing.T) {
	c := newCell(t, 4)
	job := c.job("0000000000000001", definer.Step{Count: 3, Need: modeler.Resources{Millis: 1000}, Estimate: time.Second})
	job.Queue.Policy = &definer.Policy{Decide: time.Millisecond, Each: time.Millisecond, Validity: time.Second}
	c.planner.Accept(job, c.now, c.wall)
	c.planAndRun()
	kept := c.planner.jobs[job.ID]
	step := kept.occurrences[0].steps[0]
	if len(step.admission.answers) == 0 {
		t.Fatal("the policy was not asked")
	}
	for id, rows := range c.running {
		for _, row := range slices.Clone(rows) {
			c.endRun(id, row.Task, row.Run, definer.EndDone)
		}
	}
	if len(step.admission.answers) != 0 {
		t.Error("a step that is done keeps the answers of its policy")
	}
	snapshots, _ := c.planner.Dirty()
	c.planner.Stored(snapshots)
	c.planner.Tick(c.now.Add(detailRetention), c.wall)
	if len(kept.occurrences) == 0 {
		t.Error("the tasks were dropped while an endpoint may still report a run")
	}
	c.planner.Tick(c.now.Add(detailRetention+time.Second), c.wall)
	if len(kept.occurrences) != 0 || len(kept.Steps) != 0 || kept.Spec != "" {
		t.Error("a final job keeps its tasks")
	}
	if state, queue, known := c.planner.State(job.ID); state != definer.JobCompleted || queue != job.Queue.Name || !known {
		t.Errorf("state %q of queue %q, known %t", state, queue, known)
	}
}
