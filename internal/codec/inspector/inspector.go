// Package inspector checks the form of MessagePack data before it is decoded.
package inspector

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// maxDepth bounds the nesting of messages. The decoder calls itself for each level,
// also for fields that it skips, and a process whose stack overflows ends.
const maxDepth = 64

// ErrMalformed means that a message is nested too deeply or ends too early.
var ErrMalformed = errors.New("malformed message")

// Check returns ErrMalformed if a MessagePack value is nested deeper than maxDepth or
// ends too early. It does not call itself.
func Check(data []byte) error {
	// remaining holds, for each open array or map, the number of values that follow.
	remaining := make([]int, 0, maxDepth)
	for at := 0; ; {
		size, values, err := measure(data[at:])
		if err != nil {
			return err
		}
		at += size
		if values > 0 {
			if len(remaining) == maxDepth {
				return ErrMalformed
			}
			remaining = append(remaining, values)

			continue
		}
		for len(remaining) > 0 {
			last := len(remaining) - 1
			if remaining[last]--; remaining[last] > 0 {
				break
			}
			remaining = remaining[:last]
		}
		if len(remaining) == 0 {
			return nil
		}
	}
}

// The first bytes of values that hold their length or their number of entries, by the
// MessagePack specification.
const (
	minFixMap, maxFixMap = 0x80, 0x8f
	maxFixArray          = 0x9f
	maxFixString         = 0xbf
	minNegativeInt       = 0xe0
	fixMask              = 0x0f
	fixStringMask        = 0x1f
)

// form is how values with the same first byte are written.
type form struct {
	// fixed is the number of bytes after the first one and the length.
	fixed int
	// width is the number of bytes of the length, which follows the first byte; 0 means that there is none.
	width int
	// entries is the number of values that each unit of the length stands for; 0 means that it counts bytes.
	entries int
}

// forms holds the forms of the first bytes from 0xc0 to 0xdf. Those that it lacks
// stand for themselves.
var forms = map[byte]form{
	0xc4: {width: 1}, 0xc5: {width: 2}, 0xc6: {width: 4}, // binary
	0xc7: {width: 1, fixed: 1}, 0xc8: {width: 2, fixed: 1}, 0xc9: {width: 4, fixed: 1}, // extensions
	0xca: {fixed: 4}, 0xcb: {fixed: 8}, // floats
	0xcc: {fixed: 1}, 0xcd: {fixed: 2}, 0xce: {fixed: 4}, 0xcf: {fixed: 8}, // unsigned integers
	0xd0: {fixed: 1}, 0xd1: {fixed: 2}, 0xd2: {fixed: 4}, 0xd3: {fixed: 8}, // signed integers
	0xd4: {fixed: 2}, 0xd5: {fixed: 3}, 0xd6: {fixed: 5}, 0xd7: {fixed: 9}, 0xd8: {fixed: 17}, // extensions of fixed size
	0xd9: {width: 1}, 0xda: {width: 2}, 0xdb: {width: 4}, // strings
	0xdc: {width: 2, entries: 1}, 0xdd: {width: 4, entries: 1}, // arrays
	0xde: {width: 2, entries: 2}, 0xdf: {width: 4, entries: 2}, // maps
}

// measure returns the size of the first value in data without the values that an
// array or map contains, and the number of these.
func measure(data []byte) (size, values int, err error) {
	if len(data) == 0 {
		return 0, 0, ErrMalformed
	}
	size = 1
	switch code := data[0]; {
	case code < minFixMap || code >= minNegativeInt:
	case code <= maxFixMap:
		values = 2 * int(code&fixMask)
	case code <= maxFixArray:
		values = int(code & fixMask)
	case code <= maxFixString:
		size += int(code & fixStringMask)
	default:
		size, values, err = measureForm(data, forms[code])
	}
	if err == nil && size > len(data) {
		err = ErrMalformed
	}

	return size, values, err
}

// measureForm is measure for a value of the given form.
func measureForm(data []byte, f form) (size, values int, err error) {
	size = 1 + f.width + f.fixed
	if f.width == 0 {
		return size, 0, nil
	}
	if len(data) < 1+f.width {
		return 0, 0, ErrMalformed
	}
	var number [4]byte
	copy(number[len(number)-f.width:], data[1:1+f.width])
	length := int(binary.BigEndian.Uint32(number[:]))
	if f.entries > 0 {
		return size, f.entries * length, nil
	}

	return size + length, 0, nil
}
