package limiter

import (
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestAllotment_NeverExceedsLimit guards against allotments of all partitions that add
// up to more than the team's limit, after any transfers and while only some partitions
// have seen a change of the limit, and against the transfer of parts in use.
func TestAllotment_NeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.Int64Range(0, 1<<50)
		small := rapid.Int64Range(0, 40)
		limit := modeler.Resources{Millis: small.Draw(t, "millis"), Memory: amounts.Draw(t, "memory"), Slots: small.Draw(t, "slots")}
		doc := modeler.Document{Teams: []modeler.Team{{Name: "a", Limit: limit}}}
		names := []modeler.PartitionID{"p0", "p1", "p2", "p3"}
		for _, name := range names {
			doc.Partitions = append(doc.Partitions, modeler.Partition{Name: name, Weight: rapid.Int64Range(1, 9).Draw(t, "weight")})
		}
		transferred := map[modeler.PartitionID]modeler.Resources{}
		for range rapid.IntRange(0, 12).Draw(t, "transfers") {
			from, to := rapid.SampledFrom(names).Draw(t, "from"), rapid.SampledFrom(names).Draw(t, "to")
			allotment := Allotment(doc, from, "a", transferred[from])
			used := modeler.Resources{Millis: rapid.Int64Range(0, allotment.Millis).Draw(t, "used")}
			parts := TransferableParts(doc, from, "a", transferred[from], used, limit, rapid.SampledFrom([]Portion{PortionNone, PortionHalf, PortionAll}).Draw(t, "portion"))
			transferred[from] = transferred[from].Sub(parts)
			if after := Allotment(doc, from, "a", transferred[from]); !used.Fits(after) {
				t.Fatalf("%v is in use, but the allotment after a transfer is %v", used, after)
			}
			transferred[to] = transferred[to].Add(parts)
		}
		raised := doc
		raised.Teams = []modeler.Team{{Name: "a", Limit: limit.Scale(2)}}
		var sum, mixed modeler.Resources
		for i, name := range names {
			sum = sum.Add(Allotment(doc, name, "a", transferred[name]))
			if i%2 == 0 {
				mixed = mixed.Add(Allotment(raised, name, "a", transferred[name]))
			} else {
				mixed = mixed.Add(Allotment(doc, name, "a", transferred[name]))
			}
		}
		if !sum.Fits(limit) {
			t.Fatalf("allotments add up to %v, limit is %v", sum, limit)
		}
		if !mixed.Fits(limit.Scale(2)) {
			t.Fatalf("allotments during an increase of the limit add up to %v, limit is %v", mixed, limit.Scale(2))
		}
	})
}

// TestAllotment_SmallLimitIsUsable guards against rounding that makes part of a small
// limit unusable.
func TestAllotment_SmallLimitIsUsable(t *testing.T) {
	doc := modeler.Document{
		Teams:      []modeler.Team{{Name: "a", Limit: modeler.Resources{Slots: 3}}},
		Partitions: []modeler.Partition{{Name: "p0", Weight: 1}, {Name: "p1", Weight: 1}, {Name: "p2", Weight: 1}},
	}
	for _, p := range doc.Partitions {
		if got := Allotment(doc, p.Name, "a", modeler.Resources{}).Slots; got != 1 {
			t.Fatalf("%s has %d slots, want 1", p.Name, got)
		}
	}
}
