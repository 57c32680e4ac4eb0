package inspector

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// sample has values of all kinds that messages hold.
type sample struct {
	Text    string
	Long    string
	Data    []byte
	Number  int64
	Small   int8
	Float   float64
	Half    float32
	Flag    bool
	At      time.Time
	Nested  []sample
	ByName  map[string]int
	Nothing *sample
}

func newSample() sample {
	inner := sample{Text: "a", Number: -1 << 40, Small: -3, At: time.Unix(1, 5)}

	return sample{
		Text: "b", Long: strings.Repeat("x", 70000), Data: bytes.Repeat([]byte{1}, 300), Number: 1 << 50, Float: 1.5, Half: 2.5, Flag: true,
		Nested: []sample{inner, inner}, ByName: map[string]int{"k": 200, "l": 70000}, At: time.Now(),
	}
}

// nested returns an array of one element in an array of one element, and so on.
func nested(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }

// TestCheck guards against a message of a peer or another writer whose nesting
// overflows the stack of the decoder, which ends the process, and against sound
// messages that are rejected.
func TestCheck(t *testing.T) {
	data, err := msgpack.Marshal(newSample())
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(data); err != nil {
		t.Errorf("sound message: %v", err)
	}
	if err := Check(nested(maxDepth)); err != nil {
		t.Errorf("%d levels: %v", maxDepth, err)
	}
	for name, bad := range map[string][]byte{
		"one level too many": nested(maxDepth + 1), "a million levels": nested(1 << 20), "empty": {}, "cut off": data[:len(data)-1],
		"longer than the data": {0xdd, 0xff, 0xff, 0xff, 0xff},
	} {
		if err := Check(bad); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want %v", name, err, ErrMalformed)
		}
	}
}

// FuzzCheck looks for data that Check accepts and the decoder reads beyond, or whose
// nesting it counts differently.
func FuzzCheck(f *testing.F) {
	data, err := msgpack.Marshal(newSample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(nested(maxDepth))
	f.Add([]byte{0xc7, 0x01, 0x05, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		accepted := Check(data) == nil
		decoder := msgpack.NewDecoder(bytes.NewReader(data[:min(len(data), 1<<16)]))
		if err := decoder.Skip(); err == nil && !accepted && len(data) < maxDepth {
			t.Errorf("%x is rejected although the decoder reads it", data)
		}
	})
}
