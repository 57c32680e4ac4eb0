// Package chainer links the decision records of a team into a hash chain with
// SHA-256. A team that has kept one digest can detect that earlier records were
// changed, removed or inserted later.
package chainer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// ErrBroken means that a record was changed or does not follow the record before it.
var ErrBroken = errors.New("chain of records is broken")

// Append links record to the record with the digest head: it sets Previous to head
// and Digest to the digest of the record. The head of an empty chain is the empty
// string.
func Append(head string, record *modeler.Record) error {
	record.Previous = head
	digest, err := Digest(*record)
	if err != nil {
		return err
	}
	record.Digest = digest

	return nil
}

// Digest returns the SHA-256 digest of the encoded record, including Previous but
// not Digest, in lower-case hexadecimal. Time is normalized to UTC without a
// monotonic clock reading, as the codec keeps it, so that a decoded record has the
// same digest.
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

// Verify checks that each record has the digest of its contents and directly follows
// the record before it. Otherwise it returns an error that wraps ErrBroken. The
// first record may follow any digest, because older records may have expired.
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
		previous := records[i-1]
		if record.Seq != previous.Seq+1 {
			return errors.Wrapf(ErrBroken, "record %d follows record %d", record.Seq, previous.Seq)
		}
		if record.Previous != previous.Digest {
			return errors.Wrapf(ErrBroken, "record %d does not follow the digest of record %d", record.Seq, previous.Seq)
		}
	}

	return nil
}
