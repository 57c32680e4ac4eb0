// Package chainer links the decision records of a team into a chain of
// SHA-256 digests, so that a team that kept one digest can show that records
// before it were changed, removed or added later.
package chainer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// ErrBroken means that a record does not follow from the one before it.
var ErrBroken = errors.New("chain of records is broken")

// Append sets the record's Previous to head and its Digest to the digest of
// its contents. The head of an empty chain is the empty string.
func Append(head string, record *modeler.Record) error {
	record.Previous = head
	digest, err := Digest(*record)
	if err != nil {
		return err
	}
	record.Digest = digest

	return nil
}

// Digest returns the SHA-256 digest of the record, Previous included and
// Digest left out, in lower-case hexadecimal. Time is taken in UTC with the
// precision that the codec keeps, so that a decoded record has the same digest.
func Digest(record modeler.Record) (string, error) {
	record.Digest = ""
	record.Time = record.Time.UTC().Round(0)
	data, err := encoder.Marshal(&record)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)

	return hex.EncodeToString(sum[:]), nil
}

// Verify checks that each record has the digest of its contents and follows
// the one before it without a gap. The first record may follow any digest,
// because older records may have expired.
func Verify(records []modeler.Record) error {
	for i, record := range records {
		digest, err := Digest(record)
		if err != nil {
			return err
		}
		if digest != record.Digest {
			return errors.Wrapf(ErrBroken, "record %d was changed", record.Seq)
		}
		if i == 0 {
			continue
		}
		before := records[i-1]
		if record.Seq != before.Seq+1 {
			return errors.Wrapf(ErrBroken, "record %d follows record %d", record.Seq, before.Seq)
		}
		if record.Previous != before.Digest {
			return errors.Wrapf(ErrBroken, "record %d does not follow the digest of record %d", record.Seq, before.Seq)
		}
	}

	return nil
}
