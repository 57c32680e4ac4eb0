package patcher

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

func randomDocument(t *rapid.T, label string) modeler.Document {
	doc := modeler.Document{Cell: rapid.SampledFrom([]string{"a", "b"}).Draw(t, label)}
	names := rapid.Permutation([]string{"x", "y", "z", "w"}).Draw(t, label)
	for _, name := range names[:rapid.IntRange(0, len(names)).Draw(t, label)] {
		doc.Teams = append(doc.Teams, modeler.Team{
			Name: modeler.TeamID(name), Share: rapid.Int64Range(1, 2).Draw(t, label),
			Keys: []modeler.Key{{Name: "k", Withdrawn: rapid.Bool().Draw(t, label)}},
		})
		doc.Partitions = append(doc.Partitions, modeler.Partition{
			Name: modeler.PartitionID(name), Weight: 1,
			Services: rapid.SampledFrom([][]string{nil, {}, {name}}).Draw(t, label),
		})
		doc.Operators = append(doc.Operators, modeler.Operator{
			Name: name, Keys: []modeler.Key{{Name: "k", Withdrawn: rapid.Bool().Draw(t, label)}},
		})
		doc.Services = append(doc.Services, modeler.Service{Name: name, Idempotent: rapid.Bool().Draw(t, label)})
	}

	return doc
}

// TestApply_YieldsTheNewDocument guards against a patch that loses an added,
// removed, changed or moved entry when it is encoded and decoded.
func TestApply_YieldsTheNewDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := randomDocument(t, "from"), randomDocument(t, "to")
		data, err := encoder.Marshal(Make(from, to))
		if err != nil {
			t.Fatal(err)
		}
		var patch Patch
		if err := encoder.Unmarshal(data, &patch); err != nil {
			t.Fatal(err)
		}
		got, err := Apply(from, patch)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(to, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("document differs (-want +got):\n%s", diff)
		}
		for i, p := range to.Partitions {
			if (got.Partitions[i].Services == nil) != (p.Services == nil) {
				t.Fatalf("partition %s: no service and every service are confused", p.Name)
			}
		}
	})
}

// TestApply_RefusesAnotherBase guards against a patch applied to a document
// that it was not made from.
func TestApply_RefusesAnotherBase(t *testing.T) {
	from := modeler.Document{Teams: []modeler.Team{{Name: "x"}}}
	to := modeler.Document{Teams: []modeler.Team{{Name: "x"}, {Name: "y"}}}
	if _, err := Apply(modeler.Document{}, Make(from, to)); !errors.Is(err, ErrMismatch) {
		t.Fatalf("got %v, want %v", err, ErrMismatch)
	}
}

// fullSizeDocument returns a document of 390 teams, 60 partitions and 200 queues.
func fullSizeDocument() modeler.Document {
	var doc modeler.Document
	for i := range 390 {
		team := modeler.Team{
			Name: modeler.TeamID(fmt.Sprintf("team-%03d", i)), Share: int64(i%9 + 1),
			Limit: modeler.Resources{Millis: 100000, Memory: 1 << 40, Accelerators: 60, Slots: 500},
		}
		for k := range 3 {
			team.Keys = append(team.Keys, modeler.Key{Name: fmt.Sprintf("key-%d", k), Digest: fmt.Sprintf("%064x", i*7+k)})
		}
		doc.Teams = append(doc.Teams, team)
	}
	for i := range 60 {
		doc.Partitions = append(doc.Partitions, modeler.Partition{
			Name: modeler.PartitionID(fmt.Sprintf("region-%d-%d", i%7, i)), Region: fmt.Sprintf("region-%d", i%7), Weight: 1,
		})
	}
	for i := range 200 {
		doc.Queues = append(doc.Queues, modeler.Queue{
			Name: modeler.QueueID(fmt.Sprintf("queue-%03d", i)), Kind: modeler.WorkBatch, Class: modeler.ClassStandard,
		})
	}

	return doc
}

// BenchmarkPublication measures the encoded size of withdrawing one key at full
// size, as a whole document and as a patch.
func BenchmarkPublication(b *testing.B) {
	from, to := fullSizeDocument(), fullSizeDocument()
	to.Teams[200].Keys[1].Withdrawn = true
	for name, build := range map[string]func() any{
		"whole": func() any { return to },
		"patch": func() any { return Make(from, to) },
	} {
		b.Run(name, func(b *testing.B) {
			var size int
			for b.Loop() {
				data, err := encoder.Marshal(build())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/publication")
		})
	}
}
