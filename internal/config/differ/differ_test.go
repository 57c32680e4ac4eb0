package differ_test

import (
	"slices"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/config/differ"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// TestReinstated guards against a publication from outdated files that makes a
// withdrawn key valid again without a warning.
func TestReinstated(t *testing.T) {
	documentWithKeys := func(keys ...modeler.Key) modeler.Document {
		return modeler.Document{Teams: []modeler.Team{{Name: "a", Keys: keys}}}
	}
	from := documentWithKeys(modeler.Key{Name: "one", Digest: "1", Withdrawn: true}, modeler.Key{Name: "two", Digest: "2", Withdrawn: true},
		modeler.Key{Name: "three", Digest: "3"})
	to := documentWithKeys(modeler.Key{Name: "one", Digest: "1"})
	if got := differ.Reinstated(from, to); !slices.Equal(got, []string{"teams/a/keys/one", "teams/a/keys/two"}) {
		t.Errorf("got %v", got)
	}
	from.Operators = []modeler.Operator{{Name: "amy", Keys: []modeler.Key{{Name: "laptop", Digest: "4", Withdrawn: true}}}}
	if got := differ.Reinstated(from, modeler.Document{Teams: from.Teams}); !slices.Equal(got, []string{"operators/amy/keys/laptop"}) {
		t.Errorf("got %v for a dropped operator", got)
	}
	if got := differ.Reinstated(from, from); got != nil {
		t.Errorf("got %v for no change", got)
	}
}

// TestDiffIgnoresOrder guards against a diff that reports entries in another order
// as changes.
func TestDiffIgnoresOrder(t *testing.T) {
	from := modeler.Document{Queues: []modeler.Queue{{Name: "a"}, {Name: "b", Depth: 1}}}
	to := modeler.Document{Queues: []modeler.Queue{{Name: "b", Depth: 1}, {Name: "a"}}}
	if got := differ.Text(differ.Diff(from, to)); got != "no changes\n" {
		t.Error(got)
	}
}
