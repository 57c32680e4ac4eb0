package follower

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/patcher"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

func version(share int64) modeler.Document {
	return modeler.Document{Cell: "c", Teams: []modeler.Team{{Name: "a", Share: share}, {Name: "b", Share: 1}}}
}

func entry(t *testing.T, offset modeler.Offset, pub encoder.Publication) RecordMsg {
	t.Helper()
	data, err := encoder.Marshal(pub)
	if err != nil {
		t.Fatal(err)
	}

	return RecordMsg{Record: messenger.LogRecord{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data}}
}

func patch(t *testing.T, parent modeler.Offset, from, to int64) encoder.Publication {
	t.Helper()
	data, err := encoder.Marshal(patcher.Make(version(from), version(to)))
	if err != nil {
		t.Fatal(err)
	}

	return encoder.Publication{Parent: parent, Patch: data, Original: none}
}

// TestUpdate_PatchesWithoutTheirBase guards against a reader that starts after
// the whole document expired and ends with an old or a wrong one: patches wait
// for a repetition, also for a late one of an older document.
func TestUpdate_PatchesWithoutTheirBase(t *testing.T) {
	for name, repeated := range map[string]encoder.Publication{
		"newest document": {Parent: 9, Original: 9, Document: version(4)},
		"older document":  {Parent: 8, Original: 8, Document: version(3)},
		"parent of all":   {Parent: 5, Original: 5, Document: version(2)},
	} {
		t.Run(name, func(t *testing.T) {
			var s state
			msgs := []any{
				TruncatedMsg{First: 8},
				entry(t, 8, patch(t, 5, 2, 3)), entry(t, 9, patch(t, 8, 3, 4)),
			}
			for _, msg := range msgs {
				s, _ = s.update(msg)
			}
			if s.current == nil || s.current.known || s.current.offset != 9 {
				t.Fatalf("got %+v, want offset 9 without its document", s.current)
			}
			s, _ = s.update(entry(t, 10, repeated))
			s, _ = s.update(entry(t, 11, patch(t, 9, 4, 5)))
			if s.current == nil || s.current.offset != 11 || s.current.doc.Teams[0].Share != 5 {
				t.Fatalf("got %+v, want offset 11 with share 5", s.current)
			}
		})
	}
}

// TestUpdate_PatchOfARacingOperator guards against a patch that is applied
// although another document came first.
func TestUpdate_PatchOfARacingOperator(t *testing.T) {
	var s state
	var result verdict
	s, _ = s.update(entry(t, 0, encoder.Publication{Parent: none, Original: none, Document: version(1)}))
	s, _ = s.update(entry(t, 1, patch(t, 0, 1, 2)))
	s, result = s.update(entry(t, 2, patch(t, 0, 1, 9)))
	if result != verdictVoid || s.current.offset != 1 || s.current.doc.Teams[0].Share != 2 {
		t.Fatalf("verdict %v, document %+v", result, s.current)
	}
}
