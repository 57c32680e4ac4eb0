package renderer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/config/merger"
	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/config/renderer"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestRenderedFileReadsBack guards against quantities and words that change their
// value when they are written and parsed again, such as words that look like
// numbers or contain YAML punctuation.
func TestRenderedFileReadsBack(t *testing.T) {
	words := rapid.SliceOfN(rapid.OneOf(
		rapid.StringMatching(`[ -~]{0,9}`), rapid.SampledFrom([]string{"true", "null", "~", "0x10", "1e3", "06:00", "- a", "é, ü", "a\nb", "\t"}),
	), 1, 4)
	name := rapid.SampledFrom([]string{"a", "7", "0x10", "true", "null", "1e3", "no", "2026-01-01"})
	rapid.Check(t, func(t *rapid.T) {
		amount := modeler.Resources{
			Millis: rapid.Int64Range(1, 1e9).Draw(t, "millis"), Memory: rapid.Int64Range(1, 1<<44).Draw(t, "memory") << 10,
			Slots: rapid.Int64Range(0, 9).Draw(t, "slots"),
		}
		doc := modeler.Document{
			Cell: name.Draw(t, "cell"),
			Partitions: []modeler.Partition{{Name: modeler.PartitionID(name.Draw(t, "partition")), Region: name.Draw(t, "region"), Weight: 1,
				Services: rapid.SampledFrom([][]string{nil, {}, {"true", "1e3"}}).Draw(t, "services")}},
			Teams: []modeler.Team{{Name: modeler.TeamID(name.Draw(t, "team")), Share: 1, Limit: amount}},
			Operators: []modeler.Operator{{Name: name.Draw(t, "operator"), Keys: []modeler.Key{{
				Name: name.Draw(t, "key"), Digest: strings.Repeat("0", 64), Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
			}}}},
			Queues: []modeler.Queue{{
				Name: "q", Kind: modeler.WorkBatch, Class: modeler.ClassUrgent, Teams: []modeler.TeamID{modeler.TeamID(name.Draw(t, "team"))},
				Within: time.Duration(rapid.Int64Range(1, int64(24*time.Hour)).Draw(t, "within")),
				Objective: modeler.Objective{
					Wait: time.Duration(rapid.Int64Range(1, int64(24*time.Hour)).Draw(t, "wait")), Target: rapid.Float64Range(1e-9, 0.999999).Draw(t, "target"),
				},
			}},
			Jobs: []modeler.Template{{
				Name: "j", Team: "a", Queue: "q", Tasks: 1, Needs: amount, Runtime: time.Minute,
				Deadline: modeler.Deadline{Clock: "06:00", Zone: rapid.SampledFrom([]string{"", "America/Lima"}).Draw(t, "zone")},
				Command:  words.Draw(t, "command"),
			}},
		}
		text, err := renderer.Render(doc)
		if err != nil {
			t.Fatal(err)
		}
		file, err := parser.ParseBase("f", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		got, err := merger.Merge(file)
		if diff := cmp.Diff(doc, got.Document); err != nil || diff != "" {
			t.Fatalf("%v\n%s\n%s", err, diff, text)
		}
	})
}
