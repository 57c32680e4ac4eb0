package follower

import (
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/patcher"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

func documentWithShare(share int64) modeler.Document {
	return modeler.Document{Cell: "c", Teams: []modeler.Team{{Name: "a", Share: share}, {Name: "b", Share: 1}}}
}

func recordMsg(t *testing.T, offset modeler.Offset, pub encoder.Publication) RecordMsg {
	t.Helper()
	data, err := encoder.Marshal(pub)
	if err != nil {
		t.Fatal(err)
	}

	return RecordMsg{Record: messenger.LogRecord{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data}}
}

func patchPublication(t *testing.T, parent modeler.Offset, from, to int64) encoder.Publication {
	t.Helper()
	data, err := encoder.Marshal(patcher.Make(documentWithShare(from), documentWithShare(to)))
	if err != nil {
		t.Fatal(err)
	}

	return encoder.Publication{Parent: parent, Patch: data, Original: none}
}

// TestUpdate_PatchesWithoutTheirBase guards against an old or wrong document at a
// reader that starts after the whole document expired. Patches must be kept until
// a repetition, possibly of an older document, supplies their base.
func TestUpdate_PatchesWithoutTheirBase(t *testing.T) {
	for name, repeated := range map[string]encoder.Publication{
		"newest document": {Parent: 9, Original: 9, Document: documentWithShare(4)},
		"older document":  {Parent: 8, Original: 8, Document: documentWithShare(3)},
		"parent of all":   {Parent: 5, Original: 5, Document: documentWithShare(2)},
	} {
		t.Run(name, func(t *testing.T) {
			var s state
			msgs := []any{
				TruncatedMsg{First: 8},
				recordMsg(t, 8, patchPublication(t, 5, 2, 3)), recordMsg(t, 9, patchPublication(t, 8, 3, 4)),
			}
			for _, msg := range msgs {
				s, _ = s.update(msg)
			}
			if s.current == nil || s.current.hasDocument || s.current.offset != 9 {
				t.Fatalf("got %+v, want offset 9 without its document", s.current)
			}
			s, _ = s.update(recordMsg(t, 10, repeated))
			s, _ = s.update(recordMsg(t, 11, patchPublication(t, 9, 4, 5)))
			if s.current == nil || s.current.offset != 11 || s.current.doc.Teams[0].Share != 5 {
				t.Fatalf("got %+v, want offset 11 with share 5", s.current)
			}
		})
	}
}

// TestUpdate_PatchOfARacingOperator guards against a patch that is applied
// although another document replaced its parent first.
func TestUpdate_PatchOfARacingOperator(t *testing.T) {
	var s state
	var result verdict
	s, _ = s.update(recordMsg(t, 0, encoder.Publication{Parent: none, Original: none, Document: documentWithShare(1)}))
	s, _ = s.update(recordMsg(t, 1, patchPublication(t, 0, 1, 2)))
	s, result = s.update(recordMsg(t, 2, patchPublication(t, 0, 1, 9)))
	if result != verdictVoid || s.current.offset != 1 || s.current.doc.Teams[0].Share != 2 {
		t.Fatalf("verdict %v, document %+v", result, s.current)
	}
}
