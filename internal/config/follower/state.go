package follower

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/patcher"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// none is the parent of the first document and the offset before there is one.
const none modeler.Offset = -1

// accepted is the document in force at a position of the stream.
type accepted struct {
	doc    modeler.Document
	offset modeler.Offset
	// parent is the offset of the document that this one replaced. For a
	// document known from a repetition only it equals offset.
	parent   modeler.Offset
	operator string
	// time is when the publication was made, renewed the log's time of the
	// last record that holds the document, or one that it was patched from, as
	// a whole.
	time, renewed time.Time
	// known is unset while doc is missing because the document that patches
	// start from was not read.
	known   bool
	patches []link
}

// link is a patch and the offset of the document that it applies to.
type link struct {
	parent modeler.Offset
	data   []byte
}

// state is the fold of the stream "config" up to next. It is plain data; it
// does no I/O and reads no clock.
type state struct {
	// start is the oldest offset that this reader could read without a gap.
	// Documents below it may have been accepted unseen.
	start modeler.Offset
	next  modeler.Offset
	// current is nil before the first valid publication.
	current *accepted
}

// RecordMsg is a record of the stream; it follows the one at state.next.
type RecordMsg struct {
	Record messenger.LogRecord
}

// TruncatedMsg tells that the records below First are no longer retained.
type TruncatedMsg struct {
	First modeler.Offset
}

// verdict tells what a record did.
type verdict int

const (
	verdictNone verdict = iota
	verdictAccepted
	verdictRepeated
	verdictVoid
	verdictMalformed
)

// update folds one message and returns the new state.
func (s state) update(msg any) (state, verdict) {
	switch msg := msg.(type) {
	case TruncatedMsg:
		if msg.First > s.next {
			s.start, s.next = msg.First, msg.First
		}

		return s, verdictNone
	case RecordMsg:
		if msg.Record.Offset < s.next {
			return s, verdictNone
		}
		s.next = msg.Record.Offset + 1

		return s.fold(msg.Record)
	}

	return s, verdictNone
}

// fold judges the record of a publication.
func (s state) fold(entry messenger.LogRecord) (state, verdict) {
	var pub encoder.Publication
	if err := encoder.Unmarshal(entry.Data, &pub); err != nil {
		return s, verdictMalformed
	}
	if pub.Original != none {
		return s.repeat(pub, entry)
	}
	if !s.follows(pub.Parent) {
		return s, verdictVoid
	}
	next := &accepted{
		doc: pub.Document, offset: entry.Offset, parent: pub.Parent,
		operator: pub.Operator, time: pub.Time, renewed: entry.Time, known: true,
	}
	if len(pub.Patch) > 0 && !next.patch(s.current, pub.Patch) {
		return s, verdictMalformed
	}
	s.current = next

	return s, verdictAccepted
}

// patch makes the document of a from its parent's, or keeps the patch until a
// repetition holds a document that it can start from. It reports whether the
// patch is well-formed as far as that can be told.
func (a *accepted) patch(parent *accepted, data []byte) bool {
	a.known, a.renewed, a.patches = false, time.Time{}, []link{{a.parent, data}}
	if parent == nil || parent.offset != a.parent {
		return true
	}
	a.renewed = parent.renewed
	if !parent.known {
		a.patches = append(slices.Clip(parent.patches), a.patches...)

		return true
	}

	return a.resolve(a.parent, parent.doc)
}

// resolve makes the missing document from the one at offset. It reports whether
// the patches lead from there and apply.
func (a *accepted) resolve(offset modeler.Offset, doc modeler.Document) bool {
	if offset == a.offset {
		a.doc, a.known, a.patches = doc, true, nil

		return true
	}
	i := slices.IndexFunc(a.patches, func(l link) bool { return l.parent == offset })
	if i < 0 {
		return false
	}
	for _, l := range a.patches[i:] {
		var err error
		if doc, err = patched(doc, l.data); err != nil {
			return false
		}
	}
	a.doc, a.known, a.patches = doc, true, nil

	return true
}

// patched returns the document that an encoded patch makes of doc.
func patched(doc modeler.Document, data []byte) (modeler.Document, error) {
	var patch patcher.Patch
	if err := encoder.Unmarshal(data, &patch); err != nil {
		return modeler.Document{}, err
	}

	return patcher.Apply(doc, patch)
}

// repeat judges a repetition. An instance repeats only a document that it held
// in force, so that a repetition proves that its original was valid.
func (s state) repeat(pub encoder.Publication, entry messenger.LogRecord) (state, verdict) {
	if s.current != nil {
		renewed := *s.current
		renewed.renewed = entry.Time
		if renewed.known && renewed.offset == pub.Original || !renewed.known && renewed.resolve(pub.Original, pub.Document) {
			s.current = &renewed

			return s, verdictRepeated
		}
	}
	if !s.unseen(pub.Original) || pub.Original < 0 {
		return s, verdictVoid
	}
	s.current = &accepted{
		doc: pub.Document, offset: pub.Original, parent: pub.Original,
		operator: pub.Operator, time: pub.Time, renewed: entry.Time, known: true,
	}

	return s, verdictAccepted
}

// follows reports whether a publication with this parent is valid here.
func (s state) follows(parent modeler.Offset) bool {
	switch {
	case s.current != nil && s.current.offset == parent:
		return true
	case s.current == nil && s.start == 0:
		return parent == none
	}

	return s.unseen(parent)
}

// unseen reports whether offset was in force before the first record that this
// reader read, and supersedes what the reader took for the document in force.
// Publishers append only to a parent that was in force, so a reader that
// starts in the middle of the stream can take a parent as proof. A document
// taken from a publication whose parent was not read may have lost a race
// against an unread one; proof of a document between its parent and itself
// shows that it did.
func (s state) unseen(offset modeler.Offset) bool {
	if offset >= s.start {
		return false
	}
	if s.current == nil || offset > s.current.offset {
		return true
	}

	return s.current.parent < offset && offset < s.current.offset
}
