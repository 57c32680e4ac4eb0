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

// publicationState is the outcome of a publication, as far as it is known.
type publicationState int

const (
	publicationPending publicationState = iota
	publicationAccepted
	publicationVoid
)

// pendingPublication is the publication that this instance waits to read back.
// Its record is identified by its bytes, which include the time with nanosecond
// precision; two equal records hold equal documents.
type pendingPublication struct {
	data   []byte
	state  publicationState
	offset modeler.Offset
}

// Publish appends doc as the successor of the document at parent (-1 for the
// first) and returns its offset after reading it back as valid. Its errors are
// of type *modeler.Refusal: bad-config if doc is invalid, conflict if another
// document came into force first, log-down if certainly nothing was appended, and
// lost-answer with the outcome unknown if the record could not be read back
// within the publish timeout.
func (f *Follower) Publish(ctx context.Context, parent modeler.Offset, doc modeler.Document) (modeler.Offset, error) {
	return f.PublishAs(ctx, "", parent, doc)
}

// PublishAs is like Publish and records the operator's name for the audit trail.
func (f *Follower) PublishAs(
	ctx context.Context, operator string, parent modeler.Offset, doc modeler.Document,
) (modeler.Offset, error) {
	if err := f.check(doc); err != nil {
		return none, modeler.NotRun(modeler.CodeBadConfig, 0, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, f.publishTimeout)
	defer cancel()
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	if err := f.catchUp(ctx); err != nil {
		return none, modeler.NotRun(modeler.CodeLogDown, f.publishTimeout, "the log does not respond; nothing was published: %v", err)
	}
	if f.offsetInForce() != parent {
		return none, f.conflictRefusal(parent)
	}
	if err := f.checkOperatorRemoval(parent, doc); err != nil {
		return none, err
	}
	data, err := f.encode(operator, parent, doc)
	if err != nil {
		return none, modeler.NotRun(modeler.CodeInternal, 0, "%v", err)
	}

	return f.appendRecord(ctx, parent, data)
}

// checkOperatorRemoval refuses a document without a usable operator key if the
// document in force at parent has one. Without operators, everybody who reaches an
// entry instance could publish a configuration.
func (f *Follower) checkOperatorRemoval(parent modeler.Offset, doc modeler.Document) error {
	current, offset, ok := f.InForce()
	if !ok || offset != parent || !slices.ContainsFunc(current.Operators, modeler.Operator.Usable) ||
		slices.ContainsFunc(doc.Operators, modeler.Operator.Usable) {
		return nil
	}

	return modeler.NotRun(modeler.CodeBadConfig, 0, "operators: the document removes the last usable operator key")
}

// encode returns the record of a publication. It holds a patch if the document in
// force came from the log and the patch is smaller than the whole document.
func (f *Follower) encode(operator string, parent modeler.Offset, doc modeler.Document) ([]byte, error) {
	pub := encoder.Publication{Parent: parent, Document: doc, Operator: operator, Time: f.now(), Original: none}
	whole, err := encoder.Marshal(pub)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	current := f.state.current
	f.mu.Unlock()
	if current == nil || !current.hasDocument || current.offset != parent {
		return whole, nil
	}
	changes := patcher.Make(current.doc, doc)
	if patched, err := patcher.Apply(current.doc, changes); err != nil || !reflect.DeepEqual(patched, doc) {
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

// appendRecord appends data and reads it back. After a lost answer it appends the
// same record again. At most one copy is valid, because each names the same
// parent, and once another document is in force every copy that is appended later
// is void.
func (f *Follower) appendRecord(ctx context.Context, parent modeler.Offset, data []byte) (modeler.Offset, error) {
	own := &pendingPublication{data: data}
	f.setPending(own)
	defer f.setPending(nil)
	appended, noneAppended := false, true
	var lastErr error
	for {
		if !appended {
			_, err := f.log.Append(ctx, Stream, data)
			appended = err == nil
			if err != nil {
				lastErr = err
				noneAppended = noneAppended && notAppended(err)
			}
		}
		if noneAppended && !appended {
			return none, modeler.NotRun(modeler.CodeLogDown, f.publishTimeout, "the log refused the record; nothing was published: %v", lastErr)
		}
		if err := f.catchUp(ctx); err != nil {
			lastErr = err
		} else if offset, done, err := f.publicationOutcome(own, parent); done {
			return offset, err
		}
		if f.sleep(ctx, min(f.retryPause, 50*time.Millisecond)); ctx.Err() != nil {
			return none, modeler.Unknown(modeler.CodeLostAnswer, f.publishTimeout,
				"the record could not be read back; it may still come into force: %v", lastErr)
		}
	}
}

// setPending sets the publication that readers of the stream look for; nil for
// none.
func (f *Follower) setPending(own *pendingPublication) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = own
}

// publicationOutcome returns the outcome of own; done is false while it is not
// certain.
func (f *Follower) publicationOutcome(own *pendingPublication, parent modeler.Offset) (offset modeler.Offset, done bool, err error) {
	f.mu.Lock()
	state, offset := own.state, own.offset
	f.mu.Unlock()
	switch {
	case state == publicationAccepted:
		return offset, true, nil
	case state == publicationVoid || f.offsetInForce() != parent:
		return none, true, f.conflictRefusal(parent)
	}

	return none, false, nil
}

// conflictRefusal returns a refusal that names the document in force.
func (f *Follower) conflictRefusal(parent modeler.Offset) *modeler.Refusal {
	operator, at := f.Origin()
	if operator == "" {
		operator = "an unnamed operator"
	}
	current := f.offsetInForce()
	if current == none {
		return modeler.NotRun(modeler.CodeConflict, 0,
			"made from the document at offset %d, but none is in force", parent)
	}

	return modeler.NotRun(modeler.CodeConflict, 0,
		"made from the document at offset %d, but offset %d is in force, published by %s at %s",
		parent, current, operator, at.UTC().Format(time.RFC3339))
}

// notAppended reports whether err proves that nothing was appended: the request
// was never sent, or the log client returned a refusal with the outcome "not run".
func notAppended(err error) bool {
	var refusal *modeler.Refusal

	return errors.Is(err, messenger.ErrUnsent) || errors.As(err, &refusal) && refusal.Outcome == modeler.OutcomeNotRun
}
