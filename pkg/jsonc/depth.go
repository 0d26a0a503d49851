package jsonc

import "bytes"

// maxDepth is the deepest nesting of objects and lists that Decode accepts. The hujson
// parser recurses without a limit, so deep nesting would overflow the stack and end
// the process.
const maxDepth = 64

// excessDepthOffset returns the offset of the first opening bracket that exceeds maxDepth,
// or -1 if there is none. Brackets in strings and comments do not count.
func excessDepthOffset(data []byte) int {
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

// skipString returns the offset of the quote that ends the string at i, or an offset
// at or beyond the end of data if the string is not closed.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i. It returns
// len(data) for an unclosed comment, and i if no comment starts there.
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
