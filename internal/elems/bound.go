// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package elems

// MaxDepth is the depth of nesting up to which values are kept, in lists and objects: several times that of all objects
// that routers know, and well below the limit of encoding/json, so that what is kept can be nested in further objects.
const MaxDepth = 64

// Bound returns text with each list and object that is nested more deeply than depth replaced by null; text itself if
// there is none. Text that is no JSON stays so, or ends early.
func Bound(text []byte, depth int) []byte {
	first := deeper(text, depth)
	if first < 0 {
		return text
	}
	out := append(make([]byte, 0, first+4), text[:first]...)
	// All of text before first is at depth or above.
	for at, level := first, depth; at < len(text); {
		switch c := text[at]; c {
		case '"':
			end := stringEnd(text, at)
			out, at = append(out, text[at:end]...), end
			continue
		case '[', '{':
			if level >= depth {
				out, at = append(out, "null"...), skip(text, at)
				continue
			}
			level++
		case ']', '}':
			level--
		}
		out, at = append(out, text[at]), at+1
	}
	return out
}

// deeper returns the position of the first list or object that is nested more deeply than depth; -1 if there is none.
func deeper(text []byte, depth int) int {
	level := 0
	for at := 0; at < len(text); at++ {
		switch text[at] {
		case '"':
			at = stringEnd(text, at) - 1
		case '[', '{':
			if level >= depth {
				return at
			}
			level++
		case ']', '}':
			level--
		}
	}
	return -1
}

// skip returns the position after the list or object that begins at a position.
func skip(text []byte, at int) int {
	for level := 0; at < len(text); at++ {
		switch text[at] {
		case '"':
			at = stringEnd(text, at) - 1
		case '[', '{':
			level++
		case ']', '}':
			if level--; level == 0 {
				return at + 1
			}
		}
	}
	return len(text)
}

// stringEnd returns the position after the string that begins at a position.
func stringEnd(text []byte, at int) int {
	for at++; at < len(text); at++ {
		switch text[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return len(text)
}
