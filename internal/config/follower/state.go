package follower

import (
	"slices"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/patcher"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// none is the parent of the first document, and the offset in force before the
// first document.
const none modeler.Offset = -1

// acceptedDocument is a document that a publication or repetition in the stream
// put in force.
type acceptedDocument struct {
	doc    modeler.Document
	offset modeler.Offset
	// parent is the offset of the document that this one replaced. For a
	// document that is known only from a repetition it equals offset.
	parent   modeler.Offset
	operator string
	// publishedAt is the time of the publication. renewedAt is the log's time of
	// the last record that holds the whole document, or a whole document from
	// which patches lead to it.
	publishedAt, renewedAt time.Time
	// hasDocument is false while doc is missing because the document that the
	// patches start from was not read.
	hasDocument bool
	// patches lead to doc while it is missing, oldest first.
	patches []pendingPatch
}

// pendingPatch is a patch and the offset of the document that it applies to.
type pendingPatch struct {
	parent modeler.Offset
	data   []byte
}

// state is the result of applying the stream "config" up to next. It does no I/O
// and reads no clock.
type state struct {
	// start is the offset from which this reader has read the stream without a
	// gap. Documents below it may have been accepted without being read.
	start modeler.Offset
	next  modeler.Offset
	// current is nil before the first valid publication.
	current *acceptedDocument
}

// RecordMsg carries the next record of the stream. Records below state.next are
// ignored.
type RecordMsg struct {
	Record messenger.LogRecord
}

// TruncatedMsg reports that the log no longer retains the records below First.
type TruncatedMsg struct {
	First modeler.Offset
}

// verdict is the effect of a record on the state.
type verdict int

const (
	verdictNone verdict = iota
	verdictAccepted
	verdictRepeated
	verdictVoid
	verdictMalformed
)

// update applies a message and returns the new state.
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

		return s.applyPublication(msg.Record)
	}

	return s, verdictNone
}

// applyPublication decodes a record and applies its publication or repetition.
func (s state) applyPublication(record messenger.LogRecord) (state, verdict) {
	var pub encoder.Publication
	if err := encoder.Unmarshal(record.Data, &pub); err != nil {
		return s, verdictMalformed
	}
	if pub.Original != none {
		return s.applyRepetition(pub, record)
	}
	if !s.follows(pub.Parent) {
		return s, verdictVoid
	}
	next := &acceptedDocument{
		doc: pub.Document, offset: record.Offset, parent: pub.Parent,
		operator: pub.Operator, publishedAt: pub.Time, renewedAt: record.Time, hasDocument: true,
	}
	if len(pub.Patch) > 0 && !next.setPatch(s.current, pub.Patch) {
		return s, verdictMalformed
	}
	s.current = next

	return s, verdictAccepted
}

// setPatch computes the document of a from the document of its parent. If that
// document is missing, it keeps the patch until a repetition supplies a document
// from which the patches lead to a. It returns false if the patch is known to be
// malformed.
func (a *acceptedDocument) setPatch(parent *acceptedDocument, data []byte) bool {
	a.hasDocument, a.renewedAt, a.patches = false, time.Time{}, []pendingPatch{{a.parent, data}}
	if parent == nil || parent.offset != a.parent {
		return true
	}
	a.renewedAt = parent.renewedAt
	if !parent.hasDocument {
		a.patches = append(slices.Clip(parent.patches), a.patches...)

		return true
	}

	return a.resolve(a.parent, parent.doc)
}

// resolve computes the missing document from the one at offset. It reports
// whether the patches start at that document and could be applied.
func (a *acceptedDocument) resolve(offset modeler.Offset, doc modeler.Document) bool {
	if offset == a.offset {
		a.doc, a.hasDocument, a.patches = doc, true, nil

		return true
	}
	i := slices.IndexFunc(a.patches, func(p pendingPatch) bool { return p.parent == offset })
	if i < 0 {
		return false
	}
	for _, p := range a.patches[i:] {
		var err error
		if doc, err = applyPatch(doc, p.data); err != nil {
			return false
		}
	}
	a.doc, a.hasDocument, a.patches = doc, true, nil

	return true
}

// applyPatch returns the result of applying an encoded patch to doc.
func applyPatch(doc modeler.Document, data []byte) (modeler.Document, error) {
	var patch patcher.Patch
	if err := encoder.Unmarshal(data, &patch); err != nil {
		return modeler.Document{}, err
	}

	return patcher.Apply(doc, patch)
}

// applyRepetition applies a repetition. An instance repeats only a document that
// was in force there, so a repetition proves that its original was valid.
func (s state) applyRepetition(pub encoder.Publication, record messenger.LogRecord) (state, verdict) {
	if s.current != nil {
		renewed := *s.current
		renewed.renewedAt = record.Time
		if renewed.hasDocument && renewed.offset == pub.Original || !renewed.hasDocument && renewed.resolve(pub.Original, pub.Document) {
			s.current = &renewed

			return s, verdictRepeated
		}
	}
	if !s.isUnreadSuccessor(pub.Original) || pub.Original < 0 {
		return s, verdictVoid
	}
	s.current = &acceptedDocument{
		doc: pub.Document, offset: pub.Original, parent: pub.Original,
		operator: pub.Operator, publishedAt: pub.Time, renewedAt: record.Time, hasDocument: true,
	}

	return s, verdictAccepted
}

// follows reports whether a publication with this parent is valid at this
// position of the stream.
func (s state) follows(parent modeler.Offset) bool {
	switch {
	case s.current != nil && s.current.offset == parent:
		return true
	case s.current == nil && s.start == 0:
		return parent == none
	}

	return s.isUnreadSuccessor(parent)
}

// isUnreadSuccessor reports whether the document at offset, which was in force
// before the first record that this reader has read, supersedes the current one.
// Publishers append only to a parent that was in force, so a reader that starts
// in the middle of the stream can take a parent as proof that it was valid. A
// document accepted from a publication whose parent was not read may have lost a
// race against an unread document. Proof of a document with an offset between its
// parent and itself shows that it did.
func (s state) isUnreadSuccessor(offset modeler.Offset) bool {
	if offset >= s.start {
		return false
	}
	if s.current == nil || offset > s.current.offset {
		return true
	}

	return s.current.parent < offset && offset < s.current.offset
}
