package follower

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/config/patcher"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// settlement tells what became of a publication.
type settlement int

const (
	pendingOpen settlement = iota
	pendingAccepted
	pendingVoid
)

// pending is the publication that this instance waits to read back. Its record
// is recognised by its bytes, which hold the time to the nanosecond; two equal
// records hold equal documents.
type pending struct {
	data    []byte
	settled settlement
	offset  modeler.Offset
}

// Publish appends doc as the successor of the document at parent (-1 for the
// first) and returns its offset after reading it back as valid. Its errors are
// of type *modeler.Refusal: bad-config when doc has a fault, conflict when another document came first,
// log-down when certainly nothing was appended, lost-answer with the outcome
// unknown when the record could not be read back in time.
func (f *Follower) Publish(ctx context.Context, parent modeler.Offset, doc modeler.Document) (modeler.Offset, error) {
	return f.PublishAs(ctx, "", parent, doc)
}

// PublishAs is Publish with the operator's name for the audit trail.
func (f *Follower) PublishAs(
	ctx context.Context, operator string, parent modeler.Offset, doc modeler.Document,
) (modeler.Offset, error) {
	if err := f.check(doc); err != nil {
		return none, modeler.NotRun(modeler.CodeBadConfig, 0, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, f.settle)
	defer cancel()
	f.publishing.Lock()
	defer f.publishing.Unlock()
	if err := f.catchUp(ctx); err != nil {
		return none, modeler.NotRun(modeler.CodeLogDown, f.settle, "the log does not respond; nothing was published: %v", err)
	}
	if f.parentInForce() != parent {
		return none, f.conflict(parent)
	}
	if err := f.keepsOperators(parent, doc); err != nil {
		return none, err
	}
	data, err := f.encode(operator, parent, doc)
	if err != nil {
		return none, modeler.NotRun(modeler.CodeInternal, 0, "%v", err)
	}

	return f.append(ctx, parent, data)
}

// keepsOperators refuses a document without a usable operator key when the
// document in force at parent has one. Dropping all operators would open the
// configuration to everybody who reaches an entry instance.
func (f *Follower) keepsOperators(parent modeler.Offset, doc modeler.Document) error {
	current, offset, ok := f.InForce()
	if !ok || offset != parent || !slices.ContainsFunc(current.Operators, modeler.Operator.Usable) ||
		slices.ContainsFunc(doc.Operators, modeler.Operator.Usable) {
		return nil
	}

	return modeler.NotRun(modeler.CodeBadConfig, 0, "operators: the document removes the last usable operator key")
}

// encode returns the record of a publication: a patch when the document in
// force came from the log and the patch is the smaller of the two.
func (f *Follower) encode(operator string, parent modeler.Offset, doc modeler.Document) ([]byte, error) {
	pub := encoder.Publication{Parent: parent, Document: doc, Operator: operator, Time: f.now(), Original: none}
	whole, err := encoder.Marshal(pub)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	current := f.state.current
	f.mu.Unlock()
	if current == nil || !current.known || current.offset != parent {
		return whole, nil
	}
	changes := patcher.Make(current.doc, doc)
	if made, err := patcher.Apply(current.doc, changes); err != nil || !reflect.DeepEqual(made, doc) {
		return whole, nil //nolint:nilerr // the whole document needs no patch
	}
	pub.Document = modeler.Document{}
	if pub.Patch, err = encoder.Marshal(changes); err != nil {
		return nil, err
	}
	patch, err := encoder.Marshal(pub)
	if err != nil || len(patch) >= len(whole) {
		return whole, err
	}

	return patch, nil
}

// append appends data and reads it back. After a lost answer it appends the
// same record again: by the parent rule at most one copy is valid, and once
// another document is in force every copy still on its way is void.
func (f *Follower) append(ctx context.Context, parent modeler.Offset, data []byte) (modeler.Offset, error) {
	own := &pending{data: data}
	f.await(own)
	defer f.await(nil)
	appended, certain := false, true
	var last error
	for {
		if !appended {
			_, err := f.log.Append(ctx, Stream, data)
			appended = err == nil
			if err != nil {
				last = err
				certain = certain && notAppended(err)
			}
		}
		if certain && !appended {
			return none, modeler.NotRun(modeler.CodeLogDown, f.settle, "the log refused the record; nothing was published: %v", last)
		}
		if err := f.catchUp(ctx); err != nil {
			last = err
		} else if offset, done, err := f.settled(own, parent); done {
			return offset, err
		}
		if f.rest(ctx, min(f.pause, 50*time.Millisecond)); ctx.Err() != nil {
			return none, modeler.Unknown(modeler.CodeLostAnswer, f.settle,
				"the record could not be read back; it may still come into force: %v", last)
		}
	}
}

// await sets the publication to recognise in the stream.
func (f *Follower) await(own *pending) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = own
}

// settled reports whether the outcome of own is certain.
func (f *Follower) settled(own *pending, parent modeler.Offset) (offset modeler.Offset, done bool, err error) {
	f.mu.Lock()
	state, offset := own.settled, own.offset
	f.mu.Unlock()
	switch {
	case state == pendingAccepted:
		return offset, true, nil
	case state == pendingVoid || f.parentInForce() != parent:
		return none, true, f.conflict(parent)
	}

	return none, false, nil
}

// conflict says which document came first.
func (f *Follower) conflict(parent modeler.Offset) *modeler.Refusal {
	operator, at := f.Origin()
	if operator == "" {
		operator = "an unnamed operator"
	}
	current := f.parentInForce()
	if current == none {
		return modeler.NotRun(modeler.CodeConflict, 0,
			"made from the document at offset %d, but none is in force", parent)
	}

	return modeler.NotRun(modeler.CodeConflict, 0,
		"made from the document at offset %d, but offset %d is in force, published by %s at %s",
		parent, current, operator, at.UTC().Format(time.RFC3339))
}

// notAppended reports whether err says with certainty that nothing was
// appended: the request was never sent, or the client of the log states a
// refusal with the outcome "not run".
func notAppended(err error) bool {
	var refusal *modeler.Refusal

	return errors.Is(err, messenger.ErrUnsent) || errors.As(err, &refusal) && refusal.Outcome == modeler.OutcomeNotRun
}
