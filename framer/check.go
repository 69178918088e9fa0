package framer

import "encoding/binary"

// maxDepth limits how deeply arrays and maps are nested. The library decodes and skips nested
// values by recursion; a message of 8 MB can need more stack than Go allows, which ends the
// process. Our own messages have some ten levels.
const maxDepth = 100

// check reports whether data begins with a complete msgpack value that is nested at most
// maxDepth deep.
func check(data []byte) bool {
	// left[d] is how many values are still to come at depth d.
	var left [maxDepth + 1]int
	left[0] = 1
	for depth := 0; depth >= 0; {
		if left[depth] == 0 {
			depth--
			continue
		}
		left[depth]--
		bytes, values, rest, ok := head(data)
		if !ok || bytes > len(rest) || values > len(rest) {
			return false
		}
		data = rest[bytes:]
		if values > 0 {
			depth++
			if depth > maxDepth {
				return false
			}
			left[depth] = values
		}
	}
	return true
}

// sizes are the sizes in bytes of values that have a fixed size, by their code from 0xc0 on,
// without the code; -1 for other codes.
var sizes = [0x20]int{
	0, -1, 0, 0, -1, -1, -1, -1, -1, -1, 4, 8, 1, 2, 4, 8,
	1, 2, 4, 8, 2, 3, 5, 9, 17, -1, -1, -1, -1, -1, -1, -1,
}

// head decodes the code and the length of a value: how many bytes and how many values follow in
// rest that belong to it.
func head(data []byte) (bytes, values int, rest []byte, ok bool) {
	if len(data) == 0 {
		return 0, 0, nil, false
	}
	code, rest := data[0], data[1:]
	switch {
	case code <= 0x7f || code >= 0xe0:
		return 0, 0, rest, true
	case code <= 0x8f:
		return 0, 2 * int(code&0xf), rest, true
	case code <= 0x9f:
		return 0, int(code & 0xf), rest, true
	case code <= 0xbf:
		return int(code & 0x1f), 0, rest, true
	}
	if size := sizes[code-0xc0]; size >= 0 {
		return size, 0, rest, true
	}
	width, kind := lengthOf(code)
	if width == 0 || width > len(rest) {
		return 0, 0, nil, false
	}
	var n [8]byte
	copy(n[8-width:], rest)
	length, rest := binary.BigEndian.Uint64(n[:]), rest[width:]
	switch kind {
	case arrayKind:
		return 0, int(length), rest, true
	case mapKind:
		return 0, 2 * int(length), rest, true
	case extensionKind:
		return int(length) + 1, 0, rest, true // its type has a byte
	}
	return int(length), 0, rest, true
}

// Kinds of values with a length.
const (
	bytesKind = iota
	extensionKind
	arrayKind
	mapKind
)

// lengthOf returns how many bytes the length of a value with a code has, 0 for an unknown code.
func lengthOf(code byte) (width, kind int) {
	switch code {
	case 0xc4, 0xc5, 0xc6:
		return 1 << (code - 0xc4), bytesKind
	case 0xc7, 0xc8, 0xc9:
		return 1 << (code - 0xc7), extensionKind
	case 0xd9, 0xda, 0xdb:
		return 1 << (code - 0xd9), bytesKind
	case 0xdc, 0xdd:
		return 2 << (code - 0xdc), arrayKind
	case 0xde, 0xdf:
		return 2 << (code - 0xde), mapKind
	}
	return 0, 0
}
