package chainer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/codec/encoder"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

func newChain(t *testing.T, length int) []modeler.Record {
	t.Helper()
	var head string
	records := make([]modeler.Record, 0, length)
	for i := range length {
		record := modeler.Record{
			Seq: uint64(i + 1), Time: time.Now(), Team: "andina", Job: "j1", Event: modeler.EventQueued, Detail: "waits",
		}
		if err := Append(head, &record); err != nil {
			t.Fatal(err)
		}
		head = record.Digest
		records = append(records, record)
	}

	return records
}

// TestVerify_FindsTampering guards against a changed, removed or reordered record
// that is not detected.
func TestVerify_FindsTampering(t *testing.T) {
	for name, tamper := range map[string]func(r []modeler.Record) []modeler.Record{
		"changed detail":   func(r []modeler.Record) []modeler.Record { r[1].Detail = "ran"; return r },
		"removed record":   func(r []modeler.Record) []modeler.Record { return append(r[:1], r[2:]...) },
		"swapped records":  func(r []modeler.Record) []modeler.Record { r[1], r[2] = r[2], r[1]; return r },
		"rewritten digest": func(r []modeler.Record) []modeler.Record { r[2].Digest = r[1].Digest; return r },
		"rewritten record": func(r []modeler.Record) []modeler.Record {
			r[1].Cause = "limit"
			if err := Append(r[0].Digest, &r[1]); err != nil {
				panic(err)
			}

			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			if err := Verify(tamper(newChain(t, 4))); !errors.Is(err, ErrBroken) {
				t.Fatalf("got %v, want %v", err, ErrBroken)
			}
		})
	}
}

// TestVerify_SurvivesCodecs guards against digests that change when a record is
// encoded and decoded by the stream's codec or the JSON export.
func TestVerify_SurvivesCodecs(t *testing.T) {
	records := newChain(t, 3)
	data, err := encoder.Marshal(records)
	if err != nil {
		t.Fatal(err)
	}
	var decoded []modeler.Record
	if err := encoder.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	if err := Verify(decoded); err != nil {
		t.Fatalf("after MessagePack: %v", err)
	}
	text, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	var exported []modeler.Record
	if err := json.Unmarshal(text, &exported); err != nil {
		t.Fatal(err)
	}
	if err := Verify(exported); err != nil {
		t.Fatalf("after JSON: %v", err)
	}
}
