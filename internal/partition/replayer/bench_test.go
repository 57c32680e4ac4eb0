package replayer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

// workload returns the batches that accept jobs of ten tasks each and start
// every task, with one chained record per event.
func workload(b *testing.B, tasks int) []encoder.Batch {
	b.Helper()
	term := modeler.NewTerm(1, 0)
	at := time.Unix(1_800_000_000, 0).UTC()
	batches := make([]encoder.Batch, 0, 1+tasks/10)
	batches = append(batches, encoder.Batch{Term: term, Author: "entry-1", Seq: 1, Claim: &encoder.Claim{}})
	heads, seqs := map[modeler.TeamID]string{}, map[modeler.TeamID]uint64{}
	record := func(job modeler.JobID, task modeler.TaskID, event modeler.Event) modeler.Record {
		team := modeler.TeamID(fmt.Sprintf("team-%d", len(job)%390))
		seqs[team]++
		entry := modeler.Record{
			Seq: seqs[team], Time: at, Partition: "costa-1", Team: team, Queue: "reanalysis", Job: job, Task: task,
			Event: event, Cause: "fit", Detail: "least loaded rack", Endpoint: "worker-1", Config: 7, Term: term,
		}
		if err := chainer.Append(heads[team], &entry); err != nil {
			b.Fatal(err)
		}
		heads[team] = entry.Digest

		return entry
	}
	for j := range tasks / 10 {
		id := modeler.JobID(fmt.Sprintf("job-%08d", j))
		batch := encoder.Batch{Term: term, Author: "entry-1", Seq: uint64(j + 2), Jobs: []modeler.Job{{
			ID: id, Team: "team-1", Queue: "reanalysis", Kind: modeler.WorkBatch, Class: modeler.ClassDeferred, Tasks: 10,
			Needs: modeler.Resources{Millis: 1000, Memory: 1 << 30}, Runtime: time.Hour, Accepted: at, Command: []string{"run", "1h"},
		}}}
		batch.Records = append(batch.Records, record(id, "", modeler.EventAdmitted))
		for i := range 10 {
			task := TaskID(id, i)
			batch.Tasks = append(batch.Tasks, encoder.TaskChange{
				Job: id, Task: task, State: modeler.TaskRunning, Attempt: 1, Endpoint: "worker-1", Time: at,
			})
			batch.Records = append(batch.Records, record(id, task, modeler.EventPlaced))
		}
		batches = append(batches, batch)
	}

	return batches
}

// BenchmarkReplay measures the cost of a started task to a follower: time,
// bytes of the stream, resident state and snapshot size.
func BenchmarkReplay(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			batches := workload(b, tasks)
			var bytes int
			encoded := make([][]byte, len(batches))
			for i, batch := range batches {
				data, err := encoder.Marshal(batch)
				if err != nil {
					b.Fatal(err)
				}
				encoded[i] = data
				bytes += len(data)
			}
			var before, after runtime.MemStats
			var state *State
			b.ResetTimer()
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				state = New("costa-1")
				for i := range encoded {
					var batch encoder.Batch
					if err := encoder.Unmarshal(encoded[i], &batch); err != nil {
						b.Fatal(err)
					}
					if _, err := state.Apply(state.NextOffset, batch); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.StopTimer()
			runtime.GC()
			runtime.ReadMemStats(&after)
			snapshot, err := state.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			n := float64(tasks)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/task")
			b.ReportMetric(float64(bytes)/n, "stream-B/task")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-B/task")
			b.ReportMetric(float64(len(snapshot))/n, "snapshot-B/task")
		})
	}
}

// BenchmarkSnapshot measures writing and restoring a snapshot, which limits how
// soon a new instance is ready.
func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000} {
		state := New("costa-1")
		for _, batch := range workload(b, tasks) {
			if _, err := state.Apply(state.NextOffset, batch); err != nil {
				b.Fatal(err)
			}
		}
		data, err := state.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("write/tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				if _, err := state.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("restore/tasks=%d", tasks), func(b *testing.B) {
			batch := encoder.Batch{Term: state.Term, Author: state.Owner, Seq: 99, Snapshot: &encoder.Snapshot{State: data}}
			for b.Loop() {
				if valid, err := New("costa-1").Apply(1<<40, batch); err != nil || !valid {
					b.Fatal(valid, err)
				}
			}
		})
	}
}
