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

// replay returns the state after the records from first on.
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

// documentAt returns the document that is published at offset.
func documentAt(offset modeler.Offset) modeler.Document {
	return modeler.Document{Cell: fmt.Sprint("doc-", offset), Teams: []modeler.Team{{Name: "a", Share: int64(offset)}}}
}

// history is a stream of publications, patches and repetitions by writers whose
// views lag behind it.
type history struct {
	records []encoder.Publication
	// inForce[i] is the offset in force after i records. lastWhole is the last
	// record that holds the whole document in force, or a whole document from
	// which patches lead to it.
	inForce   []modeler.Offset
	lastWhole int
}

// appendRandom appends a random record.
func (h *history) appendRandom(t *rapid.T) {
	offset, current := modeler.Offset(len(h.records)), h.inForce[len(h.inForce)-1]
	view := h.inForce[max(0, len(h.inForce)-1-rapid.IntRange(0, 4).Draw(t, "lag"))]
	pub := encoder.Publication{Parent: view, Original: none, Document: documentAt(offset)}
	switch {
	case view == none:
	case rapid.Bool().Draw(t, "repeat"):
		pub.Original, pub.Document = view, documentAt(view)
	case rapid.Bool().Draw(t, "patch"):
		data, err := encoder.Marshal(patcher.Make(documentAt(view), pub.Document))
		if err != nil {
			t.Fatal(err)
		}
		pub.Document, pub.Patch = modeler.Document{}, data
	}
	h.records = append(h.records, pub)
	whole := len(pub.Patch) == 0
	if pub.Original == none && view == current {
		current = offset
	} else if pub.Original != current {
		whole = false
	}
	if whole {
		h.lastWhole = int(offset)
	}
	h.inForce = append(h.inForce, current)
}

// TestTruncatedReaderAgrees guards against an instance that starts at the oldest
// retained record and puts a document in force that lost a race or was superseded
// by an expired record.
func TestTruncatedReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{inForce: []modeler.Offset{none}}
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			h.appendRandom(t)
		}
		want := h.inForce[len(h.inForce)-1]
		first := rapid.IntRange(0, h.lastWhole).Draw(t, "first")
		got := replay(h.records, first)
		if got.current == nil || !got.current.hasDocument || got.current.offset != want {
			t.Fatalf("from %d: got %+v, want document %d", first, got.current, want)
		}
		if diff := cmp.Diff(documentAt(want), got.current.doc); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestMalformedRecordIsVoid guards against a record that is not a publication and
// stops the reader or changes the configuration.
func TestMalformedRecordIsVoid(t *testing.T) {
	s := replay([]encoder.Publication{{Parent: none, Original: none}}, 0)
	got, result := s.update(RecordMsg{Record: messenger.LogRecord{Offset: 1, Data: []byte("garbage")}})
	if result != verdictMalformed || got.current.offset != 0 || got.next != 2 {
		t.Fatalf("verdict %d, state %+v", result, got)
	}
}

// TestVoidParent guards against a document or repetition with a void parent that
// comes into force at a reader that has read the void record.
func TestVoidParent(t *testing.T) {
	records := []encoder.Publication{
		{Parent: none, Original: none}, {Parent: none, Original: none},
		{Parent: 1, Original: none}, {Parent: 1, Original: 1},
	}
	if got := replay(records, 0); got.current.offset != 0 {
		t.Fatalf("offset %d in force, want 0", got.current.offset)
	}
}
