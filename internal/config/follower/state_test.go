package follower

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/patcher"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// replay folds the records from first on.
func replay(records []encoder.Publication, first int) state {
	var s state
	s, _ = s.update(TruncatedMsg{First: modeler.Offset(first)})
	for offset := first; offset < len(records); offset++ {
		data, err := encoder.Marshal(records[offset])
		if err != nil {
			panic(err)
		}
		s, _ = s.update(RecordMsg{Record: messenger.LogRecord{Offset: modeler.Offset(offset), Data: data}})
	}

	return s
}

// numbered returns the document that is published at offset.
func numbered(offset modeler.Offset) modeler.Document {
	return modeler.Document{Cell: fmt.Sprint("doc-", offset), Teams: []modeler.Team{{Name: "a", Share: int64(offset)}}}
}

// history is a stream of publications, patches and repetitions by writers that
// act on views which lag behind it.
type history struct {
	records []encoder.Publication
	// force[i] is what was in force after i records; copied is the last record
	// that holds the document in force, or one that it was patched from, as a
	// whole.
	force  []modeler.Offset
	copied int
}

// draw appends a record.
func (h *history) draw(t *rapid.T) {
	offset, now := modeler.Offset(len(h.records)), h.force[len(h.force)-1]
	view := h.force[max(0, len(h.force)-1-rapid.IntRange(0, 4).Draw(t, "lag"))]
	pub := encoder.Publication{Parent: view, Original: none, Document: numbered(offset)}
	switch {
	case view == none:
	case rapid.Bool().Draw(t, "repeat"):
		pub.Original, pub.Document = view, numbered(view)
	case rapid.Bool().Draw(t, "patch"):
		data, err := encoder.Marshal(patcher.Make(numbered(view), pub.Document))
		if err != nil {
			t.Fatal(err)
		}
		pub.Document, pub.Patch = modeler.Document{}, data
	}
	h.records = append(h.records, pub)
	whole := len(pub.Patch) == 0
	if pub.Original == none && view == now {
		now = offset
	} else if pub.Original != now {
		whole = false
	}
	if whole {
		h.copied = int(offset)
	}
	h.force = append(h.force, now)
}

// TestTruncatedReaderAgrees guards against an instance that starts from the
// oldest retained record and puts a document in force that lost a race, or one
// that an expired record superseded.
func TestTruncatedReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{force: []modeler.Offset{none}}
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			h.draw(t)
		}
		want := h.force[len(h.force)-1]
		first := rapid.IntRange(0, h.copied).Draw(t, "first")
		got := replay(h.records, first)
		if got.current == nil || !got.current.known || got.current.offset != want {
			t.Fatalf("from %d: got %+v, want document %d", first, got.current, want)
		}
		if diff := cmp.Diff(numbered(want), got.current.doc); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestMalformedRecordIsVoid guards against a foreign record in the stream that
// stops or changes the configuration.
func TestMalformedRecordIsVoid(t *testing.T) {
	s := replay([]encoder.Publication{{Parent: none, Original: none}}, 0)
	got, result := s.update(RecordMsg{Record: messenger.LogRecord{Offset: 1, Data: []byte("garbage")}})
	if result != verdictMalformed || got.current.offset != 0 || got.next != 2 {
		t.Fatalf("verdict %d, state %+v", result, got)
	}
}

// TestVoidParent guards against a document or a repetition that rests on a
// void record and still comes into force at a reader that knows it is void.
func TestVoidParent(t *testing.T) {
	records := []encoder.Publication{
		{Parent: none, Original: none}, {Parent: none, Original: none},
		{Parent: 1, Original: none}, {Parent: 1, Original: 1},
	}
	if got := replay(records, 0); got.current.offset != 0 {
		t.Fatalf("offset %d in force, want 0", got.current.offset)
	}
}
