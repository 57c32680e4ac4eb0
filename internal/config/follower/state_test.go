package follower

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
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
		s, _ = s.update(EntryMsg{Entry: messenger.Entry{Offset: modeler.Offset(offset), Data: data}})
	}

	return s
}

// TestTruncatedReaderAgrees guards against an instance that starts from the
// oldest retained record and puts a document in force that lost a race, or one
// that an expired record superseded. Publishers and repeaters act on views
// that lag behind the stream.
func TestTruncatedReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 30).Draw(t, "records")
		records := make([]encoder.Publication, 0, length)
		// views[i] is what was in force after i records; copies is the last
		// record that holds the document in force.
		views, copies := make([]modeler.Offset, 1, length+1), 0
		views[0] = none
		for i := range length {
			view := views[max(0, len(views)-1-rapid.IntRange(0, 4).Draw(t, "lag"))]
			pub := encoder.Publication{Parent: view, Original: none, Document: modeler.Document{Cell: fmt.Sprint("doc-", i)}}
			if view != none && rapid.Bool().Draw(t, "repeat") {
				pub.Original, pub.Document = view, modeler.Document{Cell: fmt.Sprint("doc-", view)}
			}
			records = append(records, pub)
			now := views[len(views)-1]
			switch {
			case pub.Original != none && pub.Original == now:
				copies = i
			case pub.Original == none && pub.Parent == now:
				now, copies = modeler.Offset(i), i
			}
			views = append(views, now)
		}
		want := views[len(views)-1]
		first := rapid.IntRange(0, copies).Draw(t, "first")
		got := replay(records, first)
		if got.current == nil || got.current.offset != want || got.current.doc.Cell != fmt.Sprint("doc-", want) {
			t.Fatalf("from %d: got %+v, want document %d", first, got.current, want)
		}
	})
}

// TestMalformedRecordIsVoid guards against a foreign record in the stream that
// stops or changes the configuration.
func TestMalformedRecordIsVoid(t *testing.T) {
	s := replay([]encoder.Publication{{Parent: none, Original: none}}, 0)
	got, result := s.update(EntryMsg{Entry: messenger.Entry{Offset: 1, Data: []byte("garbage")}})
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
