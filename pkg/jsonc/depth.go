package jsonc

import "bytes"

// maxDepth bounds the nesting of objects and lists; the parser underneath
// recurses without a bound of its own.
const maxDepth = 64

// tooDeep returns the offset of the bracket that nests deeper than maxDepth, or
// -1. Brackets in strings and comments do not count.
func tooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
	}
	return -1
}

// skipString returns the offset of the quote that ends the string at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i.
func skipComment(data []byte, i int) int {
	var end string
	switch {
	case bytes.HasPrefix(data[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(data[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(data[i+2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}
