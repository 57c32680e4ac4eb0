package encoder

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

func sample(tasks int) Batch {
	at := time.Unix(1_800_000_000, 5).UTC()
	batch := Batch{
		Term: modeler.NewTerm(3, 1), Author: "entry-1", Seq: 9, Claim: &Claim{Successors: []modeler.InstanceID{"entry-2"}},
		Jobs:      []modeler.Job{{ID: "j", Team: "andina", Tasks: tasks, Runtime: time.Hour, Deadline: at, Command: []string{"run"}}},
		Requests:  []RequestChange{{Team: "andina", Request: "r", State: RequestRan, Answer: []byte("ok"), Time: at}},
		Transfers: []Transfer{{Seq: 1, From: "a", To: "b", Team: "andina", Parts: modeler.Resources{Slots: 3}, LayoutHash: 1 << 60}},
	}
	for i := range tasks {
		batch.Tasks = append(batch.Tasks, TaskChange{
			Job: "j", Task: modeler.TaskID(fmt.Sprintf("j/%d", i)), State: modeler.TaskRunning, Attempt: 1, Endpoint: "w", Time: at,
		})
	}

	return batch
}

// TestMarshal_KeepsBatch guards against a field that is lost or changed when a batch
// is encoded and decoded.
func TestMarshal_KeepsBatch(t *testing.T) {
	want := sample(3)
	data, err := Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Batch
	if err := Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("batch differs (-want +got):\n%s", diff)
	}
}

// FuzzUnmarshal guards against records that make the decoder panic.
func FuzzUnmarshal(f *testing.F) {
	data, err := Marshal(sample(2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var batch Batch
		_ = Unmarshal(data, &batch)
	})
}

// BenchmarkBatch measures encoding and decoding a batch of 50 started tasks, about
// what an owner writes every 25 ms at 2,200 starts per second.
func BenchmarkBatch(b *testing.B) {
	batch := sample(50)
	data, err := Marshal(batch)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := Marshal(batch); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes/batch")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			var decoded Batch
			if err := Unmarshal(data, &decoded); err != nil {
				b.Fatal(err)
			}
		}
	})
}
